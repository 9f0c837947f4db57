#pragma once

#include <memory> // unique_ptr

#include <rhubarbgrade/detail/fleet/node_settings.hpp> // node_settings

namespace rhubarbgrade
{

/// @brief A host of the fleet: one thread for control, one for traffic.
class node
{
public:
    explicit node(node_settings settings);
    ~node();

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// @brief Serves until @ref stop has been carried out.
    /// @throw std::exception if an address can't be listened on
    void run();

    /// @brief Begins the graceful shutdown; may be called from any thread.
    void stop();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace rhubarbgrade
