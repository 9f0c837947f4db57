#include <numeric>
#include <random>

#include <catch2/catch.hpp>

#include <rhubarbgrade/rhubarbgrade.hpp>

using namespace rhubarbgrade;

namespace
{

std::vector<std::string> names(const std::string& prefix, int count)
{
    std::vector<std::string> made;
    for (int number = 0; number < count; ++number)
        made.push_back(prefix + std::to_string(number));
    return made;
}

} // namespace

TEST_CASE("slots of an endpoint")
{
    const auto home = names("h", 5);
    const auto away = names("r", 9);

    SECTION("are never more than it carries, over all hosts")
    {
        std::uint32_t sum = 0;
        for (const auto& host : home)
            sum += assigned_slots("e", 64, {home, away}, host);
        for (const auto& host : away)
            sum += assigned_slots("e", 64, {home, away}, host);
        CHECK(sum == 58);
    }
    SECTION("stay within the limit plus few while two views differ")
    {
        const auto fewer = names("h", 4);
        std::uint32_t sum = 0;
        for (std::size_t index = 0; index < home.size(); ++index)
            sum += assigned_slots(
                "e", 64, {index % 2 == 0 ? home : fewer, away}, home[index]);
        CHECK(sum <= 70);
    }
    SECTION("stay with the hosts that remain when one leaves")
    {
        const auto fewer = names("h", 4);
        for (const auto& host : fewer)
            CHECK(assigned_slots("e", 64, {fewer, away}, host) >=
                  assigned_slots("e", 64, {home, away}, host));
    }
}

TEST_CASE("the choice of an endpoint")
{
    std::mt19937_64 random(1);
    const auto source = [&]
    {
        return random();
    };
    std::vector<candidate> options(3);
    for (auto& option : options)
        option = {"a", 0, 4, 0, 8, true};

    SECTION("takes the least loaded")
    {
        options[0].in_flight = 3;
        options[1].in_flight = 1;
        options[2].in_flight = 2;
        CHECK(choose(options, "a", source) == std::size_t{1});
    }
    SECTION("stays in the zone while it has a free slot")
    {
        options[0].zone = "b";
        options[1].zone = "b";
        options[2].in_flight = 3;
        CHECK(choose(options, "a", source) == std::size_t{2});
        options[2].in_flight = 4;
        CHECK(choose(options, "a", source) < std::size_t{2});
    }
    SECTION("finds none where every slot is taken")
    {
        for (auto& option : options)
            option.in_flight = 4;
        CHECK_FALSE(choose(options, "a", source));
    }
}

TEST_CASE("retries")
{
    retry_budget budget;
    const time_point_t now{};
    const auto later = now + std::chrono::seconds(1);

    SECTION("never repeat what may have run and must not run twice")
    {
        CHECK_FALSE(
            may_retry(budget, attempt_end::may_have_run, false, 1, now, later));
        CHECK_FALSE(
            may_retry(budget, attempt_end::failed, false, 1, now, later));
        CHECK(may_retry(budget, attempt_end::not_sent, false, 1, now, later));
    }
    SECTION("are at most a tenth of the requests in the long run")
    {
        int retries = 0;
        for (int request = 0; request < 1000; ++request)
        {
            note_request(budget);
            retries +=
                may_retry(budget, attempt_end::failed, true, 1, now, later);
        }
        CHECK(retries <= 110);
    }
    SECTION("end with the deadline")
    {
        CHECK_FALSE(
            may_retry(budget, attempt_end::not_sent, true, 1, later, now));
    }
}

TEST_CASE("ejection")
{
    endpoint_health health;
    const time_point_t now = std::chrono::steady_clock::now();
    CHECK_FALSE(note_end(health, false, 0, 4, now));
    CHECK_FALSE(note_end(health, false, 0, 4, now));

    SECTION("comes after three failures in turn and ends by itself")
    {
        CHECK(note_end(health, false, 0, 4, now));
        CHECK_FALSE(usable(health, now));
        CHECK(usable(health, now + std::chrono::seconds(3)));
    }
    SECTION("never takes more than half of a version's endpoints")
    {
        CHECK_FALSE(note_end(health, false, 2, 4, now));
        CHECK(usable(health, now));
    }
}

TEST_CASE("quarantine begins with the second crash")
{
    quarantine known;
    const auto now = std::chrono::steady_clock::now();
    CHECK_FALSE(note_crash(known, "f", now));
    CHECK_FALSE(quarantined(known, "f"));
    CHECK(note_crash(known, "f", now));
    CHECK(quarantined(known, "f"));
    expire(known, now + std::chrono::hours(2));
    CHECK_FALSE(quarantined(known, "f"));
}

TEST_CASE("membership")
{
    members_t members;
    const std::vector<listed_host> list{{"a1", "a", "x", false},
                                        {"a2", "a", "x", false},
                                        {"a3", "a", "x", false},
                                        {"b1", "b", "x", false}};
    merge_list(members, list);
    const auto now = std::chrono::steady_clock::now();
    const milliseconds silence(1000);

    SECTION("counts only newer beats")
    {
        merge_beats(members, std::vector<member_beat>{{"a2", 1, 5, false}},
                    now);
        const auto later = now + silence * 2;
        merge_beats(members, std::vector<member_beat>{{"a2", 1, 4, false}},
                    later);
        CHECK(alive(members.at("a2"), now, silence));
        CHECK_FALSE(alive(members.at("a2"), later, silence));
        merge_beats(members, std::vector<member_beat>{{"a2", 2, 1, false}},
                    later);
        CHECK(alive(members.at("a2"), later, silence));
    }
    SECTION("chooses a live second host of the zone, rather one that stays")
    {
        CHECK(choose_second(members, "a1", now, silence).empty());
        merge_beats(members,
                    std::vector<member_beat>{{"a2", 1, 1, true},
                                             {"a3", 1, 1, false},
                                             {"b1", 1, 1, false}},
                    now);
        CHECK(choose_second(members, "a1", now, silence) == "a3");
    }
    SECTION("beats to a bounded number of hosts")
    {
        for (int number = 0; number < 50; ++number)
        {
            const auto name = "a" + std::to_string(number + 10);
            members[name].listed = {name, "a", "x", false};
        }
        CHECK(beat_targets(members, "a1", 4,
                           []
                           {
                               return 0;
                           })
                  .size() == 5);
    }
}
