#include "crash_detector.hpp"

#include <set>     // set
#include <utility> // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/steady_timer.hpp>  // steady_timer
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include <spdlog/spdlog.h> // warn

#include "../store/spawn.hpp" // spawn

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

std::set<std::uint64_t> ids_of(const crash_suspects_t& suspects)
{
    std::set<std::uint64_t> ids;
    for (const auto& [id, each] : suspects)
        ids.insert(id);
    return ids;
}

} // namespace

crash_detector::crash_detector(asio::any_io_executor executor,
                               endpoint_directory& directory,
                               crash_listener listener)
    : m_executor(std::move(executor)),
      m_directory(directory),
      m_listener(std::move(listener))
{
}

void crash_detector::on_broken_answer(const endpoint_ptr_t& endpoint,
                                      const crash_suspects_t& suspects)
{
    const auto [found, is_new] = m_probes.try_emplace(endpoint);
    if (is_new)
        spawn(m_executor, probe(endpoint), "probe of an endpoint");
    found->second.insert(suspects.begin(), suspects.end());
}

void crash_detector::on_whole_answer(const crash_suspects_t& suspects) const
{
    m_listener.cleared(ids_of(suspects));
}

asio::awaitable<void> crash_detector::probe(endpoint_ptr_t endpoint)
{
    asio::steady_timer timer(m_executor, crash_probe_delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    auto opened = co_await m_directory.open_connection(endpoint);
    const auto suspects = std::move(m_probes[endpoint]);
    m_probes.erase(endpoint);
    if (opened.link)
    {
        m_directory.return_connection(*endpoint, std::move(opened.link),
                                      time_point_t::clock::now());
        co_return;
    }
    // An endpoint that has left, can't be reached, or fell over because it had
    // no room is no evidence.
    if (!opened.refused || !endpoint->listed ||
        endpoint_directory::fell_for_room(*endpoint,
                                          time_point_t::clock::now()))
        co_return;
    spdlog::warn("event=endpoint_crashed endpoint={} suspects={}",
                 endpoint->entry.id, suspects.size());
    m_listener.crashed(process_hash(endpoint->entry), suspects);
}

} // namespace rhubarbgrade
