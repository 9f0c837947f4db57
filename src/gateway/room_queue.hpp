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

/// @brief FIFO queues, by service, of requests that wait for an endpoint with
///        free capacity. Used by the traffic thread only.
class endpoint_wait_queue
{
public:
    explicit endpoint_wait_queue(boost::asio::any_io_executor executor);

    /// @brief Waits until an endpoint of the service may have free capacity.
    /// @return false if the queue is full or @a until has passed
    boost::asio::awaitable<bool> wait(std::string service, time_point_t until);

    /// @brief Wakes the request that has waited longest, if any.
    void wake(std::string_view service);

    std::size_t waiting(std::string_view service) const;

    /// @brief Ends all waits by then, also those that have begun.
    void end_waits_by(time_point_t latest_end);

private:
    using timer_ptr_t = std::shared_ptr<boost::asio::steady_timer>;

    boost::asio::any_io_executor m_executor;
    std::map<std::string, std::deque<timer_ptr_t>, std::less<>> m_queues;
    time_point_t m_latest_end = time_point_t::max();
};

} // namespace rhubarbgrade
