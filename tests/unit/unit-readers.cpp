// Which hosts read the store, in calm and while it refuses them.

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <utility>
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

TEST_CASE("a host reads by itself when its state gets old", "[readers]")
{
    reader_situation situation;
    situation.knows_state = true;
    situation.rank = zone_size - 1;
    const auto age = max_state_age(situation.rank);
    situation.confirmed_at = now() - age + milliseconds(1);
    CHECK_FALSE(reads_store(situation, now()));
    situation.confirmed_at = now() - age;
    CHECK(reads_store(situation, now()));
    // A fault of the store that others report needs no further calls than of
    // the first few.
    situation.others_try = true;
    CHECK_FALSE(reads_store(situation, now()));
    situation.rank = reader_policy{}.trying_hosts;
    CHECK_FALSE(reads_store(situation, now()));
    situation.rank = reader_policy{}.trying_hosts - 1;
    CHECK(reads_store(situation, now()));
    situation.failing = true;
    CHECK_FALSE(reads_store(situation, now()));
    situation.failing = false;
    // A host that knows nothing can serve nobody.
    situation.rank = zone_size - 1;
    situation.knows_state = false;
    CHECK(reads_store(situation, now()));
    situation.chosen = true;
    situation.others_try = false;
    situation.confirmed_at = now();
    CHECK(reads_store(situation, now()));
}

TEST_CASE("hosts whose state gets old don't begin to read all at once, and "
          "begin in time",
          "[readers]")
{
    reader_policy policy;
    for (const auto bound : {1500, 2000, 3000, 10000})
    {
        policy.apply_bound = milliseconds(bound);
        for (std::size_t rank = 1; rank < zone_size; ++rank)
        {
            const auto age = max_state_age(rank, policy);
            CHECK(age <= std::max(policy.min_state_age,
                                  policy.apply_bound - policy.apply_time));
            CHECK(age >= policy.min_state_age);
            if (bound >= 2000 && rank <= policy.deputies)
                CHECK(age + policy.deputy_step <=
                      max_state_age(rank + 1, policy));
        }
    }
    const auto hosts = zone();
    std::set<std::size_t> ranks;
    for (const auto& each : hosts)
        ranks.insert(reader_rank(hosts, each.host));
    CHECK(ranks.size() == hosts.size());
    CHECK(reader_rank(hosts, choose_reader(hosts)) == 0);
}

namespace
{

/// Hosts of a zone that hear of the state from those that read it, as in
/// node_control, in steps of simulated time.
class simulated_zone
{
public:
    simulated_zone(std::size_t hosts, milliseconds bound, double loss,
                   unsigned seed)
        : m_random(seed), m_loss(loss)
    {
        m_policy.apply_bound = bound;
        for (std::size_t i = 0; i < hosts; ++i)
            m_hosts.push_back(
                {{"h" + std::to_string(i), i < 3 ? 100.0 : 2.4, false}});
        for (auto& each : m_hosts)
            each.phase_ms = static_cast<long>(m_random() % 50) * step_ms;
    }

    /// The host that is n-th in rank among the living.
    std::size_t ranked(std::size_t n) const
    {
        std::vector<reader_candidate> alive;
        for (const auto& each : m_hosts)
            if (!each.dead)
                alive.push_back(each.candidate);
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            if (!m_hosts[i].dead &&
                reader_rank(alive, m_hosts[i].candidate.host) == n)
                return i;
        return m_hosts.size();
    }

    void kill(std::size_t host)
    {
        m_hosts[host].dead = true;
        m_hosts[host].died_at = m_now;
    }

    /// Kills what else serves as this zone's source without being noticed: its
    /// path to the store, so that it neither reads nor says that it fails.
    void hang(std::size_t host)
    {
        m_hosts[host].hangs = true;
    }

    void step()
    {
        m_now += milliseconds(step_ms);
        update_ranks();
        for (auto& each : m_hosts)
            if (!each.dead)
                decide(each);
        for (auto& each : m_hosts)
            if (speaks(each) && ((ms() + each.phase_ms) % news_ms == 0 ||
                                 m_now == each.reads_since + read_time))
                tell(each, each.candidate.host == m_reader);
    }

    /// Age of the oldest state of a living host.
    milliseconds oldest() const
    {
        time_point_t first = m_now;
        for (const auto& each : m_hosts)
            if (!each.dead && !each.hangs)
                first = std::min(first, each.confirmed_at);
        return std::chrono::duration_cast<milliseconds>(m_now - first);
    }

    std::size_t readers() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(),
                          [](const auto& each)
                          {
                              return !each.dead && each.reads;
                          }));
    }

    /// Times that hosts have begun to read.
    std::size_t begun() const
    {
        return m_begun;
    }

    static constexpr long step_ms = 10;

private:
    struct host
    {
        reader_candidate candidate;
        long phase_ms = 0;
        bool dead = false;
        bool hangs = false;
        bool reads = false;
        std::size_t rank = 0;
        time_point_t died_at{};
        time_point_t reads_since{};
        time_point_t confirmed_at = now();
        time_point_t told_at = now(); ///< by the reader of the zone
    };

    /// Until a dead host is no candidate any more.
    static constexpr milliseconds noticed{1800};
    /// From the begin of reading until the state is the store's and has been
    /// told.
    static constexpr milliseconds read_time{100};

    static constexpr long news_ms = 500;

    /// The two best hosts of a zone pass on what they have from others.
    bool speaks(const host& each) const
    {
        constexpr std::size_t hubs = 2;
        return !each.dead && !each.hangs &&
               (each.rank < hubs ||
                (each.reads && each.rank <= m_policy.deputies));
    }

    long ms() const
    {
        return std::chrono::duration_cast<milliseconds>(m_now - now()).count();
    }

    bool is_listed(const host& each) const
    {
        return !each.dead || m_now - each.died_at < noticed;
    }

    /// Chooses the reader and the deputies anew if a host is listed no longer.
    void update_ranks()
    {
        const auto count = static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(),
                          [this](const auto& each)
                          {
                              return is_listed(each);
                          }));
        if (std::exchange(m_listed, count) == count)
            return;
        std::vector<reader_candidate> listed;
        for (const auto& each : m_hosts)
            if (is_listed(each))
                listed.push_back(each.candidate);
        m_reader = choose_reader(listed, m_policy);
        for (auto& each : m_hosts)
            if (!each.dead)
                each.rank = reader_rank(listed, each.candidate.host);
    }

    void decide(host& each)
    {
        const bool reads = reads_store(
            {each.candidate.host == m_reader, false, true,
             each.reads ? each.told_at : each.confirmed_at, each.rank, false},
            m_now, m_policy);
        m_begun += reads && !each.reads ? 1 : 0;
        if (reads && !each.reads)
            each.reads_since = m_now;
        each.reads = reads;
        if (reads && !each.hangs && m_now - each.reads_since >= read_time)
            each.confirmed_at = m_now;
    }

    void tell(const host& from, bool is_reader)
    {
        std::uniform_real_distribution<double> uniform;
        for (auto& to : m_hosts)
        {
            if (&to == &from || uniform(m_random) < m_loss)
                continue;
            to.confirmed_at = std::max(to.confirmed_at, from.confirmed_at);
            if (is_reader)
                to.told_at = std::max(to.told_at, from.confirmed_at);
        }
    }

    std::mt19937 m_random;
    double m_loss;
    reader_policy m_policy;
    std::vector<host> m_hosts;
    time_point_t m_now = now();
    std::string m_reader;
    std::size_t m_listed = 0; ///< hosts that the reader is chosen from
    std::size_t m_begun = 0;
};

} // namespace

// Guards against times that add up for each further loss: a zone that lost its
// reader and then the successor took up to 2.7 s to learn of a change.
TEST_CASE("all hosts have a state that is young enough whatever readers end",
          "[readers]")
{
    const std::size_t hosts = GENERATE(2, 3, 9, 49);
    const std::size_t lost = GENERATE(1, 2, 3, 5);
    const int gap_ms = GENERATE(0, 300, 800, 1200, 1600, 2500);
    const milliseconds bound(GENERATE(2000, 3000));
    const bool hangs = GENERATE(false, true);
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        simulated_zone zone(hosts, bound, 0, seed);
        const auto run = [&](long ms)
        {
            for (; ms > 0; ms -= simulated_zone::step_ms)
            {
                zone.step();
                CAPTURE(hosts, lost, gap_ms, bound.count(), hangs, seed);
                REQUIRE(zone.oldest() < bound - milliseconds(250));
            }
        };
        run(5000);
        for (std::size_t i = 0; i < lost && i + 1 < hosts; ++i)
        {
            if (hangs)
                zone.hang(zone.ranked(0));
            zone.kill(zone.ranked(0));
            run(gap_ms);
        }
        run(6000);
        // One reader in the end, and few that stood in.
        CHECK(zone.readers() == 1);
        CAPTURE(hosts, lost, gap_ms, bound.count(), hangs, seed);
        if (lost <= 2)
            CHECK(zone.begun() <= 2 + lost * (reader_policy{}.deputies + 1));
    }
}

// Guards the other side: calls to the store must not grow with the hosts.
TEST_CASE("hosts don't read by themselves because news are lost now and then",
          "[readers]")
{
    constexpr double loss = 0.025;
    constexpr long seconds = 60;
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        simulated_zone zone(49, milliseconds(2000), loss, seed);
        for (long ms = 0; ms < seconds * 1000; ms += simulated_zone::step_ms)
            zone.step();
        CAPTURE(seed);
        // The reader, and less than one other in two seconds.
        CHECK(zone.begun() <= seconds / 2);
    }
}
