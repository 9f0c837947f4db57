#include "escrow_keeper.hpp"

#include <algorithm> // max, min
#include <chrono>    // duration
#include <string>    // string
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <spdlog/spdlog.h>              // error, info, warn

#include <platform/store_calls.hpp> // decode_object, object_target

#include "../store/store_client.hpp" // store_client
#include "witness_keeper.hpp"        // witness_keeper

namespace rhubarbgrade
{

namespace asio = boost::asio;
using boost::beast::http::verb;

namespace
{

constexpr const char* book_kind = "escrow";
constexpr const char* book_name = "main";

/// The store usually responds within 4 ms, and a holding covers at least 3 s
/// of usage.
constexpr milliseconds call_timeout{800};

/// Longest interval between two checks of the holdings. Each write is charged
/// for, so a draw covers several seconds of usage.
constexpr milliseconds max_check_interval{400};

/// Consecutive failed calls after which requests no longer wait for a draw.
constexpr int failures_to_stop_waiting = 2;

constexpr milliseconds retry_delay{150};

/// Age at which the account is read again, since the size of the holdings
/// depends on what is left of each budget. The call allows a stale response,
/// which is cheaper.
constexpr milliseconds max_book_age{2000};

/// Shortest interval over which the token rate of all hosts is measured; hosts
/// report their usage every few seconds.
constexpr std::chrono::duration<double> min_rate_interval{2.0};

/// Weight of a new measurement in the smoothed rate.
constexpr double rate_smoothing = 0.4;

token_count_t value_of(const token_map_t& tokens, std::string_view customer)
{
    const auto found = tokens.find(customer);
    return found == tokens.end() ? 0 : found->second;
}

} // namespace

escrow_keeper::escrow_keeper(const asio::any_io_executor& executor,
                             store_client& store, witness_keeper& witnesses,
                             node_identity identity, escrow_listener listener)
    : m_store(store),
      m_witnesses(witnesses),
      m_identity(std::move(identity)),
      m_listener(std::move(listener)),
      m_wake_timer(executor)
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

bool escrow_keeper::owns_holding() const
{
    const auto holding = m_book.hosts.find(m_identity.process.host);
    return holding != m_book.hosts.end() &&
           holding->second.incarnation == m_identity.process.incarnation;
}

void escrow_keeper::publish_budgets()
{
    budget_statuses_t updates;
    for (const auto& [customer, prepaid] : m_budgets)
    {
        const auto available = undrawn(m_book, customer, prepaid);
        // The traffic thread may already have lowered this holding, so the
        // older, higher value must not be sent to it again.
        if (m_lowering.contains(customer))
            continue;
        const auto usable = value_of(m_usable, customer);
        const auto limit = confirmed_limit(customer);
        updates[customer] = {std::min(usable, limit),
                             available,
                             known_used(m_book, customer),
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
    const auto& drawn = m_book.hosts[m_identity.process.host].drawn;
    if (m_pending && m_pending->revision != m_revision)
        m_pending.reset();
    for (const auto& [customer, tokens] : drawn)
    {
        auto confirmed = tokens;
        if (m_pending)
            confirmed =
                std::min(confirmed, value_of(m_pending->drawn, customer));
        // A holding that is being lowered is not raised to the higher value
        // that the account still has.
        if (!m_lowering.contains(customer))
            m_usable[customer] = confirmed;
        else
            m_usable[customer] =
                std::min(confirmed, value_of(m_usable, customer));
    }
}

void escrow_keeper::apply_object(const std::string& body)
{
    const auto object = platform::decode_object(body);
    if (!object)
    {
        spdlog::error("{}", object.error().message());
        m_stale = true;
        return;
    }
    if (object->revision < m_revision)
        return;
    auto book = decode_escrow_book(object->spec);
    if (!book)
    {
        spdlog::error("{}", book.error().message());
        m_stale = true;
        return;
    }
    m_book = std::move(*book);
    m_account_bytes = body.size();
    m_revision = object->revision;
    m_stale = false;
    m_read_at = time_point_t::clock::now();
    m_policy.hosts = m_book.hosts.size();
    m_listener.account_read(m_book);
    update_fleet_rates();
    update_usable();
    publish_budgets();
}

asio::awaitable<void> escrow_keeper::create_account()
{
    auto body = platform::spec_body(book_name, std::nullopt,
                                    encode_escrow_book(escrow_book()));
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
        apply_object(answer.body);
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
        const auto used = known_used(m_book, customer);
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

asio::awaitable<escrow_keeper::write_outcome>
escrow_keeper::write_account(escrow_book new_book)
{
    const auto revision = m_revision;
    const auto& holding = new_book.hosts[m_identity.process.host];
    m_pending = pending_write{revision, holding.drawn, holding.witness};
    auto body =
        platform::spec_body(book_name, revision, encode_escrow_book(new_book));
    const auto started = time_point_t::clock::now();
    const auto answer =
        co_await m_store.call(call_purpose::budget, verb::put,
                              platform::object_target(book_kind, book_name),
                              std::move(body), call_timeout);
    constexpr double ms_per_second = 1000;
    const std::chrono::duration<double> elapsed =
        time_point_t::clock::now() - started;
    m_calls.write_ms(elapsed.count() * ms_per_second);
    m_calls.writes += answer.is(200) ? 1 : 0;
    m_calls.conflicts += answer.is(409) ? 1 : 0;
    record_call(answer.is(200) || answer.is(409));
    if (answer.is(200) || answer.is(409))
    {
        m_pending.reset();
        apply_object(answer.body);
        co_return answer.is(200) ? write_outcome::done
                                 : write_outcome::conflict;
    }
    spdlog::warn("draw or return of tokens not confirmed: status {} {}",
                 answer.status, answer.body);
    // With 429 and 503 the store guarantees that the write was not applied.
    if (answer.is(429) || answer.is(503) ||
        answer.end == call_outcome::not_sent)
        m_pending.reset();
    else
        m_stale = true;
    co_return write_outcome::failed;
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

bool escrow_keeper::return_unused(escrow_book& new_book)
{
    if (m_pending)
        return false;
    bool lowered = false;
    for (auto& [customer, drawn] :
         new_book.hosts[m_identity.process.host].drawn)
    {
        const auto usable = value_of(m_usable, customer);
        if (usable >= drawn || m_lowering.contains(customer))
            continue;
        drawn = usable;
        lowered = true;
    }
    return lowered;
}

std::optional<escrow_book> escrow_keeper::plan_write()
{
    auto new_book = m_book;
    const auto current = states_with_fleet_rates();
    const auto draw = [&](double threshold, token_map_t& oversized)
    {
        return draw_tokens(new_book, m_identity.process.host, m_budgets,
                           current, m_policy, threshold, m_lowering, oversized);
    };
    token_map_t oversized;
    bool changed = adopt(new_book, m_identity.process, m_identity.address,
                         m_identity.zone);
    if (changed)
        m_holding_since = time_point_t::clock::now();
    changed = close_ended(new_book, m_identity.process,
                          m_witnesses.confirmed_for_others()) ||
              changed;
    changed = return_unused(new_book) || changed;
    if (candidate_ready())
    {
        spdlog::info("registering host {} as witness, previous witness: {}",
                     m_candidate.host, registered_witness().host);
        new_book.hosts[m_identity.process.host].witness = m_candidate;
        changed = true;
    }
    changed = draw(m_policy.low_watermark, oversized) || changed;
    if (!changed)
    {
        request_lowering(oversized);
        return std::nullopt;
    }
    // Each write is charged for, so this one also refills holdings that would
    // need a draw soon.
    draw(m_policy.refill_watermark, oversized);
    auto& holding = new_book.hosts[m_identity.process.host];
    for (const auto& [customer, state] : current)
        holding.used[customer] = state.used;
    return new_book;
}

asio::awaitable<milliseconds> escrow_keeper::step()
{
    if (m_stale || m_revision == 0)
        co_await refresh(false);
    else if (time_point_t::clock::now() - m_read_at > max_book_age)
        co_await refresh(true);
    if (m_stale || m_revision == 0 || m_budgets.empty())
        co_return retry_delay;
    update_witness();
    auto new_book = plan_write();
    if (!new_book)
        co_return max_check_interval;
    switch (co_await write_account(std::move(*new_book)))
    {
    case write_outcome::done:
        co_return max_check_interval;
    case write_outcome::conflict:
        co_return milliseconds(0);
    case write_outcome::failed:
        break;
    }
    co_return retry_delay;
}

void escrow_keeper::record_call(bool answered)
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
    spdlog::info("event=escrow_calls reads={} writes={} conflicts={} "
                 "failures={} write_ms_mean={:.1f} write_ms_max={:.1f} "
                 "account_bytes={} hosts={} revision={} witness={}",
                 m_calls.reads, m_calls.writes, m_calls.conflicts,
                 m_calls.failures, any_write ? acc::mean(m_calls.write_ms) : 0,
                 any_write ? acc::max(m_calls.write_ms) : 0, m_account_bytes,
                 m_book.hosts.size(), m_revision, registered_witness().host);
    m_calls = {};
}

asio::awaitable<void> escrow_keeper::run()
{
    m_running = true;
    while (!m_closing)
    {
        const auto pause = co_await step();
        m_failing = pause == retry_delay;
        if (pause == milliseconds(0))
            continue;
        m_wake_timer.expires_after(pause);
        co_await m_wake_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    m_running = false;
}

asio::awaitable<void> escrow_keeper::close(wallet_states_t final_states)
{
    m_closing = true;
    m_wake_timer.cancel();
    asio::steady_timer poll(m_wake_timer.get_executor());
    while (m_running)
    {
        poll.expires_after(milliseconds(5));
        co_await poll.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    constexpr int max_attempts = 5;
    for (int i = 0; i < max_attempts && owns_holding(); ++i)
    {
        if (m_stale)
            co_await refresh(false);
        auto new_book = m_book;
        auto& holding = new_book.hosts[m_identity.process.host];
        for (const auto& [customer, state] : final_states)
        {
            holding.used[customer] = state.used;
            holding.drawn[customer] = std::min(
                value_of(holding.drawn, customer), state.used + state.reserved);
        }
        if (co_await write_account(std::move(new_book)) == write_outcome::done)
            co_return;
    }
    spdlog::warn(
        "unused tokens of {} remain drawn: the store accepted no write",
        m_identity.process.host);
}

} // namespace rhubarbgrade
