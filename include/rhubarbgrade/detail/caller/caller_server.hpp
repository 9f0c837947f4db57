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

/// @brief The HTTP server that accepts requests from callers.
class caller_server
{
public:
    /// @brief Binds the address and starts the server threads.
    /// @throw std::runtime_error if the address can't be bound
    caller_server(const settings& config, control_plane& control,
                  endpoint_table& endpoints, metrics& metric_registry,
                  objective_log& objectives,
                  std::shared_ptr<spdlog::logger> log);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// @brief The bound port; chosen by the system if the setting is 0.
    int port() const;

    /// @brief Number of requests being served.
    int in_flight() const;

    /// @brief Refuses new requests, waits until every request in flight has
    ///        ended, and stops the server.
    void drain();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rhubarbgrade
