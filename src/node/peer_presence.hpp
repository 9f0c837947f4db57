#pragma once

#include <cstdint> // uint16_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief The hosts that this host has heard of lately. Used on the control
///        thread only.
class peer_presence
{
public:
    /// @param[in] host  name of this host
    explicit peer_presence(std::string host);

    /// @brief Records a heartbeat.
    void record(const std::string& peer, time_point_t now);

    /// @brief Names of the live hosts, including this one.
    std::vector<std::string> live_hosts(time_point_t now) const;

    /// @brief Records whether a host passes connections on to endpoints.
    /// @param[in] port  at which it does; 0: it does not
    void record_relay(const std::string& peer, std::uint16_t port);

    /// @brief Ports of the live hosts that pass connections on, by name.
    std::map<std::string, std::uint16_t> relays(time_point_t now) const;

private:
    std::string m_host;
    std::map<std::string, time_point_t> m_heard; ///< last heartbeat
    std::map<std::string, std::uint16_t> m_relays;
};

} // namespace rhubarbgrade
