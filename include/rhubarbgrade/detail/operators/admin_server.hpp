#pragma once

#include <functional> // function
#include <memory>     // unique_ptr
#include <string>     // string

namespace rhubarbgrade
{

/// @brief Content of the pages of the admin server; the functions are called on
///        the server's threads, several at a time.
struct admin_pages
{
    std::function<std::string()> metrics;    ///< Prometheus text
    std::function<bool()> ready;             ///< whether to send traffic
    std::function<std::string()> status;     ///< JSON
    std::function<std::string()> objectives; ///< JSON
};

/// @brief The HTTP server for operators and the load balancer: /metrics,
///        /healthz, /readyz, /status and /objectives.
///
/// Runs on threads of its own from construction to destruction.
class admin_server
{
public:
    /// @param[in] address  "ip:port"; with port 0 the kernel chooses one
    /// @throw std::runtime_error if the address can't be bound
    admin_server(const std::string& address, admin_pages pages);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    /// @brief The port that the server listens on.
    int port() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rhubarbgrade
