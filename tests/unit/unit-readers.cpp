// Which hosts read the store, in calm and while it refuses them.

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/membership/reader_choice.hpp>

using namespace rhubarbgrade;

namespace
{

constexpr int zone_size = 49;

std::vector<reader_candidate> zone(int failing = 0)
{
    std::vector<reader_candidate> hosts;
    for (int i = 0; i < zone_size; ++i)
        hosts.push_back({"h" + std::to_string(i), i < 3 ? 100.0 : 2.4, false});
    for (int i = 0; i < failing; ++i)
    {
        const auto first = choose_reader(hosts);
        for (auto& each : hosts)
            each.failing = each.failing || each.host == first;
    }
    return hosts;
}

time_point_t now()
{
    return time_point_t(std::chrono::hours(1));
}

} // namespace

TEST_CASE("one host of a zone reads, of the highest capacity", "[readers]")
{
    auto hosts = zone();
    const auto first = choose_reader(hosts);
    CHECK((first == "h0" || first == "h1" || first == "h2"));
    std::reverse(hosts.begin(), hosts.end());
    CHECK(choose_reader(hosts) == first);
}

TEST_CASE("another host tries a store that refuses one, up to three",
          "[readers]")
{
    CHECK(choose_reader(zone(1)) != choose_reader(zone()));
    CHECK(!choose_reader(zone(2)).empty());
    // All others wait until one of the three gets an answer.
    const auto hosts = zone(3);
    CHECK(choose_reader(hosts).empty());
    CHECK(std::count_if(hosts.begin(), hosts.end(),
                        [](const auto& each)
                        {
                            return each.failing;
                        }) == 3);
}

TEST_CASE("a host reads by itself when its state gets old and nobody tries",
          "[readers]")
{
    reader_situation situation;
    situation.knows_state = true;
    situation.confirmed_at = now() - milliseconds(1500);
    CHECK_FALSE(reads_store(situation, now()));
    situation.confirmed_at = now() - milliseconds(2500);
    CHECK(reads_store(situation, now()));
    // A fault of the store that others report needs no further calls.
    situation.others_try = true;
    CHECK_FALSE(reads_store(situation, now()));
    // A host that knows nothing can serve nobody.
    situation.knows_state = false;
    CHECK(reads_store(situation, now()));
    situation.chosen = true;
    situation.others_try = false;
    situation.confirmed_at = now();
    CHECK(reads_store(situation, now()));
}

TEST_CASE("hosts whose state gets old don't begin to read all at once",
          "[readers]")
{
    reader_situation situation;
    situation.knows_state = true;
    situation.confirmed_at = now() - milliseconds(2500);
    situation.stagger = milliseconds(900);
    CHECK_FALSE(reads_store(situation, now()));
    situation.confirmed_at = now() - milliseconds(3200);
    CHECK(reads_store(situation, now()));
}
