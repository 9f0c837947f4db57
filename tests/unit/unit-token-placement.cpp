// Where the tokens of one budget are: a fleet with skewed callers that draws on
// it until it is used up, with the decisions of the hosts and a virtual clock.
// Guards against refusals of requests that the budget still covers, and against
// tokens that are lost with the hosts when a budget is nearly used.

#include <algorithm> // max, min
#include <cmath>     // exp
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <deque>     // deque
#include <limits>    // numeric_limits
#include <random>    // mt19937
#include <string>    // string, to_string
#include <utility>   // move
#include <vector>    // vector

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/escrow/account_change.hpp> // apply_change
#include <rhubarbgrade/detail/escrow/account_view.hpp>   // account_view
#include <rhubarbgrade/detail/escrow/escrow.hpp>         // draw_tokens

using namespace rhubarbgrade;

namespace
{

const std::string customer = "clerks";

constexpr double tick_s = 0.05; ///< a message between hosts and its handling
constexpr double write_interval_s = 0.25;
constexpr double read_interval_s = 2;
constexpr double check_interval_s = 0.4;
constexpr double rate_time_constant_s = 4;
constexpr double max_wait_s = 0.25; ///< of a request for tokens
constexpr double settle_s = 1.5;    ///< in which an ended request still counts

/// The demand for one budget.
struct demand
{
    std::size_t hosts = 9;
    double requests_per_s = 28;
    double mean_tokens = 4800; ///< of the bounds of requests
    double budget_s = 30;      ///< seconds of demand that are prepaid
};

/// What became of the requests.
struct outcome
{
    int with_room = 0; ///< requests that the budget covered at their most
    int refused = 0;   ///< of these
    token_count_t prepaid = 0;
    token_count_t used = 0;
    token_count_t held = 0; ///< free at hosts at the end
    int writes = 0;

    double refused_share() const
    {
        return static_cast<double>(refused) / std::max(1, with_room);
    }

    double held_share() const
    {
        return static_cast<double>(held) / static_cast<double>(prepaid);
    }
};

struct request
{
    double ends = 0; ///< or gives up, while it waits
    token_count_t bound = 0;
    bool counted = false; ///< the budget covered it
};

struct model_host
{
    process_id self;
    account_view view;
    wallet_state wallet;
    token_count_t total_at_update = 0;
    double read_at = -read_interval_s;
    double checked_at = 0;
    double fleet_rate = 0;
    double measured_at = 0;
    token_count_t fleet_used = 0;
    std::deque<request> running;
    std::deque<request> waiting;
};

/// A fleet of hosts that reach each other, one of which writes the account.
class fleet_model
{
public:
    fleet_model(const demand& load, unsigned seed)
        : m_load(load), m_random(seed)
    {
        m_outcome.prepaid = static_cast<token_count_t>(
            load.requests_per_s * load.mean_tokens * load.budget_s);
        m_policy.hosts = load.hosts;
        std::vector<double> weights;
        for (std::size_t i = 0; i < load.hosts; ++i)
        {
            m_hosts.push_back({});
            m_hosts.back().self = {"h" + std::to_string(i), "1"};
            adopt(m_book, m_hosts.back().self, "10.0.0.1:1", "z");
            // The first host gets about a third of the requests.
            weights.push_back(1 / static_cast<double>((i + 1) * (i + 1)) +
                              0.7 / static_cast<double>(load.hosts));
        }
        m_pick = std::discrete_distribution<std::size_t>(weights.begin(),
                                                         weights.end());
    }

    /// Plays until @a used_share of the budget is used or reserved, or until a
    /// time in seconds.
    outcome play(double until,
                 double used_share = std::numeric_limits<double>::infinity())
    {
        const auto enough = used_share * static_cast<double>(m_outcome.prepaid);
        for (; m_now < until && static_cast<double>(committed()) <= enough;
             m_now += tick_s)
        {
            arrive();
            for (auto& host : m_hosts)
            {
                end_requests(host);
                admit(host);
                update_rate(host);
                if (m_store_answers)
                    plan(host);
            }
            if (m_store_answers)
                write();
        }
        m_outcome.used = 0;
        m_outcome.held = 0;
        for (const auto& host : m_hosts)
        {
            m_outcome.used += host.wallet.used;
            m_outcome.held += host.wallet.drawn - in_use(host);
        }
        return m_outcome;
    }

    void set_store(bool answers)
    {
        m_store_answers = answers;
    }

private:
    static token_count_t in_use(const model_host& host)
    {
        return host.wallet.used + host.wallet.reserved;
    }

    token_count_t committed() const
    {
        token_count_t sum = m_settling_tokens;
        for (const auto& host : m_hosts)
            sum += in_use(host) + host.wallet.waiting;
        return sum;
    }

    void arrive()
    {
        while (!m_settling.empty() && m_settling.front().ends <= m_now)
        {
            m_settling_tokens -= m_settling.front().bound;
            m_settling.pop_front();
        }
        std::poisson_distribution<int> count(m_load.requests_per_s * tick_s);
        std::uniform_real_distribution<double> unit(0, 1);
        // The mean of both sizes is the mean of the load.
        constexpr double large_share = 0.1;
        constexpr double large_factor = 6;
        const auto small =
            m_load.mean_tokens / (1 - large_share + large_share * large_factor);
        for (int i = count(m_random); i > 0; --i)
        {
            request each;
            const auto factor = unit(m_random) < large_share ? large_factor : 1;
            each.bound = static_cast<token_count_t>(small * factor *
                                                    (0.5 + unit(m_random)));
            each.ends = m_now + max_wait_s;
            constexpr double owed_share = 0.97;
            each.counted = static_cast<double>(committed() + each.bound) <=
                           owed_share * static_cast<double>(m_outcome.prepaid);
            m_outcome.with_room += each.counted ? 1 : 0;
            auto& host = m_hosts[m_pick(m_random)];
            host.wallet.largest = std::max(host.wallet.largest, each.bound);
            host.wallet.waiting += each.bound;
            host.waiting.push_back(each);
        }
    }

    void end_requests(model_host& host)
    {
        std::uniform_real_distribution<double> unit(0, 1);
        while (!host.running.empty() && host.running.front().ends <= m_now)
        {
            const auto bound = host.running.front().bound;
            host.running.pop_front();
            const auto used = static_cast<token_count_t>(
                static_cast<double>(bound) * (0.9 + 0.1 * unit(m_random)));
            host.wallet.reserved -= bound;
            host.wallet.used += used;
            m_settling.push_back({m_now + settle_s, bound - used, false});
            m_settling_tokens += bound - used;
        }
    }

    void admit(model_host& host)
    {
        std::deque<request> still_waiting;
        for (auto each : host.waiting)
        {
            const bool fits = in_use(host) + each.bound <= host.wallet.drawn;
            if (!fits && each.ends > m_now)
            {
                still_waiting.push_back(each);
                continue;
            }
            host.wallet.waiting -= each.bound;
            if (!fits)
            {
                m_outcome.refused += each.counted ? 1 : 0;
                continue;
            }
            host.wallet.reserved += each.bound;
            constexpr double run_s = 1;
            each.ends = m_now + run_s;
            host.running.push_back(each);
        }
        host.waiting = std::move(still_waiting);
    }

    static void update_rate(model_host& host)
    {
        const auto total = in_use(host);
        const auto increase =
            total > host.total_at_update
                ? static_cast<double>(total - host.total_at_update)
                : 0.0;
        host.wallet.rate += (1 - std::exp(-tick_s / rate_time_constant_s)) *
                            (increase / tick_s - host.wallet.rate);
        host.total_at_update = std::max(host.total_at_update, total);
    }

    /// As the account keeper plans the changes of a host.
    void plan(model_host& host)
    {
        if (m_now - host.read_at >= read_interval_s)
        {
            apply_read(host.view, host.self, m_book, m_revision);
            host.read_at = m_now;
            measure_fleet(host);
        }
        const bool urgent = host.wallet.waiting != 0;
        if (!urgent &&
            (host.view.pending || m_now - host.checked_at < check_interval_s))
            return;
        host.checked_at = m_now;
        auto& own = host.view.book.hosts[host.self.host].drawn;
        auto drawn = own;
        account_change change;
        change.owner = host.self;
        change.urgent = urgent;
        auto totals = host.view.totals;
        if (host.view.pending)
            for (const auto& [name, tokens] : host.view.pending->drawn)
                drawn[name] = std::max(drawn[name], tokens);
        else if (host.wallet.drawn < own[customer])
            drawn[customer] = change.drawn[customer] = host.wallet.drawn;
        auto state = host.wallet;
        state.fleet_rate = host.fleet_rate;
        token_map_t excess;
        const bool draws = draw_tokens(
            drawn, totals, {{customer, m_outcome.prepaid}}, {{customer, state}},
            m_policy, m_policy.low_watermark, {}, excess);
        if (!draws && change.drawn.empty())
        {
            // The traffic thread gives the excess up; the next change tells.
            if (!host.view.pending && excess.contains(customer))
                host.wallet.drawn =
                    std::min(host.wallet.drawn,
                             std::max(excess[customer], in_use(host)));
            return;
        }
        if (drawn[customer] != own[customer])
            change.drawn[customer] = drawn[customer];
        change.used[customer] = host.wallet.used;
        set_pending(host.view, std::move(change));
        host.wallet.drawn = std::min(
            host.wallet.drawn, certain_total(host.view, host.self, customer));
    }

    void measure_fleet(model_host& host)
    {
        const auto used = host.view.totals[customer].used;
        constexpr double smoothing = 0.4;
        if (m_now > host.measured_at)
            host.fleet_rate +=
                smoothing * (static_cast<double>(used - host.fleet_used) /
                                 (m_now - host.measured_at) -
                             host.fleet_rate);
        host.fleet_used = used;
        host.measured_at = m_now;
    }

    void write()
    {
        bool urgent = false;
        bool any = false;
        for (const auto& host : m_hosts)
        {
            any = any || host.view.pending;
            urgent = urgent || (host.view.pending && host.view.pending->urgent);
        }
        if (!any || (!urgent && m_now - m_written_at < write_interval_s))
            return;
        m_written_at = m_now;
        ++m_outcome.writes;
        auto totals = totals_of(m_book);
        ++m_revision;
        std::vector<change_result> results;
        for (const auto& host : m_hosts)
            results.push_back(
                host.view.pending
                    ? apply_change(m_book, totals,
                                   {{customer, m_outcome.prepaid}},
                                   *host.view.pending)
                    : change_result::known);
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
        {
            auto& host = m_hosts[i];
            if (!host.view.pending)
                continue;
            apply_answer(host.view, host.self,
                         make_answer(m_book, totals, *host.view.pending,
                                     results[i], m_revision));
            host.wallet.drawn = certain_total(host.view, host.self, customer);
        }
    }

    demand m_load;
    std::mt19937 m_random;
    std::discrete_distribution<std::size_t> m_pick;
    escrow_policy m_policy;
    std::vector<model_host> m_hosts;
    escrow_book m_book;
    std::uint64_t m_revision = 1;
    std::deque<request> m_settling;
    token_count_t m_settling_tokens = 0;
    double m_now = 0;
    double m_written_at = 0;
    bool m_store_answers = true;
    outcome m_outcome;
};

} // namespace

TEST_CASE("few requests are refused that the budget still covers",
          "[placement-end]")
{
    const auto load =
        GENERATE(demand{9, 4}, demand{9, 28}, demand{66, 4}, demand{66, 28},
                 demand{66, 200}, demand{300, 4}, demand{300, 28});
    for (unsigned seed = 1; seed <= 2; ++seed)
    {
        fleet_model fleet(load, seed);
        const auto end = fleet.play(1.5 * load.budget_s);
        INFO(load.hosts << " hosts, " << load.requests_per_s
                        << " requests/s: refused " << end.refused_share()
                        << " of " << end.with_room << ", used "
                        << static_cast<double>(end.used) /
                               static_cast<double>(end.prepaid)
                        << ", writes " << end.writes);
        CHECK(end.refused_share() < 0.02);
        CHECK(end.used <= end.prepaid);
        // What the hosts give back is found by the others.
        CHECK(static_cast<double>(end.used) >
              0.97 * static_cast<double>(end.prepaid));
    }
}

TEST_CASE("a nearly used budget loses little with all hosts", "[placement-end]")
{
    const auto load = GENERATE(demand{9, 28}, demand{66, 28}, demand{66, 200},
                               demand{300, 28});
    fleet_model fleet(load, 1);
    constexpr double used_share = 0.9;
    const auto end = fleet.play(1.5 * load.budget_s, used_share);
    INFO(load.hosts << " hosts, " << load.requests_per_s << " requests/s: used "
                    << static_cast<double>(end.used) /
                           static_cast<double>(end.prepaid)
                    << ", held " << end.held_share());
    CHECK(end.held_share() < 0.03);
}

TEST_CASE("an outage of the store is bridged while the balance is large",
          "[placement]")
{
    auto load = GENERATE(demand{9, 28}, demand{66, 28}, demand{66, 200});
    load.budget_s = 60;
    constexpr double begins = 10;
    constexpr double outage_s = 8;
    outcome sum;
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        fleet_model fleet(load, seed);
        const auto before = fleet.play(begins);
        fleet.set_store(false);
        const auto after = fleet.play(begins + outage_s);
        sum.refused += after.refused - before.refused;
        sum.with_room += after.with_room - before.with_room;
    }
    INFO(load.hosts << " hosts, " << load.requests_per_s
                    << " requests/s: refused " << sum.refused_share());
    // Callers of a customer with few requests change hosts within the outage.
    CHECK(sum.refused_share() < 0.1);
}
