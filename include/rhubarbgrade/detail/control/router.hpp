#pragma once

#include <memory> // shared_ptr, unique_ptr

#include <rhubarbgrade/detail/config/settings.hpp> // settings

namespace spdlog
{
class logger;
}

namespace rhubarbgrade
{

/// @brief A complete router with all its threads and listening ports; the
///        daemon runs one.
class router
{
public:
    /// @brief Binds the ports and starts all threads.
    /// @throw std::runtime_error if an address can't be bound
    router(const settings& options, std::shared_ptr<spdlog::logger> log);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// @brief Bound port for callers.
    int port() const;

    /// @brief Bound port for other routers.
    int rpc_port() const;

    /// @brief Bound port for operators and the load balancer.
    int admin_port() const;

    /// @brief Shuts down gracefully without cutting requests in flight.
    ///
    /// Blocks until all requests have ended and, if the platform is reachable,
    /// their bills are stored and unused tokens are returned.
    /// @param[in] notice  time between failing /readyz and refusing
    ///                    connections, for the load balancer to react
    void leave(milliseconds notice);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rhubarbgrade
