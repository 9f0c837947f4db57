// Quarantine of prompt parts and requests that crash endpoints: the choice of
// the cause, its spread over hosts, and the way out of a wrong quarantine.

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/routing/crash_evidence.hpp>

#include "../../src/node/crash_pool.hpp"

using namespace rhubarbgrade;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

const time_point_t start = time_point_t{} + hours(1);

const std::vector<std::string> hosts{"h0", "h1", "h2", "h3", "h4"};

/// A request with the parts of a prompt, from the first on, and its own id.
crash_suspects_t request(const std::vector<std::uint64_t>& parts,
                         std::uint64_t own)
{
    crash_suspects_t suspects;
    for (const auto each : parts)
    {
        const auto depth = static_cast<std::uint32_t>(suspects.size());
        suspects[each].depth = depth;
    }
    suspects[own].depth = static_cast<std::uint32_t>(parts.size() + 1);
    return suspects;
}

crash_records_t records(const std::vector<crash_suspects_t>& crashes,
                        milliseconds interval = seconds(1))
{
    crash_records_t all;
    for (const auto& each : crashes)
        all[all.size()] = {start + static_cast<int>(all.size()) * interval,
                           each};
    return all;
}

std::set<std::uint64_t> ids(const std::map<std::uint64_t, int>& quarantined)
{
    std::set<std::uint64_t> all;
    for (const auto& [id, trial] : quarantined)
        all.insert(id);
    return all;
}

using id_set_t = std::set<std::uint64_t>;

} // namespace

TEST_CASE("the cause of crashes is what all of them have in common",
          "[crashes]")
{
    SECTION("a part of otherwise different requests")
    {
        const auto crashes = records(
            {request({1, 7}, 101), request({2, 7}, 102), request({1, 7}, 103)});
        CHECK(find_crash_causes(crashes, {}) == id_set_t{7});
    }
    SECTION("the part that most crashes have in common, not those beside it")
    {
        const auto crashes =
            records({request({1, 7}, 101), request({1, 7}, 102),
                     request({1, 7}, 103), request({2, 7}, 104)});
        CHECK(find_crash_causes(crashes, {}) == id_set_t{7});
    }
    SECTION("the most specific, if it is as frequent as its parts")
    {
        const auto crashes = records(
            {request({1, 7}, 101), request({1, 7}, 101), request({1, 7}, 101)});
        CHECK(find_crash_causes(crashes, {}) == id_set_t{101});
    }
    SECTION("a first part, if the parts after it differ")
    {
        const auto crashes = records(
            {request({1, 7}, 101), request({1, 8}, 102), request({1, 9}, 103)});
        CHECK(find_crash_causes(crashes, {}) == id_set_t{1});
    }
    SECTION("two parts that crash endpoints at the same time")
    {
        const auto crashes = records(
            {request({1, 7}, 101), request({2, 8}, 102), request({3, 7}, 103),
             request({4, 8}, 104), request({5, 7}, 105), request({6, 8}, 106)});
        CHECK(find_crash_causes(crashes, {}) == id_set_t{7, 8});
    }
    SECTION("none, if too few crashes have something in common")
    {
        const auto crashes = records(
            {request({1, 7}, 101), request({2, 7}, 102), request({3, 8}, 103)});
        CHECK(find_crash_causes(crashes, {}).empty());
    }
}

TEST_CASE("a suspect is not the cause of crashes that it is cleared of",
          "[crashes]")
{
    auto crashes = records(
        {request({1, 7}, 101), request({1, 8}, 102), request({1, 9}, 103)});
    crashes[0].suspects[1].cleared = true;
    CHECK(find_crash_causes(crashes, {}).empty());
}

TEST_CASE("endpoints that fail at the same moment are no repeated crash",
          "[crashes]")
{
    const std::vector<crash_suspects_t> crashed(9, request({1, 7}, 101));
    CHECK(find_crash_causes(records(crashed, milliseconds(5)), {}).empty());
    CHECK_FALSE(
        find_crash_causes(records(crashed, milliseconds(150)), {}).empty());
}

TEST_CASE("crashes that a quarantine explains accuse nothing else", "[crashes]")
{
    const auto crashes = records(
        {request({1, 7}, 101), request({1, 7}, 102), request({1, 7}, 103)});
    CHECK(find_crash_causes(crashes, {7}).empty());
}

TEST_CASE("a part is quarantined at all hosts after three crashes seen by any",
          "[crashes]")
{
    crash_pool first("h1");
    crash_pool second("h2");
    crash_pool third("h3");
    const auto exchange = [&](time_point_t now)
    {
        first.merge(second.shared(now), now);
        second.merge(first.shared(now), now);
        first.update(now);
        second.update(now);
    };
    first.record_crash(11, request({1, 7}, 101), start);
    second.record_crash(12, request({2, 7}, 102), start + seconds(1));
    exchange(start + seconds(2));
    CHECK(first.quarantined(hosts, start + seconds(2)).empty());
    // Both lose a request at the same crash: it counts once.
    first.record_crash(12, request({3, 7}, 103), start + seconds(1));
    exchange(start + seconds(2));
    CHECK(first.quarantined(hosts, start + seconds(2)).empty());
    second.record_crash(13, request({4, 7}, 104), start + seconds(2));
    exchange(start + seconds(3));
    CHECK(ids(first.quarantined(hosts, start + seconds(3))) == id_set_t{7});
    CHECK(ids(second.quarantined(hosts, start + seconds(3))) == id_set_t{7});
    // A host that starts later learns it from one that saw the least of it.
    const auto later = start + minutes(2);
    first.update(later);
    third.merge(first.shared(later), later);
    CHECK(ids(third.quarantined(hosts, later)) == id_set_t{7});
    CHECK(third.suspected() == id_set_t{7});
}

TEST_CASE("crashes stay known when the host that saw them is gone", "[crashes]")
{
    crash_pool witness("h1");
    crash_pool middle("h2");
    crash_pool last("h3");
    witness.record_crash(11, request({1, 7}, 101), start);
    witness.record_crash(12, request({2, 7}, 102), start + seconds(1));
    middle.merge(witness.shared(start + seconds(1)), start + seconds(1));
    // The witness is gone, and another host has started.
    auto now = start + seconds(30);
    last.record_crash(13, request({3, 7}, 103), now);
    middle.merge(last.shared(now), now);
    now += seconds(1);
    middle.update(now);
    last.merge(middle.shared(now), now);
    CHECK(ids(last.quarantined(hosts, now)) == id_set_t{7});
}

TEST_CASE("a whole answer ends a wrong quarantine at all hosts", "[crashes]")
{
    crash_pool first("h1");
    crash_pool second("h2");
    for (std::uint64_t i = 0; i < 3; ++i)
        first.record_crash(i, request({20 + i, 7}, 101 + i),
                           start + static_cast<int>(i) * seconds(1));
    auto now = start + seconds(3);
    first.update(now);
    second.merge(first.shared(now), now);
    const auto outdated = second.shared(now);
    CHECK(ids(second.quarantined(hosts, now)) == id_set_t{7});
    now += seconds(1);
    first.clear(7, now);
    CHECK(first.quarantined(hosts, now).empty());
    second.merge(first.shared(now), now);
    second.update(now);
    CHECK(second.quarantined(hosts, now).empty());
    // A message that was sent before does not bring it back.
    first.merge(outdated, now + milliseconds(200));
    first.update(now + milliseconds(200));
    CHECK(first.quarantined(hosts, now).empty());
    // New crashes do.
    now += seconds(5);
    for (std::uint64_t i = 10; i < 13; ++i)
    {
        first.record_crash(i, request({i, 7}, 101 + i), now);
        now += seconds(1);
    }
    first.update(now);
    CHECK(ids(first.quarantined(hosts, now)) == id_set_t{7});
    second.merge(first.shared(now), now);
    CHECK(ids(second.quarantined(hosts, now)) == id_set_t{7});
}

TEST_CASE("a quarantine that rests on a part of the reports ends with the rest",
          "[crashes]")
{
    crash_pool first("h1");
    crash_pool second("h2");
    // The first host sees only what ran beside the bad requests.
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        const auto at = start + static_cast<int>(i) * seconds(1);
        first.record_crash(i, request({1, 30 + i}, 101 + i), at);
        second.record_crash(i, request({20 + i, 7}, 201 + i), at);
    }
    auto now = start + seconds(3);
    first.update(now);
    CHECK(ids(first.quarantined(hosts, now)) == id_set_t{1});
    now += seconds(1);
    for (int i = 0; i < 2; ++i)
    {
        second.merge(first.shared(now), now);
        second.update(now);
        first.merge(second.shared(now), now);
        first.update(now);
    }
    CHECK(ids(first.quarantined(hosts, now)) == id_set_t{7});
    CHECK(ids(second.quarantined(hosts, now)) == id_set_t{7});
}

TEST_CASE("older crashes alone do not release the part that explains all",
          "[crashes]")
{
    crash_pool pool("h1");
    auto now = start;
    for (std::uint64_t i = 0; i < 20; ++i)
    {
        // The first crashes have a request in common, the others only a part;
        // a sound part runs beside some of these.
        if (i < 8)
        {
            pool.record_crash(i, request({1, 7}, i < 3 ? 101 : 102 + i), now);
            if (i > 3 && i != 6)
                pool.record_crash(i, request({1, 9}, 202 + i), now);
        }
        for (int step = 0; step < 3; ++step)
        {
            pool.clear(1, now);
            pool.update(now);
            now += milliseconds(100);
        }
        INFO("interval " << i);
        const auto quarantined = ids(pool.quarantined(hosts, now));
        CHECK(quarantined.contains(7) == (i >= 5));
        CHECK_FALSE(quarantined.contains(9));
    }
}

TEST_CASE(
    "a sound part whose requests are refused is released with the reports "
    "on the bad one",
    "[crashes]")
{
    crash_pool first("h1");
    crash_pool second("h2");
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        const auto at = start + static_cast<int>(i) * seconds(1);
        first.record_crash(i, request({1, 9}, 101 + i), at);
        second.record_crash(i, request({20 + i, 7}, 201 + i), at);
    }
    first.clear(1, start + seconds(2));
    auto now = start + seconds(3);
    first.update(now);
    CHECK(ids(first.quarantined(hosts, now)) == id_set_t{9});
    // No request with the sound part runs, so none can clear it.
    second.record_crash(3, request({24, 7}, 204), now);
    for (int step = 0; step < 40; ++step)
    {
        first.merge(second.shared(now), now);
        second.merge(first.shared(now), now);
        first.update(now);
        second.update(now);
        now += milliseconds(100);
    }
    CHECK(ids(first.quarantined(hosts, now)) == id_set_t{7});
    CHECK(ids(second.quarantined(hosts, now)) == id_set_t{7});
}

TEST_CASE("a late report on a crash that has expired is passed on safely",
          "[crashes]")
{
    crash_pool first("h1");
    crash_pool second("h2");
    first.record_crash(11, request({1, 7}, 101), start);
    second.record_crash(11, request({2, 8}, 102), start);
    auto now = start + seconds(59);
    first.clear(7, now);
    second.clear(8, now);
    now = start + seconds(60) + milliseconds(10);
    const auto late = second.shared(start + seconds(60));
    first.update(now);
    first.merge(late, now);
    const auto published = first.shared(now);
    for (const auto& each : published.crashes)
        CHECK(each.suspects.count(7) == 0);
}

TEST_CASE("crashes and quarantines expire", "[crashes]")
{
    crash_pool pool("h1");
    for (std::uint64_t i = 0; i < 2; ++i)
        pool.record_crash(i, request({1, 7}, 101 + i),
                          start + static_cast<int>(i) * seconds(1));
    pool.update(start + minutes(2));
    pool.record_crash(5, request({2, 7}, 105), start + minutes(2));
    CHECK(pool.quarantined(hosts, start + minutes(2)).empty());
    for (std::uint64_t i = 6; i < 8; ++i)
        pool.record_crash(i, request({2, 7}, 101 + i),
                          start + minutes(2) +
                              static_cast<int>(i) * seconds(1));
    const auto quarantined = start + minutes(3);
    pool.update(start + minutes(2) + seconds(9));
    pool.update(quarantined + minutes(50));
    CHECK(ids(pool.quarantined(hosts, quarantined)).contains(7));
    pool.update(quarantined + hours(2));
    CHECK(pool.quarantined(hosts, quarantined + hours(2)).empty());
    CHECK(pool.suspected().empty());
}

TEST_CASE("one host at a time tries a quarantined part, ever more rarely",
          "[crashes]")
{
    CHECK(quarantine_trials(seconds(59)) == 0);
    CHECK(quarantine_trials(seconds(60)) == 1);
    CHECK(quarantine_trials(seconds(299)) == 1);
    CHECK(quarantine_trials(seconds(300)) == 2);
    // Three requests in the hour that a quarantine lasts.
    CHECK(quarantine_trials(hours(1)) == 3);

    std::vector<crash_pool> pools;
    for (int i = 0; i < 5; ++i)
        pools.emplace_back("h" + std::to_string(i));
    for (std::uint64_t i = 0; i < 3; ++i)
        pools[0].record_crash(i, request({1, 7}, 101 + i),
                              start + static_cast<int>(i) * seconds(1) -
                                  seconds(3));
    pools[0].update(start);
    const auto count_trials = [&](time_point_t now)
    {
        for (std::size_t i = 0; i < pools.size(); ++i)
            for (std::size_t k = 0; k < pools.size(); ++k)
                if (i != k)
                    pools[i].merge(pools[k].shared(now), now);
        return std::count_if(pools.begin(), pools.end(),
                             [&](const auto& each)
                             {
                                 return each.quarantined(hosts, now).at(7) > 0;
                             });
    };
    CHECK(count_trials(start + seconds(30)) == 0);
    CHECK(count_trials(start + seconds(70)) == 1);
    CHECK(count_trials(start + seconds(400)) == 1);

    std::map<std::uint64_t, int> made;
    const auto trial = admit(request({1, 7}, 900), {{7, 1}}, made);
    CHECK(trial.is_trial);
    const auto refused = admit(request({1, 7}, 901), {{7, 1}}, made);
    CHECK(refused.suspect == std::uint64_t{7});
    CHECK_FALSE(refused.is_trial);
    CHECK_FALSE(admit(request({1, 8}, 902), {{7, 1}}, made).suspect);
    CHECK(admit(request({1, 7}, 903), {{7, 2}}, made).is_trial);
}

namespace
{

/// Hosts and endpoints under sound requests and requests with a bad part, in
/// steps of 10 ms.
class simulated_fleet
{
public:
    simulated_fleet(unsigned seed, int hosts, int endpoints)
        : m_random(seed), m_down_until(static_cast<std::size_t>(endpoints))
    {
        for (int i = 0; i < hosts; ++i)
        {
            m_pools.emplace_back("h" + std::to_string(i));
            m_next_heartbeat.push_back(start + milliseconds(10) * pick(50));
        }
    }

    /// Lets all requests share few parts, and bad ones come again as they were.
    void narrow_requests(std::uint64_t first_parts, std::uint64_t sound_parts,
                         std::uint64_t bad_requests)
    {
        m_first_parts = first_parts;
        m_sound_parts = sound_parts;
        m_bad_requests = bad_requests;
    }

    void run(seconds duration, double sound_per_s, double bad_per_s)
    {
        constexpr milliseconds step{10};
        for (auto end = m_now + duration; m_now < end; m_now += step)
        {
            for (auto due = sound_per_s / 100; due > 0; due -= 1)
                if (chance(due))
                    send({pick(m_first_parts), 1000 + pick(m_sound_parts)});
            if (chance(bad_per_s / 100))
                send({pick(m_first_parts), bad_part});
            finish_requests();
            for (std::size_t i = 0; i < m_pools.size(); ++i)
            {
                if (m_now >= m_next_heartbeat[i])
                    send_heartbeat(i);
                if ((m_now - start) % milliseconds(200) == milliseconds(0))
                    m_pools[i].update(m_now);
            }
        }
    }

    /// Requests with the bad part that ran later than 3 s after the fifth
    /// crash.
    int late() const
    {
        return m_late;
    }

    std::size_t crashes() const
    {
        return m_crashes.size();
    }

    /// Sound requests that were refused later than 6 s after the fifth crash,
    /// or the last if there were fewer.
    int wrongly_refused() const
    {
        return static_cast<int>(
            std::count_if(m_refusals.begin(), m_refusals.end(),
                          [&](time_point_t each)
                          {
                              return each > bound() + seconds(3);
                          }));
    }

    static constexpr std::uint64_t bad_part = 7777;

private:
    struct running_request
    {
        std::size_t host = 0;
        std::size_t endpoint = 0;
        crash_suspects_t suspects;
        bool bad = false;
        time_point_t begins{};
        time_point_t ends{};
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>()(m_random) < probability;
    }

    std::uint64_t pick(std::uint64_t count)
    {
        return m_random() % count;
    }

    time_point_t bound() const
    {
        if (m_crashes.empty())
            return m_now;
        return m_crashes[std::min<std::size_t>(5, m_crashes.size()) - 1] +
               seconds(3);
    }

    void send(const std::vector<std::uint64_t>& parts)
    {
        running_request sent;
        sent.host = pick(m_pools.size());
        sent.bad = parts[1] == bad_part;
        sent.suspects = request(parts, sent.bad && m_bad_requests != 0
                                           ? 900000 + pick(m_bad_requests)
                                           : 1000000 + ++m_count);
        const auto quarantined = m_pools[sent.host].quarantined(hosts, m_now);
        std::map<std::uint64_t, int> trials;
        if (admit(sent.suspects, quarantined, trials).suspect)
        {
            if (!sent.bad)
                m_refusals.push_back(m_now);
            return;
        }
        do
            sent.endpoint = pick(m_down_until.size());
        while (m_down_until[sent.endpoint] > m_now && chance(0.9));
        if (m_down_until[sent.endpoint] > m_now)
            return;
        if (sent.bad && m_crashes.size() >= 5 && m_now > bound())
            ++m_late;
        sent.begins = m_now + milliseconds(50 + pick(600));
        sent.ends =
            sent.begins + milliseconds(sent.bad ? 70 : 200 + pick(4000));
        m_running.push_back(sent);
    }

    void finish_requests()
    {
        for (std::size_t i = 0; i < m_running.size(); ++i)
        {
            if (m_running[i].ends > m_now)
                continue;
            const auto ended = m_running[i];
            m_running.erase(m_running.begin() + static_cast<long>(i--));
            if (ended.bad)
            {
                crash(ended);
                i = static_cast<std::size_t>(-1);
                continue;
            }
            for (const auto& [id, suspect] : ended.suspects)
                m_pools[ended.host].clear(id, m_now);
        }
    }

    void crash(const running_request& cause)
    {
        m_crashes.push_back(m_now);
        m_down_until[cause.endpoint] = m_now + milliseconds(2500 + pick(2000));
        const auto process = m_crashes.size();
        record(cause.host, process, cause.suspects);
        for (const auto& each : m_running)
            if (each.endpoint == cause.endpoint)
                record(each.host, process,
                       each.begins + seconds(1) > m_now ? each.suspects
                                                        : crash_suspects_t{});
        std::erase_if(m_running,
                      [&](const auto& each)
                      {
                          return each.endpoint == cause.endpoint;
                      });
    }

    void record(std::size_t host, std::uint64_t process,
                const crash_suspects_t& suspects)
    {
        m_pools[host].record_crash(process, suspects, m_now);
        m_next_heartbeat[host] =
            std::min(m_next_heartbeat[host], m_now + milliseconds(50));
    }

    void send_heartbeat(std::size_t host)
    {
        constexpr double lost_datagrams = 0.05;
        m_next_heartbeat[host] = m_now + milliseconds(500);
        const auto known = m_pools[host].shared(m_now);
        for (std::size_t i = 0; i < m_pools.size(); ++i)
            if (i != host && !chance(lost_datagrams))
                m_pools[i].merge(known, m_now);
    }

    std::mt19937 m_random;
    time_point_t m_now = start;
    std::vector<crash_pool> m_pools;
    std::vector<time_point_t> m_next_heartbeat;
    std::vector<time_point_t> m_down_until;
    std::vector<running_request> m_running;
    std::vector<time_point_t> m_crashes;
    std::vector<time_point_t> m_refusals; ///< of sound requests
    std::uint64_t m_count = 0;
    std::uint64_t m_first_parts = 20;
    std::uint64_t m_sound_parts = 139;
    std::uint64_t m_bad_requests = 0; ///< 0: each is new
    int m_late = 0;
};

} // namespace

TEST_CASE("in a simulated fleet a bad part soon stops, and sound parts go on",
          "[crashes]")
{
    const auto seed = GENERATE(range(1U, 51U));
    INFO("seed " << seed);
    const auto hosts = 3 + static_cast<int>(seed % 3) * 8;
    simulated_fleet fleet(seed, hosts, 18);
    fleet.run(seconds(3), 90, 0);
    const double bad_per_s = 1 + seed % 8;
    fleet.run(seconds(25), 90, bad_per_s);
    CHECK(fleet.crashes() >= 3);
    CHECK(fleet.late() <= 3);
    CHECK(fleet.wrongly_refused() == 0);
}

TEST_CASE("a bad part soon stops in a simulated fleet of many hosts",
          "[crashes]")
{
    const auto seed = GENERATE(range(1U, 4U));
    INFO("seed " << seed);
    simulated_fleet fleet(seed, 79, 144);
    fleet.run(seconds(2), 700, 0);
    const double bad_per_s = 6 * seed;
    fleet.run(seconds(15), 700, bad_per_s);
    CHECK(fleet.crashes() >= 3);
    CHECK(fleet.late() <= 3);
    CHECK(fleet.wrongly_refused() == 0);
}

TEST_CASE("a bad part stays in quarantine if its requests come again and sound "
          "ones share few parts",
          "[crashes]")
{
    const auto seed = GENERATE(range(1U, 51U));
    INFO("seed " << seed);
    simulated_fleet fleet(seed, 9, 14);
    fleet.narrow_requests(1, 3, 2 + seed % 7);
    fleet.run(seconds(3), 50, 0);
    fleet.run(seconds(25), 50, 4 + seed % 8);
    CHECK(fleet.crashes() >= 3);
    CHECK(fleet.late() <= 3);
    CHECK(fleet.wrongly_refused() == 0);
}
