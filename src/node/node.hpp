#pragma once

#include <cstdint> // uint16_t
#include <memory>  // unique_ptr

#include <rhubarbgrade/detail/fleet/node_settings.hpp> // node_settings

namespace rhubarbgrade
{

/// @brief Ports of a host; those that the settings leave open are the kernel's.
struct node_ports
{
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peers = 0;
};

/// @brief A host of the fleet: one thread for control, one for traffic.
class node
{
public:
    explicit node(node_settings settings);
    ~node();

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// @brief Listens on the addresses of the settings.
    /// @throw std::exception if one can't be had
    void start();

    /// @brief The ports that are listened on, once started.
    node_ports ports() const;

    /// @brief Serves until @ref stop has been carried out.
    void run();

    /// @brief Takes over changed bounds; may be called from any thread.
    void set_bounds(const node_bounds& bounds);

    /// @brief Begins the graceful shutdown; may be called from any thread.
    void stop();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace rhubarbgrade
