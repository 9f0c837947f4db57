#pragma once

#include <memory> // shared_ptr, unique_ptr

#include <rhubarbgrade/detail/config/settings.hpp> // settings

namespace spdlog
{
class logger;
}

namespace rhubarbgrade
{

class control_plane;
class endpoint_table;
class metrics;
class objective_log;

/// @brief The HTTP server for callers.
class caller_server
{
public:
    /// @brief Binds the address and starts to serve.
    /// @throw std::runtime_error if the address can't be bound
    caller_server(const settings& read, control_plane& control,
                  endpoint_table& endpoints, metrics& measures,
                  objective_log& objectives,
                  std::shared_ptr<spdlog::logger> log);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// @brief The port in use.
    int port() const;

    /// @brief Requests that have begun and not ended.
    int in_flight() const;

    /// @brief Accepts no new connections and ends idle ones; returns once
    ///        every request in flight has ended.
    void drain();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rhubarbgrade
