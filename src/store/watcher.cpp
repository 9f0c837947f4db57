#include "watcher.hpp"

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

namespace rhubarbgrade
{

namespace asio = boost::asio;
using boost::beast::http::verb;

namespace
{

/// How long the store holds a watch without news. Each return is paid for; a
/// connection gone silent is found after it and the margin, within the time
/// after which hosts must act again (3 s).
constexpr milliseconds watch_wait{2000};
constexpr milliseconds watch_margin{700};

/// For a list, which may hold a megabyte.
constexpr milliseconds list_timeout{1500};

/// Pause after a failed call, with as much again at random so that hosts
/// don't call in step.
constexpr int pause_ms = 100;

asio::awaitable<void> pause()
{
    static std::minstd_rand random(std::random_device{}());
    std::uniform_int_distribution<int> extra(0, pause_ms);
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             milliseconds(pause_ms + extra(random)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Reads all pages of a kind.
asio::awaitable<std::optional<platform::object_page>>
list_all(store_client& store, const std::string& kind)
{
    platform::object_page all;
    std::string after;
    do
    {
        const auto answer = co_await store.call(
            call_purpose::list, verb::get, platform::list_target(kind, after),
            {}, list_timeout);
        if (!answer.is(200))
            co_return std::nullopt;
        auto page = platform::decode_list(answer.body);
        if (!page)
        {
            spdlog::warn("{}", page.error().message());
            co_return std::nullopt;
        }
        // Watching from the first page's revision misses nothing.
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

/// Waits for changes until the history is lost.
asio::awaitable<void> follow_from(store_client& store, const std::string& kind,
                                  const watch_listener& listener,
                                  std::uint64_t revision)
{
    constexpr unsigned gone = 410;
    for (;;)
    {
        const auto answer = co_await store.call(
            call_purpose::watch, verb::get,
            platform::watch_target(kind, revision, watch_wait), {},
            watch_wait + watch_margin);
        listener.answered(answer.is(200) || answer.is(gone));
        if (answer.is(gone))
            co_return;
        if (!answer.is(200))
        {
            co_await pause();
            continue;
        }
        const auto page = platform::decode_events(answer.body);
        if (!page)
        {
            spdlog::warn("{}; listing {} again", page.error().message(), kind);
            co_await pause();
            co_return;
        }
        for (const auto& event : page->events)
            listener.changed(event);
        revision = page->revision;
    }
}

} // namespace

asio::awaitable<void> follow(store_client& store, std::string kind,
                             watch_listener listener)
{
    for (;;)
    {
        auto page = co_await list_all(store, kind);
        listener.answered(page.has_value());
        if (!page)
        {
            co_await pause();
            continue;
        }
        listener.snapshot(std::move(page->objects));
        co_await follow_from(store, kind, listener, page->revision);
    }
}

} // namespace rhubarbgrade
