#pragma once

#include <cstdint> // uint64_t
#include <set>     // set

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

/// @brief Says whether watches of the store go on, and ends their pauses.
class watch_gate
{
public:
    explicit watch_gate(boost::asio::any_io_executor executor);

    bool open() const
    {
        return m_open;
    }

    void set_open(bool open);

    /// @brief The store answers again: ends all pauses.
    void renew();

    /// @brief Ends all pauses.
    void wake();

    /// @brief Number of calls of @ref renew.
    std::uint64_t renewals() const
    {
        return m_renewals;
    }

    /// @brief Waits until the gate is open.
    boost::asio::awaitable<void> wait_until_open();

    /// @brief Waits for a time, or until @ref renew or @ref set_open.
    boost::asio::awaitable<void> pause(milliseconds time);

private:
    boost::asio::any_io_executor m_executor;
    std::set<boost::asio::steady_timer*> m_waiting;
    std::uint64_t m_renewals = 0;
    bool m_open = false;
};

} // namespace rhubarbgrade
