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

/// A customer found without tokens is refused without another search for so
/// long.
constexpr milliseconds exhausted_time{300};

/// Searches for the tokens of one request. One is enough but for draws that
/// others make at the same time; each is one round with the platform.
constexpr int most_searches = 3;

/// A round of the platform worker is waited for no longer than this.
constexpr milliseconds round_limit{1500};

/// With more customers than this, nothing is drawn before a first request.
constexpr std::size_t drawn_ahead_limit = 500;

kj::Promise<void> all(std::vector<kj::Promise<void>>& promises)
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
    // What requests that wait have gathered isn't for one that comes later.
    const auto waiting = m_lines[customer].needed;
    if ((waiting == 0 || covered(customer, waiting + tokens)) &&
        try_reserve(request, customer, tokens))
        return result<void>();
    if (steady_clock::now() < m_lines[customer].exhausted_until)
        return result<void>(tl::unexpected(shortage(customer)));
    m_lines[customer].needed += tokens;
    // A search that is under way may have begun without this need.
    const int searches =
        m_searches.contains(customer) ? most_searches + 1 : most_searches;
    return reserve_after_search(request, customer, tokens, searches);
}

kj::Promise<result<void>>
grant_manager::reserve_after_search(const std::string& request,
                                    const std::string& customer,
                                    token_count_t tokens, int searches)
{
    return gather(customer).then(
        [this, request, customer, tokens,
         searches]() -> kj::Promise<result<void>>
        {
            auto& known = m_lines[customer];
            if (try_reserve(request, customer, tokens))
            {
                known.needed -= tokens;
                return result<void>();
            }
            // The balance as the search left it may still cover the request:
            // others drew at the same time, or the search knew less of it.
            const bool more = known.free_known && known.free >= tokens;
            if (searches > 1 && (more || searches > most_searches))
                return reserve_after_search(request, customer, tokens,
                                            searches - 1);
            known.needed -= tokens;
            known.exhausted_until = steady_clock::now() + exhausted_time;
            return result<void>(tl::unexpected(shortage(customer)));
        });
}

error grant_manager::shortage(const std::string& customer) const
{
    const auto code =
        m_reachable ? errc::budget_exhausted : errc::tokens_elsewhere;
    return {code, "reserve", {}, customer};
}

bool grant_manager::try_reserve(const std::string& request,
                                const std::string& customer,
                                token_count_t tokens)
{
    const bool cut = m_owner.state() == pairing::cut;
    if (!cut)
        fill_up_shared(customer, tokens);
    const auto pool = cut ? token_pool::solo : token_pool::shared;
    return m_owner.apply_now(reserve{request, customer, tokens, {}, pool})
        .has_value();
}

/// Moves solo tokens to the shared ones if these alone fall short.
void grant_manager::fill_up_shared(const std::string& customer,
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

bool grant_manager::covered(const std::string& customer,
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

kj::Promise<void> grant_manager::gather(const std::string& customer)
{
    const bool running = m_searches.contains(customer);
    auto promise = kj::newPromiseAndFulfiller<void>();
    m_searches[customer].push_back(kj::mv(promise.fulfiller));
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
    auto waiters = std::move(m_searches[customer]);
    m_searches.erase(customer);
    for (auto& waiter : waiters)
        waiter->fulfill();
}

kj::Promise<void> grant_manager::search(const std::string& customer)
{
    const auto short_of = [this, customer]
    {
        return !covered(customer, m_lines[customer].needed);
    };
    // Without the platform there is nothing to wait for but the zone.
    auto drawn = m_reachable ? next_round() : kj::Promise<void>(kj::READY_NOW);
    return drawn
        .then(
            [this, customer, short_of]() -> kj::Promise<void>
            {
                return short_of() ? ask_zone(customer) : kj::READY_NOW;
            })
        .then(
            [this, customer, short_of]() -> kj::Promise<void>
            {
                return short_of() && m_reachable ? ask_remote(customer)
                                                 : kj::READY_NOW;
            });
}

void grant_manager::taskFailed(kj::Exception&& reason)
{
    static_cast<void>(reason);
}

kj::Promise<void> grant_manager::next_round()
{
    // A round that is under way may have read its needs before this one.
    auto promise = kj::newPromiseAndFulfiller<void>();
    m_next_waiters.push_back(kj::mv(promise.fulfiller));
    m_hooks.wake_worker();
    return m_timer
        .timeoutAfter(round_limit.count() * kj::MILLISECONDS,
                      kj::mv(promise.promise))
        .catch_(
            [this](kj::Exception&&)
            {
                m_reachable = false;
            });
}

void grant_manager::finish_round(bool reachable)
{
    m_reachable = reachable;
    for (auto& waiter : std::exchange(m_round_waiters, {}))
        waiter->fulfill();
}

kj::Promise<void> grant_manager::ask_zone(const std::string& customer)
{
    const auto tokens = m_lines[customer].needed;
    std::vector<kj::Promise<void>> asked;
    for (const auto& host : m_hooks.peers().zone)
        asked.push_back(
            m_peers.give(host, customer, tokens, m_owner.book().id, ++m_asked)
                .then(
                    [this, customer](token_count_t got)
                    {
                        if (got > 0)
                            static_cast<void>(
                                m_owner.apply_now(credit{customer, got}));
                    })
                .catch_([](kj::Exception&&) {}));
    return all(asked);
}

kj::Promise<void> grant_manager::ask_remote(const std::string& customer)
{
    const auto tokens = m_lines[customer].needed;
    std::vector<kj::Promise<void>> asked;
    for (const auto& host : m_hooks.peers().remote)
        asked.push_back(m_peers.hand_back(host, customer, tokens)
                            .ignoreResult()
                            .catch_([](kj::Exception&&) {}));
    if (asked.empty())
        return kj::READY_NOW;
    return all(asked).then(
        [this]
        {
            return next_round();
        });
}

void grant_manager::note_use(const std::string& customer, token_count_t tokens)
{
    update(m_lines[customer].demand, tokens, steady_clock::now());
}

draw_state grant_manager::state_of(const std::string& customer) const
{
    draw_state state;
    const auto known = m_lines.find(customer);
    if (known != m_lines.end())
    {
        state.demand = known->second.demand.per_second;
        state.needed = known->second.needed;
    }
    const auto held = m_owner.book().accounts.find(customer);
    if (held != m_owner.book().accounts.end())
        state.held = held->second.shared + held->second.solo;
    return state;
}

kj::Promise<token_count_t> grant_manager::give(const std::string& customer,
                                               token_count_t tokens,
                                               const ledger_id& asker,
                                               std::uint64_t number)
{
    auto& last = m_given[customer + "\n" + to_string(asker)];
    if (number <= last.number)
        return number == last.number ? last.tokens : token_count_t{0};
    last = {number, 0};
    return take_out(customer, tokens)
        .then(
            [this, customer, asker, number](token_count_t amount)
            {
                auto& now = m_given[customer + "\n" + to_string(asker)];
                if (now.number == number)
                    now.tokens = amount;
                return amount;
            });
}

/// Takes tokens out that this host can spare; the solo ones only while the
/// second host agrees.
kj::Promise<token_count_t> grant_manager::take_out(const std::string& customer,
                                                   token_count_t wanted)
{
    auto state = state_of(customer);
    state.needed = wanted;
    const auto amount = spare_amount(m_policy, state);
    const bool able =
        m_owner.state() == pairing::paired || m_owner.state() == pairing::alone;
    if (amount == 0 || !able)
        return token_count_t{0};
    const auto& held = m_owner.book().accounts.find(customer)->second;
    if (held.shared < amount)
        static_cast<void>(
            m_owner.apply_now(put_back{customer, amount - held.shared}));
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
    return take_out(customer, tokens)
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
    for (const auto& [customer, held] : accounts)
        if (held.shared > 0 && m_owner.apply_now(debit{customer, held.shared}))
            m_returns[customer] += held.shared;
}

std::map<std::string, draw_state>
grant_manager::draw_states(std::size_t holders)
{
    for (auto& waiter : std::exchange(m_next_waiters, {}))
        m_round_waiters.push_back(kj::mv(waiter));
    std::map<std::string, draw_state> wanted;
    const bool able =
        m_owner.state() == pairing::paired || m_owner.state() == pairing::alone;
    for (auto& [customer, known] : m_lines)
    {
        update(known.demand, 0, steady_clock::now());
        auto state = state_of(customer);
        state.holders = holders;
        state.free = known.free_known ? known.free : ~token_count_t{0};
        const bool due = draw_amount(m_policy, state) > 0;
        if (able && (due || state.needed > 0))
            wanted.emplace(customer, state);
    }
    return wanted;
}

std::map<std::string, token_count_t> grant_manager::take_returns()
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
            set_solo_aside(customer);
        else
            m_returns[customer] += amount;
    }
}

void grant_manager::set_solo_aside(const std::string& customer)
{
    const auto& held = m_owner.book().accounts.find(customer)->second;
    const auto all = static_cast<double>(held.shared + held.solo);
    const auto wanted = static_cast<token_count_t>(all * m_policy.solo_share);
    if (wanted > held.solo)
        static_cast<void>(
            m_owner.apply_now(set_aside{customer, wanted - held.solo}));
}

void grant_manager::note_customers(const std::vector<std::string>& customers)
{
    for (auto& [customer, known] : m_lines)
    {
        known.free_known = false;
        known.exhausted_until = {};
    }
    if (customers.size() > drawn_ahead_limit)
        return;
    for (const auto& customer : customers)
        m_lines[customer];
}

void grant_manager::note_free(const std::string& customer, token_count_t free)
{
    auto& known = m_lines[customer];
    known.free = free;
    known.free_known = true;
}

} // namespace rhubarbgrade
