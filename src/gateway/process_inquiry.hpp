#pragma once

#include <memory>   // shared_ptr
#include <optional> // optional

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <rhubarbgrade/detail/routing/answer_end.hpp> // endpoint_process
#include <rhubarbgrade/detail/routing/departure.hpp>  // connection_end

namespace rhubarbgrade
{

class endpoint_directory;
struct pool_endpoint;

/// @brief What a host has found out of the process that ended a connection.
struct process_finding
{
    endpoint_process process = endpoint_process::unknown;
    departure_signs signs;                  ///< if it does not go on serving
    std::optional<milliseconds> leaving_ms; ///< age of the news that it leaves
    milliseconds waited{0};                 ///< since the end
};

/// @brief Finds out what became of the process that ended a connection with an
///        answer. Used by the traffic thread only.
class process_inquiry
{
public:
    process_inquiry(endpoint_directory& directory,
                    std::shared_ptr<pool_endpoint> endpoint);

    /// @brief Opens a connection to the process; to be called once. Waits for
    ///        news of its entry if they may decide.
    boost::asio::awaitable<process_finding> run(connection_end end);

    /// @brief Ends the inquiry, with an unknown result.
    void cancel();

private:
    boost::asio::awaitable<void> wait(milliseconds duration);

    endpoint_directory& m_directory;
    std::shared_ptr<pool_endpoint> m_endpoint;
    boost::asio::steady_timer m_timer;
    bool m_cancelled = false;
};

} // namespace rhubarbgrade
