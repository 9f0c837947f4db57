#include "watcher.hpp"

#include <chrono>   // duration_cast
#include <cstdint>  // uint64_t
#include <iterator> // make_move_iterator
#include <optional> // optional
#include <random>   // minstd_rand, uniform_int_distribution
#include <string>   // string
#include <utility>  // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/steady_timer.hpp>  // steady_timer
#include <boost/asio/this_coro.hpp>     // this_coro
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include <spdlog/spdlog.h> // warn

#include "store_client.hpp" // store_client
#include "watch_margin.hpp" // next_watch_margin

namespace rhubarbgrade
{

namespace asio = boost::asio;
using boost::beast::http::verb;

namespace
{

/// Time for which the store delays its response to a watch (a long poll) if
/// nothing changes. A longer time needs fewer calls, which the platform charges
/// for. But a dead connection is found only after this time and
/// min_watch_margin, whose sum has to stay below the contact bound, the 3 s
/// after which hosts must act on the store's state again.
constexpr milliseconds watch_wait{2000};

/// Time-out for one page of a list, which may have a megabyte.
constexpr milliseconds list_timeout{1500};

/// Delay in milliseconds before a failed call is repeated. Up to the same time
/// is added at random, so that hosts do not retry at the same moment.
constexpr int retry_pause_ms = 100;

asio::awaitable<void> wait_before_retry()
{
    static std::minstd_rand random(std::random_device{}());
    std::uniform_int_distribution<int> jitter(0, retry_pause_ms);
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             milliseconds(retry_pause_ms + jitter(random)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Reads all pages of a list; empty if a call fails or can't be decoded.
asio::awaitable<std::optional<platform::object_page>>
list_all(store_client& store, const std::string& kind)
{
    platform::object_page all;
    std::string after;
    std::uint64_t era = 0;
    do
    {
        const auto response = co_await store.call(
            call_purpose::list, verb::get, platform::list_target(kind, after),
            {}, list_timeout);
        if (!response.is(200))
            co_return std::nullopt;
        auto page = platform::decode_list(response.body);
        if (!page)
        {
            spdlog::warn("{}", page.error().message());
            co_return std::nullopt;
        }
        if (page->unreadable != 0)
            spdlog::warn("event=objects_unreadable kind={} count={}", kind,
                         page->unreadable);
        // Pages of two eras of the store are no list.
        if (after.empty())
            era = store.era();
        if (store.era() != era)
            co_return std::nullopt;
        // A watch from the first page's revision also reports the changes that
        // were made while the later pages were read.
        if (after.empty())
            all.revision = page->revision;
        all.more = page->more && !page->objects.empty();
        if (!page->objects.empty())
            after = page->objects.back().name;
        all.objects.insert(all.objects.end(),
                           std::make_move_iterator(page->objects.begin()),
                           std::make_move_iterator(page->objects.end()));
    } while (all.more);
    co_return all;
}

/// Reports changes from a revision on; returns when the kind has to be listed
/// again: the history is gone, or the store has begun another one.
asio::awaitable<void> watch_from(store_client& store, const std::string& kind,
                                 const watch_listener& listener,
                                 std::uint64_t revision)
{
    constexpr unsigned gone = 410;
    const auto era = store.era();
    auto margin = min_watch_margin;
    for (;;)
    {
        const auto started = time_point_t::clock::now();
        const auto response = co_await store.call(
            call_purpose::watch, verb::get,
            platform::watch_target(kind, revision, watch_wait), {},
            watch_wait + margin);
        margin = next_watch_margin(margin, response.end);
        const auto elapsed = std::chrono::duration_cast<milliseconds>(
            time_point_t::clock::now() - started);
        listener.answered(response.is(200) || response.is(gone));
        if (response.is(gone) || store.era() != era)
            co_return;
        if (!response.is(200))
        {
            spdlog::warn("event=watch_failed kind={} revision={} status={} "
                         "after_ms={}",
                         kind, revision, response.status, elapsed.count());
            co_await wait_before_retry();
            continue;
        }
        const auto page = platform::decode_events(response.body);
        if (!page)
        {
            spdlog::warn("{}; listing {} again", page.error().message(), kind);
            co_await wait_before_retry();
            co_return;
        }
        if (page->unreadable != 0)
            spdlog::warn("event=objects_unreadable kind={} count={}", kind,
                         page->unreadable);
        for (const auto& event : page->events)
            listener.changed(event);
        revision = page->revision;
    }
}

} // namespace

asio::awaitable<void> list_and_watch(store_client& store, std::string kind,
                                     watch_listener listener)
{
    for (;;)
    {
        auto page = co_await list_all(store, kind);
        listener.answered(page.has_value());
        if (!page)
        {
            co_await wait_before_retry();
            continue;
        }
        listener.snapshot(std::move(page->objects));
        co_await watch_from(store, kind, listener, page->revision);
    }
}

} // namespace rhubarbgrade
