#pragma once

#include <cstddef>  // size_t
#include <cstdint>  // uint16_t
#include <optional> // optional
#include <string>   // string

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

/// @brief An IPv4 address and a port.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const socket_address&) const = default;
};

/// @brief Time limits and traffic limits that a host has to keep.
struct node_bounds
{
    milliseconds contact{3000}; ///< fault-free time after which limits apply
    milliseconds drain{2000};   ///< until a leaving endpoint gets no request
    milliseconds grace{8000};   ///< from the stop signal to the kill
    milliseconds config_apply{2000}; ///< until a new configuration is in force
    milliseconds rollback{5000};     ///< until a bad version gets no request
    /// Until an evacuated zone gets no request; empty: no bound.
    std::optional<milliseconds> evacuate;
    double retry_ratio = 0.2;         ///< retries allowed per request
    milliseconds retry_window{10000}; ///< window in which retries count
    double retry_slack = 50;     ///< retries of all hosts on top of the ratio
    double exposure_share = 0.1; ///< share of requests to a bad version
    double exposure_slack = 50;  ///< requests allowed on top of the share

    bool operator==(const node_bounds&) const = default;
};

/// @brief Settings that a host reads when it starts.
struct node_settings
{
    std::string host;
    std::string zone;
    socket_address callers;   ///< listens for callers
    socket_address readiness; ///< listens for readiness probes of the balancer
    socket_address peers;     ///< listens for heartbeats and queries of peers
    /// Listens for peers that reach no endpoint themselves; empty if there is
    /// no port for it.
    std::optional<socket_address> relay;
    socket_address store;           ///< address of the shared store
    std::size_t memory_mb = 256;    ///< memory limit
    std::size_t descriptors = 1024; ///< limit of open file descriptors
    double processor_cores = 1;     ///< cores that the host may use
    double link_mbps = 1000;        ///< bandwidth of the host's link, Mbit/s
    node_bounds bounds;

    bool operator==(const node_settings&) const = default;
};

} // namespace rhubarbgrade
