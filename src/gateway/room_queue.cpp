#include "room_queue.hpp"

#include <algorithm> // find, min
#include <memory>    // make_shared
#include <string>    // string
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// Most waiting requests per service; with bodies of about 20 KB they occupy a
/// few megabytes.
constexpr std::size_t max_waiting = 128;

} // namespace

endpoint_wait_queue::endpoint_wait_queue(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

asio::awaitable<bool> endpoint_wait_queue::wait(std::string service,
                                                time_point_t until)
{
    until = std::min(until, m_latest_end);
    auto& queue = m_queues[service];
    if (queue.size() >= max_waiting || time_point_t::clock::now() >= until)
        co_return false;
    const auto timer = std::make_shared<asio::steady_timer>(m_executor, until);
    queue.push_back(timer);
    const auto [cancelled] =
        co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    if (cancelled)
        co_return true;
    const auto position = std::find(queue.begin(), queue.end(), timer);
    if (position != queue.end())
        queue.erase(position);
    co_return false;
}

void endpoint_wait_queue::wake(std::string_view service)
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end() || found->second.empty())
        return;
    found->second.front()->cancel();
    found->second.pop_front();
}

void endpoint_wait_queue::end_waits_by(time_point_t latest_end)
{
    m_latest_end = latest_end;
    for (auto& [service, queue] : m_queues)
    {
        for (const auto& each : queue)
            each->cancel();
        queue.clear();
    }
}

std::size_t endpoint_wait_queue::waiting(std::string_view service) const
{
    const auto found = m_queues.find(service);
    return found == m_queues.end() ? 0 : found->second.size();
}

} // namespace rhubarbgrade
