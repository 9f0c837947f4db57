#pragma once

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <memory>   // shared_ptr, weak_ptr
#include <optional> // optional
#include <set>      // set
#include <vector>   // vector

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

class revision_times;
struct waiting_watch;

/// @brief Says whether watches of the store go on, ends their pauses, and knows
///        those that wait.
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

    /// @brief Adds a watch, in the place of one that has ended if there is any.
    void add(std::weak_ptr<waiting_watch> watch);

    /// @brief The watch after the one that the last call returned, in turn, of
    ///        those that wait for a response; null if none does.
    std::shared_ptr<waiting_watch> next_watch();

    /// @brief The watches that wait for a response and aren't known to be
    ///        complete up to a time, without those that a check has ended.
    std::vector<std::shared_ptr<waiting_watch>>
    incomplete_watches(const revision_times& revisions,
                       time_point_t needed) const;

    /// @brief Time up to which all watches are complete; empty if one of them
    ///        has shown nothing yet.
    std::optional<time_point_t>
    complete_until(const revision_times& revisions) const;

private:
    boost::asio::any_io_executor m_executor;
    std::vector<std::weak_ptr<waiting_watch>> m_watches;
    std::size_t m_last_watch = 0;
    std::set<boost::asio::steady_timer*> m_waiting;
    std::uint64_t m_renewals = 0;
    bool m_open = false;
};

} // namespace rhubarbgrade
