#include "store_reader.hpp"

#include <algorithm> // any_of, max, min
#include <chrono>    // duration_cast
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/steady_timer.hpp>  // steady_timer
#include <boost/asio/this_coro.hpp>     // executor
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <spdlog/spdlog.h>              // info

#include <platform/store_calls.hpp> // changes_target, decode_events, list_target

#include "../store/spawn.hpp"         // spawn
#include "../store/store_client.hpp"  // store_client
#include "../store/waiting_watch.hpp" // waiting_watch
#include "../store/watch_check.hpp"   // judge_watch

namespace rhubarbgrade
{

namespace asio = boost::asio;
using boost::beast::http::verb;

namespace
{

/// Time between two signs of life. News of the state follow each of them, so
/// that the other hosts of the zone have one that is hardly older than this.
constexpr milliseconds probe_interval{500};
constexpr milliseconds probe_timeout{700};

/// Range of the pause after a failed call, which doubles with each.
constexpr milliseconds min_probe_pause{200};
constexpr milliseconds max_probe_pause{1000};

/// The same for hosts that aren't among the first to try: with the time-out, a
/// path that is whole again is found within 2.2 s.
constexpr milliseconds max_ask_pause{1500};

/// Consecutive calls that fail until the host says so.
constexpr int failures_to_tell = 2;

} // namespace

struct store_reader::running_checks
{
    explicit running_checks(const asio::any_io_executor& executor)
        : ended(executor, time_point_t::max())
    {
    }

    std::size_t running = 0;
    bool answered = true;     ///< all that have ended
    asio::steady_timer ended; ///< cancelled when one ends
};

store_reader::store_reader(asio::any_io_executor executor, store_client& store,
                           std::string host, const reader_policy& policy,
                           std::function<void()> changed,
                           std::function<void(bool)> recorded)
    : m_store(store),
      m_host(std::move(host)),
      m_policy(policy),
      m_changed(std::move(changed)),
      m_recorded(std::move(recorded)),
      m_gate(std::move(executor))
{
}

void store_reader::record_answer(bool answered)
{
    m_failures = answered ? 0 : m_failures + 1;
    m_answered = answered;
    m_suspect = m_suspect || !answered;
    m_recorded(answered);
    const bool failing = m_failing ? !answered : m_failures >= failures_to_tell;
    if (failing == m_failing)
        return;
    m_failing = failing;
    spdlog::info("event=store_{} failures={} reads={}",
                 failing ? "failing" : "answers", m_failures, reads());
    m_changed();
}

void store_reader::decide(std::span<const reader_candidate> zone,
                          bool knows_state, time_point_t confirmed_at,
                          time_point_t now)
{
    m_chosen_host = choose_reader(zone, m_policy);
    const bool others_try = std::any_of(zone.begin(), zone.end(),
                                        [](const auto& each)
                                        {
                                            return each.failing;
                                        });
    m_rank = reader_rank(zone, m_host);
    const auto use =
        use_of_store({chosen(), others_try, knows_state, confirmed_at, m_rank,
                      m_failing, m_gate.open() || m_answered},
                     now, m_policy);
    const bool reads = use == store_use::reads;
    const bool asks = use == store_use::asks;
    if (use == store_use::none)
        m_answered = false;
    if (reads == m_gate.open() && asks == m_asks)
        return;
    spdlog::info(
        "event=store_reader reads={} asks={} chosen={} rank={} failing={} "
        "others_try={} state_age_ms={} max_state_age_ms={}",
        reads, asks, m_chosen_host, m_rank, m_failing, others_try,
        std::chrono::duration_cast<milliseconds>(now - confirmed_at).count(),
        max_age().count());
    const bool begins_to_ask = asks && !m_asks;
    m_asks = asks;
    if (reads != m_gate.open())
    {
        m_gate.set_open(reads);
        m_changed();
    }
    else if (begins_to_ask)
        m_gate.wake();
}

milliseconds store_reader::next_probe()
{
    if (m_failures == 0)
        return probe_interval;
    constexpr int max_doublings = 3;
    const bool among_first = chosen() || m_rank < m_policy.trying_hosts;
    const auto pause =
        std::min(among_first ? max_probe_pause : max_ask_pause,
                 min_probe_pause * (1 << std::min(m_failures, max_doublings)));
    std::uniform_int_distribution<milliseconds::rep> jitter(0,
                                                            pause.count() / 2);
    return pause / 2 + milliseconds(jitter(m_random));
}

std::optional<time_point_t> store_reader::complete_until() const
{
    return m_gate.complete_until(m_store.revisions());
}

asio::awaitable<bool> store_reader::call_store()
{
    const auto& revisions = m_store.revisions();
    const auto needed = needed_completeness(
        time_point_t::clock::now(), max_reader_age(m_policy), probe_interval);
    auto incomplete = m_gate.incomplete_watches(revisions, needed);
    if (reads() && !incomplete.empty())
    {
        // One response that allows no old data tells which copies of the store
        // are recent. Then cheaper calls mostly do for the other watches.
        const bool present_known =
            may_allow_old_data(revisions.latest(), needed);
        if (!co_await check_watches(incomplete, present_known ? 0 : 1, needed))
            co_return false;
        incomplete = m_gate.incomplete_watches(revisions, needed);
        co_return co_await check_watches(incomplete, incomplete.size(), needed);
    }
    if (const auto watch = m_gate.next_watch())
        co_return co_await check_watch(watch, true, needed);
    auto target = platform::list_target(platform::move_kind, "", true);
    const auto answer = co_await m_store.call(
        call_purpose::probe, verb::get, std::move(target), {}, probe_timeout);
    co_return answer.is(200);
}

asio::awaitable<bool>
store_reader::check_watches(const std::vector<waiting_watch_ptr_t>& watches,
                            std::size_t present_calls, time_point_t needed)
{
    if (watches.empty())
        co_return true;
    // Side by side, so that a store that answers late delays them once.
    const auto executor = co_await asio::this_coro::executor;
    const auto checks = std::make_shared<running_checks>(executor);
    checks->running = watches.size();
    for (std::size_t i = 0; i < watches.size(); ++i)
        spawn(executor,
              run_check(watches[i], i >= present_calls, needed, checks),
              "check of a watch");
    while (checks->running != 0)
        co_await checks->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return checks->answered;
}

asio::awaitable<void>
store_reader::run_check(waiting_watch_ptr_t watch, bool old_data_allowed,
                        time_point_t needed,
                        std::shared_ptr<running_checks> checks)
{
    // Also if the check ends by an exception.
    const auto end = [](running_checks* ended)
    {
        --ended->running;
        ended->ended.cancel();
    };
    const std::unique_ptr<running_checks, decltype(end)> guard(checks.get(),
                                                               end);
    const bool answered = co_await check_watch(watch, old_data_allowed, needed);
    checks->answered = checks->answered && answered;
}

asio::awaitable<bool>
store_reader::check_watch(const waiting_watch_ptr_t& watch,
                          bool old_data_allowed, time_point_t needed)
{
    constexpr unsigned gone = 410;
    const auto waits_for = watch->target;
    const auto revision = watch->revision;
    auto target =
        platform::changes_target(watch->kind, revision, old_data_allowed);
    m_present_checks += old_data_allowed ? 0 : 1;
    const auto began = time_point_t::clock::now();
    const auto answer = co_await m_store.call(
        call_purpose::probe, verb::get, std::move(target), {}, probe_timeout);
    // It has been answered meanwhile.
    const bool waits = watch->target == waits_for;
    const bool era_ended = watch->era != m_store.era();
    if (answer.is(gone) || (answer.is(200) && era_ended))
    {
        // Changes may have been lost with the history, or with the response
        // that told the watch so.
        if (waits && (era_ended || !old_data_allowed))
        {
            watch->outdated = true;
            m_store.abort_watch(waits_for);
        }
        co_return true;
    }
    if (!answer.is(200))
        co_return false;
    auto page = platform::decode_events(answer.body);
    if (!page)
    {
        spdlog::warn("{}", page.error().message());
        co_return true;
    }
    if (!old_data_allowed)
        m_store.record_revision(answer.era, page->revision, began);
    if (!waits)
        co_return true;
    const auto until = old_data_allowed
                           ? m_store.revisions().complete_until(page->revision)
                           : std::optional(began);
    const auto verdict = judge_watch(
        {!page->events.empty() || page->unreadable != 0, until, needed});
    if (verdict != watch_verdict::overtaken)
    {
        watch->complete_until = std::max(watch->complete_until, until);
        watch->revision = std::max(watch->revision, page->revision);
        co_return true;
    }
    spdlog::info("event=watch_overtaken kind={} revision={} reached={} "
                 "changes={} stale_allowed={}",
                 watch->kind, revision, page->revision, page->events.size(),
                 old_data_allowed);
    watch->changes = std::move(*page);
    watch->complete_with_changes = until;
    watch->overtaken = true;
    m_store.abort_watch(waits_for);
    co_return true;
}

asio::awaitable<void> store_reader::probe()
{
    auto pause = probe_interval;
    for (;;)
    {
        co_await m_gate.pause(pause);
        pause = probe_interval;
        if (!reads() && !m_failing && !m_asks)
            continue;
        const bool answered = co_await call_store();
        const bool suspect = m_suspect;
        record_answer(answered);
        pause = next_probe();
        if (!answered)
            continue;
        if (!suspect)
        {
            m_changed();
            continue;
        }
        m_suspect = false;
        m_gate.renew();
        m_store.abort_watches();
        // The next one shows that the renewed watches stand.
        pause = min_probe_pause;
    }
}

} // namespace rhubarbgrade
