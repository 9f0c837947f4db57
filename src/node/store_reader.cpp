#include "store_reader.hpp"

#include <algorithm> // any_of, min
#include <chrono>    // duration_cast
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/steady_timer.hpp>  // steady_timer
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <spdlog/spdlog.h>              // info

#include <platform/store_calls.hpp> // changes_target, decode_events, list_target

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

void store_reader::record_answer(bool answered, time_point_t now)
{
    if (answered && m_gate.proven())
        m_answered_at = now;
    record_outcome(answered);
}

void store_reader::record_outcome(bool answered)
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

asio::awaitable<bool> store_reader::call_store()
{
    const auto unproven = m_gate.unproven_watches();
    // A response that allows no old data tells the present revision. Then old
    // copies are known as such, and cheaper calls do for the other watches.
    bool stale_allowed = false;
    for (const auto& each : unproven)
    {
        const auto result = co_await check_watch(each, stale_allowed);
        if (result == check_result::unanswered)
            co_return false;
        each->proven = each->proven || result == check_result::sound;
        stale_allowed = stale_allowed || result == check_result::sound;
    }
    if (!unproven.empty())
        co_return true;
    if (const auto watch = m_gate.next_watch())
    {
        const auto result = co_await check_watch(watch, true);
        co_return result != check_result::unanswered;
    }
    auto target = platform::list_target(platform::move_kind, "", true);
    const auto answer = co_await m_store.call(
        call_purpose::probe, verb::get, std::move(target), {}, probe_timeout);
    co_return answer.is(200);
}

asio::awaitable<store_reader::check_result>
store_reader::check_watch(const std::shared_ptr<waiting_watch>& watch,
                          bool stale_allowed)
{
    constexpr unsigned gone = 410;
    const auto waits_for = watch->target;
    const auto revision = watch->revision;
    auto target =
        platform::changes_target(watch->kind, revision, stale_allowed);
    const auto answer = co_await m_store.call(
        call_purpose::probe, verb::get, std::move(target), {}, probe_timeout);
    // A watch whose history is gone is told so, too.
    if (answer.is(gone))
        co_return check_result::answered;
    if (!answer.is(200))
        co_return check_result::unanswered;
    auto page = platform::decode_events(answer.body);
    if (!page)
    {
        spdlog::warn("{}", page.error().message());
        co_return check_result::answered;
    }
    // It has been answered meanwhile.
    if (watch->target != waits_for)
        co_return check_result::answered;
    const auto known = m_store.known_revision();
    const auto verdict =
        judge_watch({!page->events.empty() || page->unreadable != 0,
                     page->revision, known});
    if (verdict == watch_verdict::unknown && stale_allowed)
        co_return co_await check_watch(watch, false);
    const auto result =
        page->revision >= known ? check_result::sound : check_result::answered;
    m_store.learn_revision(page->revision);
    if (verdict != watch_verdict::overtaken)
        co_return result;
    spdlog::info("event=watch_overtaken kind={} revision={} reached={} "
                 "changes={} stale_allowed={}",
                 watch->kind, revision, page->revision, page->events.size(),
                 stale_allowed);
    watch->changes = std::move(*page);
    watch->overtaken = true;
    m_store.abort_watch(waits_for);
    co_return result;
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
        const bool watches = reads();
        const bool answered = co_await call_store();
        const bool suspect = m_suspect;
        // It says nothing of a later state unless the watches stand.
        if (answered && !suspect && watches && m_gate.proven())
            m_answered_at = time_point_t::clock::now();
        record_outcome(answered);
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
