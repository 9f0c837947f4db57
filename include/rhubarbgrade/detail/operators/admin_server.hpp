#pragma once

#include <functional> // function
#include <memory>     // unique_ptr
#include <string>     // string

namespace rhubarbgrade
{

/// @brief What the pages of the admin server show.
struct admin_pages
{
    std::function<std::string()> metrics;    ///< Prometheus text
    std::function<bool()> ready;             ///< for the balancer
    std::function<std::string()> status;     ///< JSON
    std::function<std::string()> objectives; ///< JSON
};

/// @brief The HTTP server for operators and the balancer: /metrics, /healthz,
///        /readyz, /status and /objectives.
class admin_server
{
public:
    /// @throw std::runtime_error if the address can't be bound
    admin_server(const std::string& address, admin_pages pages);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    /// @brief The port in use.
    int port() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rhubarbgrade
