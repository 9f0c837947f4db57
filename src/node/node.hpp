#pragma once

#include <cstdint> // uint16_t
#include <memory>  // unique_ptr

#include <rhubarbgrade/detail/fleet/node_settings.hpp> // node_settings
#include <rhubarbgrade/detail/routing/hedge.hpp>       // hedge_limit

namespace rhubarbgrade
{

/// @brief Ports that a host listens on; the kernel chooses those that are 0 in
///        the settings.
struct node_ports
{
    std::uint16_t callers = 0;   ///< HTTP requests of callers
    std::uint16_t readiness = 0; ///< health checks of the load balancer
    std::uint16_t peers = 0;     ///< heartbeats and state requests of peers
};

/// @brief One host of the proxy fleet.
///
/// The control thread follows the store and the peers and makes decisions; the
/// traffic thread proxies requests. They exchange copies of data by posting to
/// each other's loop.
class node
{
public:
    /// @brief Binds the address for peers.
    /// @throw std::exception if it can't be bound
    explicit node(node_settings settings, hedge_limit hedging = {});

    ~node();

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// @brief Opens the sockets for callers and health checks, and starts the
    ///        tasks of both threads; call it before @ref run.
    /// @throw std::exception if an address can't be bound
    void start();

    /// @brief The listening ports; valid after @ref start.
    node_ports ports() const;

    /// @brief Runs the traffic loop on the calling thread and the control loop
    ///        on a thread of its own; returns when the shutdown that
    ///        @ref stop begins is complete.
    void run();

    /// @brief Applies changed bounds on the traffic thread; may be called from
    ///        any thread.
    void set_bounds(const node_bounds& bounds);

    /// @brief Begins the graceful shutdown: requests in flight get time to
    ///        finish, then unused tokens are returned to the store. May be
    ///        called from any thread.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rhubarbgrade
