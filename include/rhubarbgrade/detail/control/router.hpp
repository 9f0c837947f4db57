#pragma once

#include <memory> // shared_ptr, unique_ptr

#include <rhubarbgrade/detail/config/settings.hpp> // settings

namespace spdlog
{
class logger;
}

namespace rhubarbgrade
{

/// @brief A whole router: all that the daemon runs.
class router
{
public:
    /// @brief Starts everything.
    /// @throw std::runtime_error if an address can't be bound
    router(const settings& read, std::shared_ptr<spdlog::logger> log);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// @brief Port for callers.
    int port() const;

    /// @brief Port for other routers.
    int rpc_port() const;

    /// @brief Port for operators and the balancer.
    int admin_port() const;

    /// @brief Graceful shutdown: no request in flight is cut. Returns once
    ///        all have ended, their bills are stored and tokens returned.
    /// @param[in] notice  time for the balancer to see /readyz fail
    void leave(milliseconds notice);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rhubarbgrade
