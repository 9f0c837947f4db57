#pragma once

#include <cstddef>     // size_t
#include <deque>       // deque
#include <map>         // map
#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief Requests that wait for a place at an endpoint, by service.
class room_queue
{
public:
    explicit room_queue(boost::asio::any_io_executor executor);

    /// @brief Waits until a place may be free.
    /// @return false if the queue is full or @a until has come
    boost::asio::awaitable<bool> wait(std::string service, time_point_t until);

    /// @brief Wakes the request that has waited longest.
    void wake(std::string_view service);

    std::size_t waiting(std::string_view service) const;

private:
    using timer_ptr_t = std::shared_ptr<boost::asio::steady_timer>;

    boost::asio::any_io_executor m_executor;
    std::map<std::string, std::deque<timer_ptr_t>, std::less<>> m_queues;
};

} // namespace rhubarbgrade
