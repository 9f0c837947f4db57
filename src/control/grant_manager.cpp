#include "grant_manager.hpp"

#include <algorithm> // min
#include <chrono>    // steady_clock
#include <cstdint>   // int64_t, uint64_t
#include <string>    // string
#include <utility>   // exchange, move
#include <vector>    // vector

#include "../router/peer_calls.hpp" // peer_calls

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;

/// After a search without success, further requests of the customer are
/// refused for this time without another search.
constexpr milliseconds exhausted_backoff{300};

/// Maximum number of searches for one request. More than one is needed only if
/// other hosts draw at the same time. Each takes one platform worker round.
constexpr int max_searches = 3;

/// Longest wait for a round of the platform worker.
constexpr milliseconds round_timeout{1500};

/// With more customers than this, tokens of a customer are drawn only after
/// its first request.
constexpr std::size_t max_customers_drawn_ahead = 500;

kj::Promise<void> join_all(std::vector<kj::Promise<void>>& promises)
{
    auto builder = kj::heapArrayBuilder<kj::Promise<void>>(promises.size());
    for (auto& promise : promises)
        builder.add(kj::mv(promise));
    return kj::joinPromises(builder.finish());
}

} // namespace

grant_manager::grant_manager(const draw_policy& policy, ledger_owner& owner,
                             peer_calls& peers, kj::Timer& timer,
                             grant_hooks hooks)
    : m_policy(policy),
      m_owner(owner),
      m_peers(peers),
      m_timer(timer),
      m_hooks(std::move(hooks)),
      m_tasks(*this)
{
}

kj::Promise<result<void>>
grant_manager::reserve_tokens(const std::string& request,
                              const std::string& customer, token_count_t tokens)
{
    if (m_owner.state() == pairing::unregistered)
        return result<void>(
            failure(errc::not_registered, "reserve", {}, customer));
    // Tokens obtained for waiting requests must not go to a later one.
    const auto waiting = m_customers[customer].needed;
    if ((waiting == 0 || can_cover(customer, waiting + tokens)) &&
        try_reserve(request, customer, tokens))
        return result<void>();
    if (steady_clock::now() < m_customers[customer].exhausted_until)
        return result<void>(tl::unexpected(shortage_error(customer)));
    m_customers[customer].needed += tokens;
    // A search that is already running may have started without the tokens
    // needed here, so it does not count.
    const int searches =
        m_search_waiters.contains(customer) ? max_searches + 1 : max_searches;
    return reserve_after_search(request, customer, tokens, searches);
}

kj::Promise<result<void>>
grant_manager::reserve_after_search(const std::string& request,
                                    const std::string& customer,
                                    token_count_t tokens, int searches)
{
    return join_search(customer).then(
        [this, request, customer, tokens,
         searches]() -> kj::Promise<result<void>>
        {
            auto& entry = m_customers[customer];
            if (try_reserve(request, customer, tokens))
            {
                entry.needed -= tokens;
                return result<void>();
            }
            // The free balance read during the search may still cover the
            // request: another host's draw interfered, or the search started
            // with an outdated balance.
            const bool may_suffice = entry.free_known && entry.free >= tokens;
            if (searches > 1 && (may_suffice || searches > max_searches))
                return reserve_after_search(request, customer, tokens,
                                            searches - 1);
            entry.needed -= tokens;
            entry.exhausted_until = steady_clock::now() + exhausted_backoff;
            return result<void>(tl::unexpected(shortage_error(customer)));
        });
}

error grant_manager::shortage_error(const std::string& customer) const
{
    const auto code = m_platform_reachable ? errc::budget_exhausted
                                           : errc::tokens_unreachable;
    return {code, "reserve", {}, customer};
}

bool grant_manager::try_reserve(const std::string& request,
                                const std::string& customer,
                                token_count_t tokens)
{
    const bool cut = m_owner.state() == pairing::cut;
    if (!cut)
        move_solo_to_shared(customer, tokens);
    const auto pool = cut ? token_pool::solo : token_pool::shared;
    return m_owner.apply_now(reserve{request, customer, tokens, {}, pool})
        .has_value();
}

void grant_manager::move_solo_to_shared(const std::string& customer,
                                        token_count_t tokens)
{
    const auto found = m_owner.book().accounts.find(customer);
    if (found == m_owner.book().accounts.end())
        return;
    const auto [shared, solo] = found->second;
    if (shared < tokens && shared + solo >= tokens)
        static_cast<void>(
            m_owner.apply_now(put_back{customer, tokens - shared}));
}

bool grant_manager::can_cover(const std::string& customer,
                              token_count_t tokens) const
{
    const auto& accounts = m_owner.book().accounts;
    const auto found = accounts.find(customer);
    if (found == accounts.end())
        return tokens == 0;
    const auto [shared, solo] = found->second;
    const bool cut = m_owner.state() == pairing::cut;
    return solo >= tokens || (!cut && shared + solo >= tokens);
}

kj::Promise<void> grant_manager::join_search(const std::string& customer)
{
    const bool running = m_search_waiters.contains(customer);
    auto promise = kj::newPromiseAndFulfiller<void>();
    m_search_waiters[customer].push_back(kj::mv(promise.fulfiller));
    if (!running)
        m_tasks.add(search(customer)
                        .catch_([](kj::Exception&&) {})
                        .then(
                            [this, customer]
                            {
                                finish_search(customer);
                            }));
    return kj::mv(promise.promise);
}

void grant_manager::finish_search(const std::string& customer)
{
    auto waiters = std::move(m_search_waiters[customer]);
    m_search_waiters.erase(customer);
    for (auto& waiter : waiters)
        waiter->fulfill();
}

kj::Promise<void> grant_manager::search(const std::string& customer)
{
    const auto is_short = [this, customer]
    {
        return !can_cover(customer, m_customers[customer].needed);
    };
    // While the platform is unreachable, only hosts of the zone can help.
    auto drawn =
        m_platform_reachable ? next_round() : kj::Promise<void>(kj::READY_NOW);
    return drawn
        .then(
            [this, customer, is_short]() -> kj::Promise<void>
            {
                return is_short() ? request_from_zone(customer) : kj::READY_NOW;
            })
        .then(
            [this, customer, is_short]() -> kj::Promise<void>
            {
                return is_short() && m_platform_reachable
                           ? request_remote_returns(customer)
                           : kj::READY_NOW;
            });
}

void grant_manager::taskFailed(kj::Exception&& reason)
{
    static_cast<void>(reason);
}

kj::Promise<void> grant_manager::next_round()
{
    // A running round may already have read the tokens needed, so only the
    // next one is certain to include this request.
    auto promise = kj::newPromiseAndFulfiller<void>();
    m_next_round_waiters.push_back(kj::mv(promise.fulfiller));
    m_hooks.wake_worker();
    return m_timer
        .timeoutAfter(round_timeout.count() * kj::MILLISECONDS,
                      kj::mv(promise.promise))
        .catch_(
            [this](kj::Exception&&)
            {
                m_platform_reachable = false;
            });
}

void grant_manager::finish_round(bool reachable)
{
    m_platform_reachable = reachable;
    for (auto& waiter : std::exchange(m_round_waiters, {}))
        waiter->fulfill();
}

kj::Promise<void> grant_manager::request_from_zone(const std::string& customer)
{
    const auto tokens = m_customers[customer].needed;
    std::vector<kj::Promise<void>> calls;
    for (const auto& host : m_hooks.peers().zone_hosts)
        calls.push_back(m_peers
                            .give(host, customer, tokens, m_owner.book().id,
                                  ++m_last_give_number)
                            .then(
                                [this, customer](token_count_t received)
                                {
                                    if (received > 0)
                                        static_cast<void>(m_owner.apply_now(
                                            credit{customer, received}));
                                })
                            .catch_([](kj::Exception&&) {}));
    return join_all(calls);
}

kj::Promise<void>
grant_manager::request_remote_returns(const std::string& customer)
{
    const auto tokens = m_customers[customer].needed;
    std::vector<kj::Promise<void>> calls;
    for (const auto& host : m_hooks.peers().remote_hosts)
        calls.push_back(m_peers.hand_back(host, customer, tokens)
                            .ignoreResult()
                            .catch_([](kj::Exception&&) {}));
    if (calls.empty())
        return kj::READY_NOW;
    return join_all(calls).then(
        [this]
        {
            return next_round();
        });
}

void grant_manager::record_usage(const std::string& customer,
                                 token_count_t tokens)
{
    update(m_customers[customer].demand, tokens, steady_clock::now());
}

draw_state grant_manager::draw_state_of(const std::string& customer) const
{
    draw_state state;
    const auto entry = m_customers.find(customer);
    if (entry != m_customers.end())
    {
        state.demand = entry->second.demand.per_second;
        state.needed = entry->second.needed;
    }
    const auto account = m_owner.book().accounts.find(customer);
    if (account != m_owner.book().accounts.end())
        state.held = account->second.shared + account->second.solo;
    return state;
}

kj::Promise<token_count_t> grant_manager::give(const std::string& customer,
                                               token_count_t tokens,
                                               const ledger_id& requester,
                                               std::uint64_t number)
{
    auto& previous = m_transfers[customer + "\n" + to_string(requester)];
    if (number <= previous.number)
        return number == previous.number ? previous.tokens : token_count_t{0};
    previous = {number, 0};
    return debit_spare(customer, tokens)
        .then(
            [this, customer, requester, number](token_count_t amount)
            {
                auto& latest =
                    m_transfers[customer + "\n" + to_string(requester)];
                if (latest.number == number)
                    latest.tokens = amount;
                return amount;
            });
}

/// Solo tokens may be debited too, by way of the shared pool. Debits nothing
/// while the second host does not acknowledge operations.
kj::Promise<token_count_t>
grant_manager::debit_spare(const std::string& customer, token_count_t requested)
{
    auto state = draw_state_of(customer);
    state.needed = requested;
    const auto amount = spare_amount(m_policy, state);
    const bool can_debit =
        m_owner.state() == pairing::paired || m_owner.state() == pairing::alone;
    if (amount == 0 || !can_debit)
        return token_count_t{0};
    const auto& account = m_owner.book().accounts.find(customer)->second;
    if (account.shared < amount)
        static_cast<void>(
            m_owner.apply_now(put_back{customer, amount - account.shared}));
    return m_owner.propose(debit{customer, amount})
        .then(
            [amount](const result<void>& done)
            {
                return done ? amount : token_count_t{0};
            });
}

kj::Promise<token_count_t> grant_manager::hand_back(const std::string& customer,
                                                    token_count_t tokens)
{
    return debit_spare(customer, tokens)
        .then(
            [this, customer](token_count_t amount) -> kj::Promise<token_count_t>
            {
                if (amount == 0)
                    return amount;
                m_returns[customer] += amount;
                return next_round().then(
                    [amount]
                    {
                        return amount;
                    });
            });
}

void grant_manager::return_all()
{
    const auto accounts = m_owner.book().accounts;
    for (const auto& [customer, account] : accounts)
        if (account.shared > 0 &&
            m_owner.apply_now(debit{customer, account.shared}))
            m_returns[customer] += account.shared;
}

std::map<std::string, draw_state>
grant_manager::draw_states(std::size_t holders)
{
    for (auto& waiter : std::exchange(m_next_round_waiters, {}))
        m_round_waiters.push_back(kj::mv(waiter));
    std::map<std::string, draw_state> states;
    const bool can_credit =
        m_owner.state() == pairing::paired || m_owner.state() == pairing::alone;
    for (auto& [customer, entry] : m_customers)
    {
        update(entry.demand, 0, steady_clock::now());
        auto state = draw_state_of(customer);
        state.holders = holders;
        // An unknown balance must not prevent a draw: the worker reads it.
        state.free = entry.free_known ? entry.free : ~token_count_t{0};
        const bool due = draw_amount(m_policy, state) > 0;
        if (can_credit && (due || state.needed > 0))
            states.emplace(customer, state);
    }
    return states;
}

std::map<std::string, token_count_t> grant_manager::extract_returns()
{
    return std::exchange(m_returns, {});
}

void grant_manager::credit_drawn(
    const std::map<std::string, std::int64_t>& drawn)
{
    for (const auto& [customer, tokens] : drawn)
    {
        if (tokens <= 0)
            continue;
        const auto amount = static_cast<token_count_t>(tokens);
        if (m_owner.apply_now(credit{customer, amount}))
            refill_solo(customer);
        else
            m_returns[customer] += amount;
    }
}

void grant_manager::refill_solo(const std::string& customer)
{
    const auto& account = m_owner.book().accounts.find(customer)->second;
    const auto free_tokens = static_cast<double>(account.shared + account.solo);
    const auto solo_target =
        static_cast<token_count_t>(free_tokens * m_policy.solo_share);
    if (solo_target > account.solo)
        static_cast<void>(
            m_owner.apply_now(set_aside{customer, solo_target - account.solo}));
}

void grant_manager::update_customers(const std::vector<std::string>& customers)
{
    for (auto& [customer, entry] : m_customers)
    {
        entry.free_known = false;
        entry.exhausted_until = {};
    }
    if (customers.size() > max_customers_drawn_ahead)
        return;
    for (const auto& customer : customers)
        m_customers[customer];
}

void grant_manager::record_free_balance(const std::string& customer,
                                        token_count_t free)
{
    auto& entry = m_customers[customer];
    entry.free = free;
    entry.free_known = true;
}

} // namespace rhubarbgrade
