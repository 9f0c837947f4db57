#include "escrow_keeper.hpp"

#include <algorithm> // any_of, min
#include <chrono>    // ceil, duration
#include <random>    // uniform_int_distribution
#include <string>    // string
#include <utility>   // exchange, move

#include <spdlog/spdlog.h> // warn

#include <platform/store_calls.hpp> // object_target, spec_body
#include <rhubarbgrade/detail/escrow/closed_holdings.hpp> // find_closed

#include "../store/store_client.hpp" // store_client
#include "escrow_calls.hpp"          // call_timeout

// The exchange of changes between their owners and the host that writes them
// to the escrow account.

namespace rhubarbgrade
{

namespace asio = boost::asio;
using boost::beast::http::verb;
using namespace escrow_calls;

namespace
{

/// Shortest interval between two writes for changes that nobody waits for;
/// holdings are refilled seconds before they run dry. Each write is charged
/// for, whatever the number of changes in it.
constexpr milliseconds write_interval{250};

/// The same for changes that callers wait for: a small part of the time that
/// their requests may wait.
constexpr milliseconds urgent_write_interval{50};

/// Interval at which an unanswered change is sent again.
constexpr milliseconds resend_interval{100};

/// Time without an answer after which a change goes to another writer. A writer
/// answers after the write in progress and the next one.
constexpr milliseconds answer_timeout{600};

/// Time for which a writer that was silent or could not write is avoided: the
/// contact bound, after which a fault counts as over.
constexpr milliseconds avoid_period{3000};

/// Writers that may fail a change before this host writes it by itself.
constexpr int max_failed_writers = 3;

/// Range of the random pause after a second conflict in a row; it doubles with
/// each further one.
constexpr milliseconds min_conflict_pause{20};
constexpr int max_conflict_doublings = 2;

/// Changes of peers that are kept until the next write; one for each process.
constexpr std::size_t max_received = 4096;

} // namespace

std::string escrow_keeper::choose_writer_now()
{
    if (m_failed_writers >= max_failed_writers)
        return m_identity.process.host;
    return choose_writer(m_view.book, m_identity.process.host,
                         m_identity.capacity, m_contacts, m_started,
                         m_reachable_since, time_point_t::clock::now());
}

void escrow_keeper::avoid(const std::string& host, std::string_view reason)
{
    spdlog::warn("event=writer_avoided writer={} reason={} sequence={}", host,
                 reason, m_view.pending ? m_view.pending->sequence : 0);
    m_sent_since = {};
    m_contacts[host].avoid_until = time_point_t::clock::now() + avoid_period;
    ++m_failed_writers;
    record_outcome(false);
}

/// Sends the pending change to its writer, unless that was done a moment ago.
/// @return pause until the next step
milliseconds escrow_keeper::send_pending(const std::string& writer)
{
    if (!m_view.pending)
        return max_check_interval;
    const auto now = time_point_t::clock::now();
    const auto& change = *m_view.pending;
    // A change that extends an unanswered one does not prolong its time.
    if (writer != m_writer || m_sent_since == time_point_t{})
    {
        m_writer = writer;
        m_sent_since = now;
        m_sent_sequence = 0;
    }
    if (now - m_sent_since > answer_timeout)
    {
        avoid(writer, "silent");
        return milliseconds(0);
    }
    if (m_sent_sequence == change.sequence && now - m_sent_at < resend_interval)
        return std::chrono::ceil<milliseconds>(m_sent_at + resend_interval -
                                               now);
    // To whichever writer.
    if (m_first_sent_sequence != change.sequence)
    {
        m_first_sent_sequence = change.sequence;
        m_first_sent_at = now;
    }
    m_sent_sequence = change.sequence;
    m_sent_at = now;
    ++m_calls.sent;
    m_listener.send_change(m_view.book.hosts[writer].address, change);
    return resend_interval;
}

void escrow_keeper::handle_change(account_change change)
{
    if (change.owner.none())
        return;
    if (m_closing || !m_store_reachable || m_received.size() >= max_received)
    {
        answer(change, make_answer(m_view.book, m_view.totals, change,
                                   change_result::failed, m_view.revision));
        return;
    }
    auto& received = m_received[change.owner];
    if (received.sequence <= change.sequence)
        received = std::move(change);
    if (!m_failing)
        m_wake_timer.cancel();
}

void escrow_keeper::answer(const account_change& change, account_answer reply)
{
    reply.writer = m_identity.process.host;
    m_listener.send_answer(change.address, reply);
}

void escrow_keeper::answer_all(
    const changes_t& changes, const escrow_book& book,
    const std::map<process_id, change_result>& results)
{
    const auto totals = totals_of(book);
    for (const auto& [owner, change] : changes)
    {
        if (owner == m_identity.process)
            continue;
        const auto result = results.at(owner);
        m_calls.for_peers += result == change_result::applied ? 1 : 0;
        answer(change,
               make_answer(book, totals, change, result, m_view.revision));
    }
}

void escrow_keeper::record_own_answer()
{
    m_failed_writers = 0;
    m_sent_since = {};
    record_outcome(true);
}

void escrow_keeper::handle_answer(const account_answer& reply)
{
    if (in_repair() || reply.owner != m_identity.process || !m_view.pending ||
        reply.sequence > m_view.pending->sequence)
        return;
    switch (reply.result)
    {
    case change_result::failed:
        if (reply.writer == m_writer && m_sent_since != time_point_t{})
        {
            avoid(reply.writer, "failed");
            m_wake_timer.cancel();
        }
        return;
    case change_result::refused:
        // The account has another predecessor than the one that was read.
        apply_refusal(m_view, m_identity.process);
        m_stale = true;
        break;
    case change_result::applied:
    case change_result::known:
    {
        const bool had_holding = owns_holding();
        if (!apply_answer(m_view, m_identity.process, reply))
            return;
        if (!had_holding)
            m_holding_since = time_point_t::clock::now();
        // It was written after it had been sent.
        if (reply.result == change_result::applied &&
            reply.sequence == m_first_sent_sequence)
            m_store.record_revision(reply.era, reply.revision, m_first_sent_at);
        ++m_calls.answered;
        record_own_answer();
        apply_view();
        break;
    }
    }
    m_wake_timer.cancel();
}

asio::awaitable<call_result> escrow_keeper::put_account(const escrow_book& book,
                                                        std::uint64_t revision)
{
    auto body =
        platform::spec_body(book_name, revision, encode_escrow_book(book));
    const auto started = time_point_t::clock::now();
    auto target = platform::object_target(book_kind, book_name);
    auto reply =
        co_await m_store.call(call_purpose::budget, verb::put,
                              std::move(target), std::move(body), call_timeout);
    constexpr double ms_per_second = 1000;
    const std::chrono::duration<double> elapsed =
        time_point_t::clock::now() - started;
    m_calls.write_ms(elapsed.count() * ms_per_second);
    // A write that was in conflict is repeated without the pause between
    // writes.
    if (reply.is(200))
        m_written_at = started;
    m_calls.writes += reply.is(200) ? 1 : 0;
    m_calls.conflicts += reply.is(409) ? 1 : 0;
    record_call(reply.is(200) || reply.is(409));
    co_return reply;
}

/// Pause before a write that was in conflict is repeated: none after the first,
/// then at random, so that hosts that write at the same time get apart.
milliseconds escrow_keeper::conflict_pause()
{
    const auto doublings =
        std::min(m_consecutive_conflicts++, max_conflict_doublings + 1) - 1;
    if (doublings < 0)
        return milliseconds(0);
    std::uniform_int_distribution<milliseconds::rep> pause_ms(
        1, min_conflict_pause.count() << doublings);
    return milliseconds(pause_ms(m_random));
}

escrow_keeper::planned_write
escrow_keeper::apply_all(const changes_t& changes) const
{
    planned_write plan{m_view.book, {}, false, false};
    auto totals = totals_of(plan.book);
    for (const auto& [owner, change] : changes)
    {
        const auto result = apply_change(plan.book, totals, m_budgets, change);
        plan.results[owner] = result;
        plan.changed = plan.changed || result == change_result::applied;
        plan.any_refused = plan.any_refused || result == change_result::refused;
    }
    return plan;
}

/// Tells the owners of changes that this host can't write them.
/// @return pause until the next step
milliseconds escrow_keeper::fail_all(const changes_t& changes)
{
    std::map<process_id, change_result> results;
    for (const auto& [owner, change] : changes)
        results[owner] = change_result::failed;
    answer_all(changes, m_view.book, results);
    return failure_pause();
}

/// Logs the holdings that a write has closed, and what it counts as spent.
void escrow_keeper::log_closed(const escrow_book& before,
                               const escrow_book& after)
{
    const auto closed = find_closed(before, after);
    if (closed.holdings.empty())
        return;
    for (const auto& [holding, reason] : closed.holdings)
    {
        token_count_t drawn = 0;
        for (const auto& [customer, tokens] : holding.drawn)
            drawn += tokens;
        spdlog::info("event=holding_closed owner={} incarnation={} witness={} "
                     "reason={} drawn={}",
                     holding.owner.host, holding.owner.incarnation,
                     holding.witness.host, name_of(reason), drawn);
    }
    for (const auto& [customer, total] : closed.totals)
    {
        const auto stranded = total.drawn - std::min(total.drawn, total.used);
        m_stranded += stranded;
        const auto prepaid = m_budgets.find(customer);
        spdlog::info("event=tokens_closed customer={} counted={} known_used={} "
                     "stranded={} undrawn={}",
                     customer, total.drawn, total.used, stranded,
                     prepaid == m_budgets.end()
                         ? 0
                         : undrawn(after, customer, prepaid->second));
    }
}

/// Writes the pending change of this host and those received from peers.
/// @param[in] paced  whether to wait for the shortest interval between writes
/// @return pause until the next step
asio::awaitable<milliseconds> escrow_keeper::write_changes(bool paced)
{
    auto changes = std::exchange(m_received, {});
    if (m_view.pending)
        changes[m_identity.process] = *m_view.pending;
    if (changes.empty())
        co_return max_check_interval;
    const bool urgent = std::any_of(changes.begin(), changes.end(),
                                    [](const auto& each)
                                    {
                                        return each.second.urgent;
                                    });
    const auto due =
        m_written_at + (urgent ? urgent_write_interval : write_interval);
    if (const auto now = time_point_t::clock::now(); paced && now < due)
    {
        m_received = std::move(changes);
        m_received.erase(m_identity.process);
        co_return std::chrono::ceil<milliseconds>(due - now);
    }
    auto plan = apply_all(changes);
    if (plan.any_refused)
    {
        // Only the current account can refuse a change.
        co_await refresh(false);
        if (!m_stale && !in_repair())
            plan = apply_all(changes);
    }
    if (in_repair())
    {
        m_received = std::move(changes);
        m_received.erase(m_identity.process);
        co_return milliseconds(0);
    }
    if (m_stale)
        co_return fail_all(changes);
    if (const auto own = plan.results.find(m_identity.process);
        own != plan.results.end() && own->second == change_result::refused)
        apply_refusal(m_view, m_identity.process);
    if (!plan.changed)
    {
        answer_all(changes, m_view.book, plan.results);
        co_return milliseconds(0);
    }
    const auto reply = co_await put_account(plan.book, m_view.revision);
    if (reply.is(200))
    {
        m_consecutive_conflicts = 0;
        m_failed_writers = 0;
        log_closed(m_view.book, plan.book);
        const auto before = m_view.revision;
        if (apply_object(reply.body, reply.era))
        {
            // A write that changes nothing gets no revision of its own.
            if (m_view.revision > before)
                m_store.record_revision(reply.era, m_view.revision,
                                        m_written_at);
            answer_all(changes, m_view.book, plan.results);
        }
        co_return milliseconds(0);
    }
    if (reply.is(409))
    {
        // Changes that came meanwhile are newer.
        changes.erase(m_identity.process);
        m_received.merge(changes);
        m_failed_writers = 0;
        apply_object(reply.body, reply.era);
        const auto pause = conflict_pause();
        m_failing = pause != milliseconds(0);
        co_return pause;
    }
    spdlog::warn("draw or return of tokens not confirmed: status {} {}",
                 reply.status, reply.body);
    m_stale = true;
    co_return fail_all(changes);
}

} // namespace rhubarbgrade
