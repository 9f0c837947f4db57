#pragma once

#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <set>        // set

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable

#include <rhubarbgrade/detail/routing/crash_evidence.hpp> // crash_suspects_t

#include "endpoint_directory.hpp" // endpoint_directory, endpoint_ptr_t

namespace rhubarbgrade
{

/// Delay between the end of a connection and the probe of its endpoint: a
/// process that ends may close its listening socket after its connections.
inline constexpr milliseconds crash_probe_delay{50};

/// @brief Receives what a @ref crash_detector has found.
struct crash_listener
{
    /// An endpoint's process, given by its hash, has crashed under requests
    /// with these suspects.
    std::function<void(std::uint64_t, const crash_suspects_t&)> crashed;
    /// Requests with these suspects were answered whole.
    std::function<void(const std::set<std::uint64_t>&)> cleared;
};

/// @brief Finds out whether an endpoint has crashed when a connection to it
///        ends. Used by the traffic thread only.
///
/// Opens a new connection after @ref crash_probe_delay. If it is refused, the
/// endpoint has crashed; if not, the new connection is kept for the next
/// request.
class crash_detector
{
public:
    crash_detector(boost::asio::any_io_executor executor,
                   endpoint_directory& directory, crash_listener listener);

    /// @brief A connection broke before the answer to a request was complete.
    void on_broken_answer(const endpoint_ptr_t& endpoint,
                          const crash_suspects_t& suspects);

    /// @brief An answer ended whole.
    void on_whole_answer(const crash_suspects_t& suspects) const;

private:
    boost::asio::awaitable<void> probe(endpoint_ptr_t endpoint);

    boost::asio::any_io_executor m_executor;
    endpoint_directory& m_directory;
    crash_listener m_listener;
    /// Suspects of the requests whose connections ended before a probe.
    std::map<endpoint_ptr_t, crash_suspects_t> m_probes;
};

} // namespace rhubarbgrade
