#include "peer_presence.hpp"

#include <chrono>  // seconds
#include <utility> // move

namespace rhubarbgrade
{

namespace
{

/// Silence after which a host is taken for gone: four heartbeats.
constexpr std::chrono::seconds peer_timeout{2};

} // namespace

peer_presence::peer_presence(std::string host) : m_host(std::move(host))
{
}

void peer_presence::record(const std::string& peer, time_point_t now)
{
    m_heard[peer] = now;
}

std::vector<std::string> peer_presence::live_hosts(time_point_t now) const
{
    std::vector<std::string> hosts{m_host};
    for (const auto& [host, at] : m_heard)
        if (host != m_host && now - at <= peer_timeout)
            hosts.push_back(host);
    return hosts;
}

void peer_presence::record_relay(const std::string& peer, std::uint16_t port)
{
    m_relays[peer] = port;
}

std::map<std::string, std::uint16_t>
peer_presence::relays(time_point_t now) const
{
    std::map<std::string, std::uint16_t> ports;
    for (const auto& host : live_hosts(now))
        if (const auto found = m_relays.find(host);
            found != m_relays.end() && found->second != 0)
            ports.insert(*found);
    return ports;
}

} // namespace rhubarbgrade
