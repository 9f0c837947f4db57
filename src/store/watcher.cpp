#include "watcher.hpp"

#include <algorithm> // max, min
#include <chrono>    // duration_cast
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <memory>    // make_shared
#include <optional>  // optional
#include <random>    // minstd_rand, uniform_int_distribution
#include <string>    // string
#include <utility>   // exchange, move

#include <spdlog/spdlog.h> // warn

#include "page_cursor.hpp"   // page_cursor
#include "store_client.hpp"  // store_client
#include "waiting_watch.hpp" // waiting_watch
#include "watch_gate.hpp"    // watch_gate
#include "watch_margin.hpp"  // next_watch_margin

namespace rhubarbgrade
{

namespace asio = boost::asio;
using boost::beast::http::verb;

namespace
{

/// Time for which the store delays its response to a watch (a long poll) if
/// nothing changes. Each call is charged for. Cheaper calls find out meanwhile
/// that a connection has gone dead, or a response was lost.
constexpr milliseconds watch_wait{8000};

/// Time-out for one page of a list, which may have a megabyte.
constexpr milliseconds list_timeout{1500};

/// Changes that come this soon after one are reported together with the next.
constexpr milliseconds batch_time{100};

/// Range of the pause before a failed call is repeated. It doubles with each
/// further failure, and up to the same time is added at random, so that hosts
/// do not retry at the same moment.
constexpr milliseconds min_retry_pause{100};
constexpr milliseconds max_retry_pause{1600};

/// Shortest time between two lists of a kind that can't be read to its end.
constexpr milliseconds relist_interval{2000};

/// Pauses between failed calls.
class retry_pauses
{
public:
    void reset()
    {
        m_next = min_retry_pause;
    }

    milliseconds next()
    {
        static std::minstd_rand random(std::random_device{}());
        std::uniform_int_distribution<milliseconds::rep> jitter(0,
                                                                m_next.count());
        const auto pause = m_next + milliseconds(jitter(random));
        m_next = std::min(2 * m_next, max_retry_pause);
        return pause;
    }

private:
    milliseconds m_next{min_retry_pause};
};

/// Reads a list page by page and reports its objects; empty if a call fails or
/// can't be decoded. No page is kept while the next one is read. If a page
/// names no position behind it, the list ends there and isn't complete.
asio::awaitable<std::optional<list_summary>>
read_list(store_client& store, const std::string& kind, bool stale_allowed,
          const watch_listener& listener)
{
    list_summary list;
    page_cursor cursor;
    std::uint64_t era = 0;
    std::size_t objects = 0;
    std::size_t unreadable = 0;
    for (;;)
    {
        const bool first = cursor.after().empty();
        auto target =
            platform::list_target(kind, cursor.after(), stale_allowed);
        const auto began = time_point_t::clock::now();
        auto response = co_await store.call(
            call_purpose::list, verb::get, std::move(target), {}, list_timeout);
        if (!response.is(200))
        {
            spdlog::warn("event=list_failed kind={} after={} status={} "
                         "too_large={}",
                         kind, platform::printable_name(cursor.after()),
                         response.status, response.too_large);
            co_return std::nullopt;
        }
        const auto page = platform::decode_list(response.body);
        if (!page)
        {
            spdlog::warn("{}", page.error().message());
            co_return std::nullopt;
        }
        response.body = std::string();
        if (!stale_allowed)
            store.record_revision(response.era, page->revision, began);
        unreadable += page->unreadable;
        // Pages of two eras of the store are no list.
        if (first)
            era = store.era();
        if (store.era() != era)
            co_return std::nullopt;
        for (const auto& each : page->objects)
            listener.listed(each);
        objects += page->objects.size();
        const bool advanced = cursor.advance(*page);
        list.revision = cursor.revision();
        list.complete = !page->more;
        if (list.complete)
            break;
        if (!advanced)
        {
            spdlog::warn("event=list_incomplete kind={} objects={}", kind,
                         objects);
            break;
        }
    }
    if (unreadable != 0)
        spdlog::warn("event=objects_unreadable kind={} count={}", kind,
                     unreadable);
    co_return list;
}

/// Reports the changes of a page.
void report_changes(const platform::event_page& page, const std::string& kind,
                    const watch_listener& listener)
{
    if (page.unreadable != 0)
        spdlog::warn("event=objects_unreadable kind={} count={}", kind,
                     page.unreadable);
    for (const auto& event : page.events)
        listener.changed(event);
    listener.reached(page.revision);
}

/// What follows a call of a watch.
enum class watch_step
{
    report, ///< changes, maybe none, are to be reported
    retry,  ///< the call has failed
    relist, ///< the kind has to be listed again
};

/// Changes of a kind, maybe none.
struct awaited_changes
{
    platform::event_page page;
    /// With them, all is known that the store had accepted before.
    std::optional<time_point_t> complete_until;
};

/// What a watch keeps from call to call.
struct watch_progress
{
    std::uint64_t era = 0; ///< of the store when the kind was listed
    milliseconds margin = min_watch_margin;
    retry_pauses pauses;
};

/// Waits for changes. They are taken from a check if that has received them
/// before the watch.
asio::awaitable<watch_step> await_changes(store_client& store, watch_gate& gate,
                                          waiting_watch& waiting,
                                          const watch_listener& listener,
                                          watch_progress& progress,
                                          awaited_changes& awaited)
{
    constexpr unsigned gone = 410;
    const auto started = time_point_t::clock::now();
    const auto renewals = gate.renewals();
    waiting.target =
        platform::watch_target(waiting.kind, waiting.revision, watch_wait);
    const auto response =
        co_await store.call(call_purpose::watch, verb::get, waiting.target, {},
                            watch_wait + progress.margin);
    waiting.target.clear();
    awaited = {std::exchange(waiting.changes, {}),
               std::exchange(waiting.complete_with_changes, std::nullopt)};
    if (std::exchange(waiting.outdated, false) && !response.is(200))
    {
        waiting.overtaken = false;
        co_return watch_step::relist;
    }
    if (std::exchange(waiting.overtaken, false) && !response.is(200))
    {
        progress.pauses.reset();
        co_return store.era() == progress.era ? watch_step::report
                                              : watch_step::relist;
    }
    if (gate.renewals() != renewals && response.end != call_outcome::answered)
        co_return watch_step::retry;
    progress.margin = next_watch_margin(progress.margin, response.end);
    listener.answered(response.is(200) || response.is(gone));
    if (response.is(gone) || store.era() != progress.era)
        co_return watch_step::relist;
    if (!response.is(200))
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(
            time_point_t::clock::now() - started);
        spdlog::warn("event=watch_failed kind={} revision={} status={} "
                     "after_ms={} too_large={}",
                     waiting.kind, waiting.revision, response.status,
                     elapsed.count(), response.too_large);
        co_await gate.pause(progress.pauses.next());
        // The same events would be too large again; pages of a list are not.
        co_return response.too_large ? watch_step::relist : watch_step::retry;
    }
    progress.pauses.reset();
    auto decoded = platform::decode_events(response.body);
    if (!decoded)
    {
        spdlog::warn("{}; listing {} again", decoded.error().message(),
                     waiting.kind);
        co_await gate.pause(progress.pauses.next());
        co_return watch_step::relist;
    }
    const auto now = time_point_t::clock::now();
    awaited = {std::move(*decoded), started};
    // The store has waited for changes up to the end of that time.
    if (awaited.page.events.empty() && awaited.page.unreadable == 0 &&
        now - started >= watch_wait)
        awaited.complete_until = started + watch_wait;
    store.record_revision(response.era, awaited.page.revision,
                          *awaited.complete_until);
    co_return watch_step::report;
}

/// Reports changes from a revision on; returns when the kind has to be listed
/// again: the history is gone, the store has begun another one, or something
/// has changed since a list that is not complete.
asio::awaitable<void> watch_from(store_client& store, watch_gate& gate,
                                 waiting_watch& waiting,
                                 const watch_listener& listener,
                                 list_summary list)
{
    const auto relist_at = time_point_t::clock::now() + relist_interval;
    bool changed = false;
    watch_progress progress;
    progress.era = store.era();
    waiting.era = progress.era;
    waiting.revision = list.revision;
    for (;;)
    {
        // What others have told meanwhile proves nothing of this watch.
        if (!gate.open())
            waiting.complete_until.reset();
        co_await gate.wait_until_open();
        if (store.era() != progress.era)
            co_return;
        if (listener.known_up_to)
            waiting.revision =
                std::max(waiting.revision, listener.known_up_to());
        awaited_changes awaited;
        const auto step = co_await await_changes(store, gate, waiting, listener,
                                                 progress, awaited);
        if (step == watch_step::relist)
            co_return;
        if (step == watch_step::retry)
            continue;
        const auto& page = awaited.page;
        report_changes(page, waiting.kind, listener);
        waiting.revision = std::max(waiting.revision, page.revision);
        waiting.complete_until =
            std::max(waiting.complete_until, awaited.complete_until);
        changed = changed || !page.events.empty() || page.unreadable != 0;
        if (!list.complete && changed &&
            time_point_t::clock::now() >= relist_at)
            co_return;
        if (!page.events.empty())
            co_await gate.pause(batch_time);
    }
}

} // namespace

asio::awaitable<void> list_and_watch(store_client& store, watch_gate& gate,
                                     std::string kind, watch_listener listener)
{
    retry_pauses pauses;
    const auto waiting = std::make_shared<waiting_watch>();
    waiting->kind = kind;
    gate.add(waiting);
    for (;;)
    {
        if (!gate.open() && listener.known())
            co_await gate.wait_until_open();
        const bool stale_allowed = !gate.open();
        waiting->complete_until.reset();
        listener.list_reset();
        const auto began = time_point_t::clock::now();
        const auto list =
            co_await read_list(store, kind, stale_allowed, listener);
        // Without the gate, an answer tells nothing of a later state.
        if (!stale_allowed && list)
            waiting->complete_until = began;
        if (!stale_allowed)
            listener.answered(list.has_value());
        if (!list)
        {
            listener.list_reset();
            co_await gate.pause(pauses.next());
            continue;
        }
        pauses.reset();
        if (!stale_allowed || !listener.known())
            listener.list_ended(*list);
        else
            listener.list_reset();
        co_await watch_from(store, gate, *waiting, listener, *list);
    }
}

} // namespace rhubarbgrade
