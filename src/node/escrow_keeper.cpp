#include "escrow_keeper.hpp"

#include <algorithm> // max, min
#include <chrono>    // duration
#include <string>    // string
#include <utility>   // exchange, move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <spdlog/spdlog.h>              // error, info, warn

#include <platform/store_calls.hpp> // decode_object, object_target

#include "../store/store_client.hpp" // store_client
#include "escrow_calls.hpp"          // call_timeout, retry_delay
#include "witness_keeper.hpp"        // witness_keeper

namespace rhubarbgrade
{

namespace asio = boost::asio;
using boost::beast::http::verb;
using namespace escrow_calls;

namespace
{

/// Consecutive failed calls after which requests no longer wait for a draw.
constexpr int failures_to_stop_waiting = 2;

/// Age at which the account is read again: it names the hosts, and the size of
/// the holdings depends on what is left of each budget. The call allows a stale
/// response, which is cheaper.
constexpr milliseconds max_book_age{2000};

/// Shortest interval over which the token rate of all hosts is measured; hosts
/// report their usage every few seconds.
constexpr std::chrono::duration<double> min_rate_interval{2.0};

/// Weight of a new measurement in the smoothed rate.
constexpr double rate_smoothing = 0.4;

/// Customers in one change, so that it fits into a datagram.
constexpr std::size_t max_customers = 500;

/// Time for which the last change waits for another host to write it.
constexpr milliseconds final_answer_timeout{200};

token_count_t value_of(const token_map_t& tokens, std::string_view customer)
{
    const auto found = tokens.find(customer);
    return found == tokens.end() ? 0 : found->second;
}

/// Adds the totals that a change raises, as if it were applied.
void add_raises(const account_change& change, token_map_t& drawn,
                budget_totals_t& totals)
{
    for (const auto& [customer, tokens] : change.drawn)
    {
        auto& total = drawn[customer];
        totals[customer].drawn += tokens > total ? tokens - total : 0;
        total = std::max(total, tokens);
    }
}

} // namespace

escrow_keeper::escrow_keeper(const asio::any_io_executor& executor,
                             store_client& store, witness_keeper& witnesses,
                             node_identity identity, escrow_listener listener)
    : m_store(store),
      m_witnesses(witnesses),
      m_identity(std::move(identity)),
      m_listener(std::move(listener)),
      m_wake_timer(executor),
      m_started(time_point_t::clock::now()),
      m_next_failure_pause(retry_delay)
{
}

void escrow_keeper::set_budgets(token_map_t budgets)
{
    m_budgets = std::move(budgets);
    if (owns_holding())
        publish_budgets();
    m_wake_timer.cancel();
}

void escrow_keeper::update_wallet_states(wallet_states_t states)
{
    bool urgent = false;
    for (const auto& [customer, state] : states)
        urgent = urgent || state.waiting != 0;
    m_states = std::move(states);
    m_witnesses.raise_ceilings(m_states);
    if (urgent && !m_failing)
        m_wake_timer.cancel();
}

void escrow_keeper::on_holdings_lowered(const token_map_t& holdings)
{
    for (const auto& [customer, tokens] : holdings)
    {
        // The traffic thread may hold less than the requested target because
        // of its witness's limit; only the excess over the target is returned.
        const auto kept = std::max(value_of(m_lowering, customer), tokens);
        m_usable[customer] = std::min(value_of(m_usable, customer), kept);
        m_lowering.erase(customer);
    }
    if (!m_failing)
        m_wake_timer.cancel();
}

void escrow_keeper::on_ceiling_confirmed()
{
    if (owns_holding())
        publish_budgets();
}

void escrow_keeper::record_heartbeat(const std::string& host, bool writable)
{
    auto& contact = m_contacts[host];
    contact.heard_at = time_point_t::clock::now();
    contact.can_write = writable;
}

bool escrow_keeper::owns_holding() const
{
    return rhubarbgrade::owns_holding(m_view, m_identity.process);
}

void escrow_keeper::publish_budgets()
{
    // A customer whose budget has left the configuration may still have a
    // wallet, which must report that it has applied the current limits.
    auto budgets = m_budgets;
    for (const auto& [customer, state] : m_states)
        budgets.try_emplace(customer, 0);
    budget_statuses_t updates;
    for (const auto& [customer, prepaid] : budgets)
    {
        // The traffic thread may already have lowered this holding, so the
        // older, higher value must not be sent to it again.
        if (m_lowering.contains(customer))
            continue;
        const auto& total = m_view.totals[customer];
        const auto usable = value_of(m_usable, customer);
        const auto limit = confirmed_limit(customer);
        updates[customer] = {std::min(usable, limit),
                             prepaid - std::min(prepaid, total.drawn),
                             total.used,
                             prepaid,
                             m_consecutive_failures < failures_to_stop_waiting,
                             limit < usable &&
                                 !m_witnesses.silent(registered_witness()),
                             m_limit_round};
    }
    m_listener.budgets_changed(std::move(updates));
}

void escrow_keeper::update_usable()
{
    if (!owns_holding())
    {
        // This process does not own its host's holding, not yet or no longer,
        // and must not spend any of it.
        m_usable.clear();
        return;
    }
    for (const auto& [customer, tokens] :
         m_view.book.hosts[m_identity.process.host].drawn)
    {
        const auto certain =
            certain_total(m_view, m_identity.process, customer);
        // A holding that is being lowered is not raised to the higher value
        // that the account still has.
        m_usable[customer] =
            m_lowering.contains(customer)
                ? std::min(certain, value_of(m_usable, customer))
                : certain;
    }
}

void escrow_keeper::apply_view()
{
    m_policy.hosts = m_view.hosts;
    update_fleet_rates();
    update_usable();
    publish_budgets();
}

bool escrow_keeper::apply_object(const std::string& body, std::uint64_t era)
{
    const auto object = platform::decode_object(body);
    if (!object)
    {
        spdlog::error("{}", object.error().message());
        m_stale = true;
        return false;
    }
    auto book = decode_escrow_book(object->spec);
    if (!book)
    {
        spdlog::error("{}", book.error().message());
        m_stale = true;
        return false;
    }
    const bool had_holding = owns_holding();
    const bool was_in_repair = in_repair();
    if (!apply_read(m_view, m_identity.process, std::move(*book),
                    object->revision, era))
        return false;
    if (const auto& restored = m_view.restored)
    {
        m_stale = false;
        m_read_at = time_point_t::clock::now();
        // A process that has just started learns of its peers.
        if (m_view.revision == 0)
            m_listener.account_read(restored->book);
        return false;
    }
    if (was_in_repair)
        m_declaration.reset();
    if (!had_holding && owns_holding())
        m_holding_since = time_point_t::clock::now();
    m_account_bytes = body.size();
    m_stale = false;
    m_read_at = time_point_t::clock::now();
    m_listener.account_read(m_view.book);
    apply_view();
    return true;
}

asio::awaitable<void> escrow_keeper::create_account()
{
    escrow_book book;
    // An account that this host has known is lost, and has to be repaired.
    book.era = m_view.revision == 0 ? m_store.era() : 0;
    auto body =
        platform::spec_body(book_name, std::nullopt, encode_escrow_book(book));
    co_await m_store.call(call_purpose::budget, verb::post,
                          platform::list_target(book_kind, ""), std::move(body),
                          call_timeout);
}

asio::awaitable<void> escrow_keeper::refresh(bool stale_allowed)
{
    const auto answer = co_await m_store.call(
        call_purpose::budget, verb::get,
        platform::object_target(book_kind, book_name, stale_allowed), {},
        call_timeout);
    m_read_at = time_point_t::clock::now();
    ++m_calls.reads;
    record_call(answer.is(200) || answer.is(404));
    if (answer.is(200))
        apply_object(answer.body, answer.era);
    else if (answer.is(404) && !stale_allowed)
        co_await create_account();
    else
        spdlog::warn("can't read the escrow account: status {}", answer.status);
}

void escrow_keeper::update_fleet_rates()
{
    const auto now = time_point_t::clock::now();
    for (const auto& [customer, prepaid] : m_budgets)
    {
        auto& fleet = m_fleet_usage[customer];
        const auto used = m_view.totals[customer].used;
        const std::chrono::duration<double> elapsed = now - fleet.measured_at;
        if (elapsed < min_rate_interval)
            continue;
        if (fleet.measured_at != time_point_t{} && used >= fleet.used)
            fleet.rate +=
                rate_smoothing *
                (static_cast<double>(used - fleet.used) / elapsed.count() -
                 fleet.rate);
        fleet.used = used;
        fleet.measured_at = now;
    }
}

void escrow_keeper::request_lowering(const token_map_t& targets)
{
    token_map_t requested;
    for (const auto& [customer, tokens] : targets)
        if (m_lowering.emplace(customer, tokens).second)
            requested[customer] = tokens;
    if (!requested.empty())
        m_listener.lower_holdings(std::move(requested));
}

wallet_states_t escrow_keeper::states_with_fleet_rates() const
{
    auto states = m_states;
    for (const auto& [customer, fleet] : m_fleet_usage)
        states[customer].fleet_rate = fleet.rate;
    return states;
}

account_change escrow_keeper::make_change() const
{
    account_change change;
    change.owner = m_identity.process;
    change.address = m_identity.address;
    change.zone = m_identity.zone;
    change.capacity = m_identity.capacity;
    const auto holding = m_view.book.hosts.find(m_identity.process.host);
    if (holding != m_view.book.hosts.end() && !owns_holding())
        change.replaces = holding->second.incarnation;
    return change;
}

/// Adds the tokens that the traffic thread has given up.
void escrow_keeper::add_returns(account_change& change)
{
    const auto holding = m_view.book.hosts.find(m_identity.process.host);
    if (m_view.pending || holding == m_view.book.hosts.end())
        return;
    for (const auto& [customer, drawn] : holding->second.drawn)
    {
        const auto usable = value_of(m_usable, customer);
        if (usable < drawn && !m_lowering.contains(customer))
            change.drawn[customer] = usable;
    }
}

/// Takes over the holding of this host. Nothing is drawn yet: how much depends
/// on the number of hosts, which the answer tells.
void escrow_keeper::plan_join()
{
    if (m_view.pending || replaced(m_view, m_identity.process))
        return;
    set_pending(m_view, make_change());
    m_failed_writers = 0;
}

const account_change* escrow_keeper::pending_change() const
{
    return m_view.pending ? &*m_view.pending : nullptr;
}

/// Makes a change if holdings are too small or too large, or other data of this
/// host in the account has to change. A change that is not settled is extended
/// only if callers wait for more.
void escrow_keeper::plan_change()
{
    const auto* const unsettled = pending_change();
    const auto current = states_with_fleet_rates();
    auto change = make_change();
    for (const auto& [customer, state] : m_states)
        change.urgent = change.urgent || state.waiting != 0;
    if (unsettled != nullptr && !change.urgent)
        return;
    const auto known = m_view.book.hosts[m_identity.process.host].drawn;
    auto drawn = known;
    add_returns(change);
    bool changed = !change.drawn.empty();
    for (const auto& [customer, tokens] : change.drawn)
        drawn[customer] = tokens;
    auto totals = m_view.totals;
    if (unsettled != nullptr)
        add_raises(*unsettled, drawn, totals);
    token_map_t oversized;
    const auto draw = [&](double threshold)
    {
        return draw_tokens(drawn, totals, m_budgets, current, m_policy,
                           threshold, m_lowering, oversized);
    };
    changed = draw(m_policy.low_watermark) || changed;
    if (unsettled == nullptr)
    {
        change.closed = ceilings_of_ended(m_view.book, m_identity.process,
                                          m_witnesses.confirmed_for_others());
        changed = changed || !change.closed.empty();
        if (candidate_ready())
        {
            spdlog::info("registering host {} as witness, previous witness: {}",
                         m_candidate.host, registered_witness().host);
            change.witness = m_candidate;
            changed = true;
        }
    }
    if (!changed)
    {
        if (unsettled == nullptr)
            request_lowering(oversized);
        return;
    }
    // Each write is charged for, so this one also refills holdings that would
    // need a draw soon.
    draw(m_policy.refill_watermark);
    for (const auto& [customer, tokens] : drawn)
        if (tokens != value_of(known, customer) &&
            change.drawn.size() < max_customers)
            change.drawn[customer] = tokens;
    for (const auto& [customer, state] : m_states)
        if (state.used != 0 && change.used.size() < max_customers)
            change.used[customer] = state.used;
    if (unsettled == nullptr)
        m_failed_writers = 0;
    set_pending(m_view, std::move(change));
    update_usable();
}

asio::awaitable<milliseconds> escrow_keeper::step()
{
    const auto outdated = [this]
    {
        return m_stale || known_era(m_view) < m_store.era() ||
               (m_view.revision == 0 && !in_repair());
    };
    if (outdated())
        co_await refresh(false);
    else if (!in_repair() &&
             time_point_t::clock::now() - m_read_at > max_book_age)
        co_await refresh(true);
    if (const auto restored = m_view.restored; restored && !outdated())
        co_return co_await repair_account(*restored);
    if (outdated())
    {
        if (!m_store_reachable)
            co_return fail_all(std::exchange(m_received, {}));
        co_return failure_pause();
    }
    update_witness();
    if (owns_holding())
        plan_change();
    else
        plan_join();
    const auto writer = choose_writer_now();
    if (writer == m_identity.process.host || !m_received.empty())
        co_return co_await write_changes(true);
    co_return send_pending(writer);
}

bool escrow_keeper::can_write() const
{
    return m_store_reachable && (!m_stale || in_repair()) && !m_closing;
}

void escrow_keeper::record_call(bool answered)
{
    if (answered && !m_store_reachable)
        m_reachable_since = time_point_t::clock::now();
    m_store_reachable = answered;
    if (answered)
        m_next_failure_pause = retry_delay;
    record_outcome(answered);
}

/// Pause after a call that failed.
milliseconds escrow_keeper::failure_pause()
{
    m_failing = true;
    const auto longest = m_next_failure_pause;
    m_next_failure_pause = std::min(2 * longest, max_retry_delay);
    std::uniform_int_distribution<milliseconds::rep> pause_ms(
        longest.count() / 2, longest.count());
    return milliseconds(pause_ms(m_random));
}

void escrow_keeper::on_store_back()
{
    m_next_failure_pause = retry_delay;
    m_failing = false;
    m_wake_timer.cancel();
}

/// Records whether draws succeed, by this host or by another writer.
void escrow_keeper::record_outcome(bool answered)
{
    const bool could_draw = m_consecutive_failures < failures_to_stop_waiting;
    m_calls.failures += answered ? 0 : 1;
    m_consecutive_failures = answered ? 0 : m_consecutive_failures + 1;
    if (could_draw != (m_consecutive_failures < failures_to_stop_waiting) &&
        owns_holding())
        publish_budgets();
}

void escrow_keeper::log_calls()
{
    namespace acc = boost::accumulators;
    const bool any_write = acc::count(m_calls.write_ms) != 0;
    spdlog::info(
        "event=escrow_calls reads={} writes={} conflicts={} failures={} "
        "sent={} answered={} for_peers={} write_ms_mean={:.1f} "
        "write_ms_max={:.1f} account_bytes={} hosts={} revision={} witness={} "
        "writer={} stranded={}",
        m_calls.reads, m_calls.writes, m_calls.conflicts, m_calls.failures,
        m_calls.sent, m_calls.answered, m_calls.for_peers,
        any_write ? acc::mean(m_calls.write_ms) : 0,
        any_write ? acc::max(m_calls.write_ms) : 0, m_account_bytes,
        m_view.book.hosts.size(), m_view.revision, registered_witness().host,
        choose_writer_now(), m_stranded);
    m_calls = {};
    log_shortages();
}

/// Logs the customers whose requests were refused for want of tokens since the
/// last call, and where the tokens of their budgets are.
void escrow_keeper::log_shortages()
{
    for (const auto& [customer, state] : m_states)
    {
        auto& logged = m_logged_refusals[customer];
        if (logged == state.refused)
            continue;
        const auto prepaid = value_of(m_budgets, customer);
        const auto& total = m_view.totals[customer];
        const auto in_use = state.used + state.reserved;
        spdlog::info("event=tokens_short customer={} undrawn={} "
                     "unconfirmed={} no_draws={} tokens_prepaid={} "
                     "tokens_undrawn={} tokens_free={} tokens_reserved={} "
                     "tokens_drawn={} tokens_used={} tokens_closed={}",
                     customer, state.refused.undrawn - logged.undrawn,
                     state.refused.unconfirmed - logged.unconfirmed,
                     state.refused.no_draws - logged.no_draws, prepaid,
                     prepaid - std::min(prepaid, total.drawn),
                     state.drawn - std::min(state.drawn, in_use),
                     state.reserved, total.drawn, total.used,
                     value_of(m_view.book.closed, customer));
        logged = state.refused;
    }
}

asio::awaitable<void> escrow_keeper::run()
{
    m_running = true;
    while (!m_closing)
    {
        m_failing = false;
        const auto pause = co_await step();
        m_wake_timer.expires_after(pause);
        co_await m_wake_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    m_running = false;
}

/// Makes a change the pending one without what an unsettled one contains.
void escrow_keeper::replace_pending(account_change change)
{
    m_view.pending.reset();
    set_pending(m_view, std::move(change));
}

asio::awaitable<void> escrow_keeper::close(wallet_states_t final_states)
{
    m_closing = true;
    m_wake_timer.cancel();
    asio::steady_timer poll(m_wake_timer.get_executor());
    constexpr milliseconds poll_interval{5};
    while (m_running)
    {
        poll.expires_after(poll_interval);
        co_await poll.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    fail_all(std::exchange(m_received, {}));
    if (!owns_holding() || in_repair())
        co_return;
    auto change = make_change();
    change.urgent = true;
    const auto& holding = m_view.book.hosts[m_identity.process.host];
    for (const auto& [customer, state] : final_states)
    {
        change.used[customer] = state.used;
        change.drawn[customer] = std::min(value_of(holding.drawn, customer),
                                          state.used + state.reserved);
    }
    // The wallets are frozen, so an earlier change can't be spent from any
    // more.
    replace_pending(std::move(change));
    const auto give_up_at = time_point_t::clock::now() + final_answer_timeout;
    const auto writer = choose_writer_now();
    while (writer != m_identity.process.host && pending_change() != nullptr &&
           time_point_t::clock::now() < give_up_at)
    {
        send_pending(writer);
        poll.expires_after(poll_interval);
        co_await poll.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    constexpr int max_attempts = 5;
    for (int i = 0;
         i < max_attempts && pending_change() != nullptr && owns_holding(); ++i)
    {
        if (m_stale)
            co_await refresh(false);
        if (in_repair())
            break;
        co_await write_changes(false);
    }
    if (pending_change() != nullptr)
        spdlog::warn(
            "unused tokens of {} remain drawn: the store accepted no write",
            m_identity.process.host);
}

} // namespace rhubarbgrade
