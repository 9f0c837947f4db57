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
    CHECK(use_of_store(situation, now()) == store_use::none);
    situation.confirmed_at = now() - age;
    CHECK(use_of_store(situation, now()) == store_use::reads);
    // During a fault of the store that others report, only the first few watch
    // it on trial.
    situation.others_try = true;
    CHECK(use_of_store(situation, now()) == store_use::asks);
    situation.rank = reader_policy{}.trying_hosts;
    CHECK(use_of_store(situation, now()) == store_use::asks);
    situation.rank = reader_policy{}.trying_hosts - 1;
    CHECK(use_of_store(situation, now()) == store_use::reads);
    situation.failing = true;
    CHECK(use_of_store(situation, now()) == store_use::asks);
    situation.failing = false;
    // A host that the store answers has a whole path, whatever others report.
    situation.rank = zone_size - 1;
    situation.answered = true;
    CHECK(use_of_store(situation, now()) == store_use::reads);
    situation.answered = false;
    // A host that knows nothing can serve nobody.
    situation.knows_state = false;
    CHECK(use_of_store(situation, now()) == store_use::reads);
    situation.chosen = true;
    situation.others_try = false;
    situation.confirmed_at = now();
    CHECK(use_of_store(situation, now()) == store_use::reads);
}

// Guards against a state that stays old: whatever the other hosts report, a
// host whose state is older than the bound makes calls of its own.
TEST_CASE("no report of others keeps a host with an old state from the store",
          "[readers]")
{
    reader_situation situation;
    situation.others_try = GENERATE(false, true);
    situation.knows_state = GENERATE(false, true);
    situation.failing = GENERATE(false, true);
    situation.answered = GENERATE(false, true);
    situation.rank = GENERATE(0U, 1U, 2U, 3U, 5U, 48U);
    situation.confirmed_at = now() - max_state_age(situation.rank);
    CHECK(use_of_store(situation, now()) != store_use::none);
}

TEST_CASE("while the store refuses many, a host that it answers is chosen",
          "[readers]")
{
    auto hosts = zone(3);
    REQUIRE(choose_reader(hosts).empty());
    const auto answered = std::find_if(hosts.begin(), hosts.end(),
                                       [](const auto& each)
                                       {
                                           return !each.failing;
                                       });
    answered->answered = true;
    CHECK(choose_reader(hosts) == answered->host);
    answered->failing = true;
    CHECK(choose_reader(hosts).empty());
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

    /// Cuts a host from the store, or gives it its path back. It stays in
    /// touch with the other hosts.
    void set_cut(std::size_t host, bool cut)
    {
        m_hosts[host].cut = cut;
        m_hosts[host].path_since = m_now;
    }

    /// Age of the oldest state of a host that has had its path to the store for
    /// a time.
    milliseconds oldest_in_touch(milliseconds contact) const
    {
        time_point_t first = m_now;
        for (const auto& each : m_hosts)
            if (!each.cut && m_now - each.path_since >= contact)
                first = std::min(first, each.confirmed_at);
        return std::chrono::duration_cast<milliseconds>(m_now - first);
    }

    /// Calls by which hosts have asked the store before they watched it.
    std::size_t asked() const
    {
        return m_asked;
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

    /// The host that reads, if it is one.
    std::size_t reader() const
    {
        return static_cast<std::size_t>(
            std::find_if(m_hosts.begin(), m_hosts.end(),
                         [](const auto& each)
                         {
                             return !each.dead && each.reads;
                         }) -
            m_hosts.begin());
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
        bool cut = false;
        bool answered = false;
        std::size_t rank = 0;
        time_point_t died_at{};
        time_point_t path_since{};
        time_point_t asks_at{}; ///< next call while it doesn't read
        time_point_t reads_since{};
        time_point_t confirmed_at = now();
        time_point_t told_at = now(); ///< by the reader of the zone
    };

    /// Until a dead host is no candidate any more.
    static constexpr milliseconds noticed{1800};
    /// From the begin of reading until the state is the store's and has been
    /// told.
    static constexpr milliseconds read_time{100};
    /// From the begin of reading until a host that is cut says that it fails.
    static constexpr milliseconds fail_time{900};
    /// Between two calls of a host that fails, with a time-out.
    static constexpr milliseconds ask_pause{2200};

    static constexpr long news_ms = 500;

    /// The two best hosts of a zone pass on what they have from others.
    bool speaks(const host& each) const
    {
        constexpr std::size_t hubs = 2;
        return !each.dead && !each.hangs &&
               (each.rank < hubs || each.candidate.host == m_reader ||
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

    /// Chooses the reader and the deputies anew if a host is listed no longer,
    /// or reports something else of the store.
    void update_ranks()
    {
        std::vector<reader_candidate> listed;
        std::vector<std::pair<bool, bool>> reports;
        for (const auto& each : m_hosts)
            if (is_listed(each))
            {
                listed.push_back(each.candidate);
                listed.back().answered = each.reads && each.answered;
                reports.emplace_back(listed.back().failing,
                                     listed.back().answered);
            }
        if (std::exchange(m_reports, reports) == reports)
            return;
        m_others_try = std::any_of(listed.begin(), listed.end(),
                                   [](const auto& each)
                                   {
                                       return each.failing;
                                   });
        m_reader = choose_reader(listed, m_policy);
        for (auto& each : m_hosts)
            if (!each.dead)
                each.rank = reader_rank(listed, each.candidate.host);
    }

    void decide(host& each)
    {
        const auto use = use_of_store(
            {each.candidate.host == m_reader, m_others_try, true,
             each.reads ? each.told_at : each.confirmed_at, each.rank,
             each.candidate.failing, each.reads || each.answered},
            m_now, m_policy);
        const bool reads = use == store_use::reads;
        m_begun += reads && !each.reads ? 1 : 0;
        if (reads && !each.reads)
            each.reads_since = m_now;
        each.reads = reads;
        if (use == store_use::none)
            each.answered = false;
        if (reads)
            read(each);
        else if (use == store_use::asks || each.candidate.failing)
            ask(each);
    }

    void read(host& each) const
    {
        const auto time = m_now - each.reads_since;
        if (each.cut && time >= fail_time)
        {
            each.candidate.failing = true;
            each.answered = false;
            each.asks_at = m_now + ask_pause;
        }
        else if (!each.cut && !each.hangs && time >= read_time)
        {
            each.candidate.failing = false;
            each.answered = true;
            each.confirmed_at = m_now;
        }
    }

    void ask(host& each)
    {
        if (m_now < each.asks_at)
            return;
        ++m_asked;
        // A host that was answered asks at once when its state gets old.
        each.asks_at = each.cut ? m_now + ask_pause : m_now;
        each.answered = !each.cut;
        each.candidate.failing = each.cut;
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
    /// What the hosts that the reader is chosen from report of the store:
    /// whether it fails, whether it answers.
    std::vector<std::pair<bool, bool>> m_reports;
    bool m_others_try = false;
    std::size_t m_begun = 0;
    std::size_t m_asked = 0;
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

// Guards against a state that stays old for a host whose own path is whole: its
// zone's first hosts were cut from the store in overlapping series, and it left
// the trying to them.
TEST_CASE("hosts that reach the store have a young state whatever other hosts "
          "of their zone are cut from it",
          "[readers]")
{
    const std::size_t hosts = GENERATE(4, 9, 49);
    const std::size_t whole = GENERATE(1, 3);
    const int overlap_ms = GENERATE(0, 900, 2500);
    const milliseconds bound(GENERATE(2000, 3000));
    constexpr milliseconds contact{3000};
    for (unsigned seed = 1; seed <= 2; ++seed)
    {
        CAPTURE(hosts, whole, overlap_ms, bound.count(), seed);
        simulated_zone zone(hosts, bound, 0, seed);
        const auto run = [&](long ms)
        {
            milliseconds oldest{0};
            for (; ms > 0; ms -= simulated_zone::step_ms)
            {
                zone.step();
                oldest = std::max(oldest, zone.oldest_in_touch(contact));
            }
            REQUIRE(oldest < bound);
        };
        run(5000);
        // The first hosts are cut, then all but the last ones; these had been
        // cut as well and come back while the others are still away.
        const auto cut = [&](std::size_t from, std::size_t to, bool away)
        {
            for (auto i = from; i < to; ++i)
                zone.set_cut(zone.ranked(i), away);
        };
        const auto last = hosts - whole;
        cut(0, hosts / 2, true);
        cut(last, hosts, true);
        run(3500);
        cut(hosts / 2, last, true);
        run(overlap_ms);
        cut(last, hosts, false);
        run(8000);
        // One of those that are left reads, and all others hear of it.
        CHECK(zone.readers() == 1);
        CHECK(zone.oldest() < bound);
        cut(0, last, false);
        run(6000);
        CHECK(zone.readers() == 1);
        CHECK(zone.ranked(0) == zone.reader());
    }
}

// Guards the other side: while the store answers nobody, few hosts watch it,
// and the others ask now and then.
TEST_CASE("hosts ask a store that answers nobody at a bounded rate",
          "[readers]")
{
    constexpr std::size_t hosts = 49;
    constexpr long seconds = 20;
    simulated_zone zone(hosts, milliseconds(2000), 0, 1);
    for (std::size_t i = 0; i < hosts; ++i)
        zone.set_cut(i, true);
    for (long ms = 0; ms < seconds * 1000; ms += simulated_zone::step_ms)
        zone.step();
    CHECK(zone.readers() == 0);
    CHECK(zone.asked() <= hosts * seconds / 2);
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
