#pragma once

#include <map>    // map
#include <string> // string
#include <vector> // vector

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

private:
    std::string m_host;
    std::map<std::string, time_point_t> m_heard; ///< last heartbeat
};

} // namespace rhubarbgrade
