// Slots of endpoints, the choice of an endpoint, retries, ejection, quarantine
// and membership.

#include <numeric>
#include <random>

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/routing/planned_stop.hpp>
#include <rhubarbgrade/rhubarbgrade.hpp>

using namespace rhubarbgrade;

namespace
{

std::vector<std::string> names(const std::string& prefix, int count)
{
    std::vector<std::string> result;
    for (int number = 0; number < count; ++number)
        result.push_back(prefix + std::to_string(number));
    return result;
}

} // namespace

TEST_CASE("slots of an endpoint")
{
    const auto local_hosts = names("h", 5);
    const auto remote_hosts = names("r", 9);

    SECTION("never exceed the endpoint's limit, over all hosts")
    {
        std::uint32_t sum = 0;
        for (const auto& host : local_hosts)
            sum += assigned_slots("e", 64, {local_hosts, remote_hosts}, host);
        for (const auto& host : remote_hosts)
            sum += assigned_slots("e", 64, {local_hosts, remote_hosts}, host);
        CHECK(sum == 58);
    }
    SECTION("exceed the limit only slightly while host lists differ")
    {
        const auto remaining_hosts = names("h", 4);
        std::uint32_t sum = 0;
        for (std::size_t index = 0; index < local_hosts.size(); ++index)
            sum += assigned_slots(
                "e", 64,
                {index % 2 == 0 ? local_hosts : remaining_hosts, remote_hosts},
                local_hosts[index]);
        CHECK(sum <= 70);
    }
    SECTION("stay with the hosts that remain when one leaves")
    {
        const auto remaining_hosts = names("h", 4);
        for (const auto& host : remaining_hosts)
            CHECK(assigned_slots("e", 64, {remaining_hosts, remote_hosts},
                                 host) >=
                  assigned_slots("e", 64, {local_hosts, remote_hosts}, host));
    }
}

TEST_CASE("the choice of an endpoint")
{
    std::mt19937_64 random(1);
    const auto random_source = [&]
    {
        return random();
    };
    std::vector<candidate> candidates(3);
    for (auto& each : candidates)
        each = {"a", 0, 4, 0, 8, true};

    SECTION("prefers the least loaded")
    {
        candidates[0].in_flight = 3;
        candidates[1].in_flight = 1;
        candidates[2].in_flight = 2;
        CHECK(choose(candidates, "a", random_source) == std::size_t{1});
    }
    SECTION("stays in the zone while it has a free slot")
    {
        candidates[0].zone = "b";
        candidates[1].zone = "b";
        candidates[2].in_flight = 3;
        CHECK(choose(candidates, "a", random_source) == std::size_t{2});
        candidates[2].in_flight = 4;
        CHECK(choose(candidates, "a", random_source) < std::size_t{2});
    }
    SECTION("finds none where every slot is taken")
    {
        for (auto& each : candidates)
            each.in_flight = 4;
        CHECK_FALSE(choose(candidates, "a", random_source));
    }
}

TEST_CASE("retries")
{
    retry_budget budget;
    const time_point_t now{};
    const auto later_time = now + std::chrono::seconds(1);

    SECTION("never repeat a non-idempotent request that may have run")
    {
        CHECK_FALSE(may_retry(budget, attempt_outcome::may_have_run, false, 1,
                              now, later_time));
        CHECK_FALSE(may_retry(budget, attempt_outcome::failed, false, 1, now,
                              later_time));
        CHECK(may_retry(budget, attempt_outcome::not_sent, false, 1, now,
                        later_time));
    }
    SECTION("are at most a tenth of the requests in the long run")
    {
        int retries = 0;
        for (int request = 0; request < 1000; ++request)
        {
            count_request(budget);
            retries += may_retry(budget, attempt_outcome::failed, true, 1, now,
                                 later_time);
        }
        CHECK(retries <= 110);
    }
    SECTION("end with the deadline")
    {
        CHECK_FALSE(may_retry(budget, attempt_outcome::not_sent, true, 1,
                              later_time, now));
    }
}

TEST_CASE("ejection")
{
    endpoint_health health;
    const time_point_t now = std::chrono::steady_clock::now();
    CHECK_FALSE(record_outcome(health, false, 0, 4, now));
    CHECK_FALSE(record_outcome(health, false, 0, 4, now));

    SECTION("comes after three consecutive failures and ends by itself")
    {
        CHECK(record_outcome(health, false, 0, 4, now));
        CHECK_FALSE(usable(health, now));
        CHECK(usable(health, now + std::chrono::seconds(3)));
    }
    SECTION("never ejects more than half of a version's endpoints")
    {
        CHECK_FALSE(record_outcome(health, false, 2, 4, now));
        CHECK(usable(health, now));
    }
}

TEST_CASE("quarantine begins with the second crash")
{
    quarantine known;
    const auto now = std::chrono::steady_clock::now();
    CHECK_FALSE(record_endpoint_crash(known, "f", now));
    CHECK_FALSE(quarantined(known, "f"));
    CHECK(record_endpoint_crash(known, "f", now));
    CHECK(quarantined(known, "f"));
    expire(known, now + std::chrono::hours(2));
    CHECK_FALSE(quarantined(known, "f"));
}

TEST_CASE("membership")
{
    members_t members;
    const std::vector<listed_host> host_list{{"a1", "a", "x", false},
                                             {"a2", "a", "x", false},
                                             {"a3", "a", "x", false},
                                             {"b1", "b", "x", false}};
    merge_list(members, host_list);
    const auto now = std::chrono::steady_clock::now();
    const milliseconds silence(1000);

    SECTION("counts only newer heartbeats")
    {
        merge_beats(members, std::vector<member_beat>{{"a2", 1, 5, false}},
                    now);
        const auto later_time = now + silence * 2;
        merge_beats(members, std::vector<member_beat>{{"a2", 1, 4, false}},
                    later_time);
        CHECK(alive(members.at("a2"), now, silence));
        CHECK_FALSE(alive(members.at("a2"), later_time, silence));
        merge_beats(members, std::vector<member_beat>{{"a2", 2, 1, false}},
                    later_time);
        CHECK(alive(members.at("a2"), later_time, silence));
    }
    SECTION("chooses a live replica host of the zone, preferably not leaving")
    {
        CHECK(choose_replica_host(members, "a1", now, silence).empty());
        merge_beats(members,
                    std::vector<member_beat>{{"a2", 1, 1, true},
                                             {"a3", 1, 1, false},
                                             {"b1", 1, 1, false}},
                    now);
        CHECK(choose_replica_host(members, "a1", now, silence) == "a3");
    }
    SECTION("sends heartbeats to a bounded number of hosts")
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

TEST_CASE("late in a planned stop only what ends in time is begun", "[routing]")
{
    const auto now = time_point_t{} + std::chrono::hours(1);
    const auto stop = plan_stop(now, milliseconds(8000));
    CHECK(stop.late_from == now + milliseconds(2600));
    CHECK(stop.ends == now + milliseconds(7300));
    CHECK(stop.closes == now + milliseconds(7500));
    const auto long_one = now + milliseconds(15000);
    CHECK(may_begin(stop, long_one, now));
    CHECK(may_begin(stop, long_one, now + milliseconds(2599)));
    CHECK_FALSE(may_begin(stop, long_one, now + milliseconds(2600)));
    CHECK(may_begin(stop, now + milliseconds(7300), now + milliseconds(5000)));
    CHECK_FALSE(
        may_begin(stop, now + milliseconds(7301), now + milliseconds(5000)));
}

TEST_CASE("a stop gives nothing up before the last sixth of its grace period",
          "[routing]")
{
    const auto now = time_point_t::clock::now();
    for (const int grace_ms : {1000, 2000, 3000, 4000, 6000, 8000, 30000})
    {
        INFO(grace_ms);
        const milliseconds grace(grace_ms);
        const auto stop = plan_stop(now, grace);
        CHECK(stop.late_from <= stop.ends);
        CHECK(stop.ends - now >= grace * 5 / 6);
        CHECK(stop.ends < stop.closes);
        CHECK(stop.closes < now + grace);
    }
}
