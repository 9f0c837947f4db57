#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint16_t
#include <string>  // string

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

/// @brief The bounds within which a host has to act.
struct node_bounds
{
    milliseconds contact{3000};      ///< calm time after which rules hold
    milliseconds drain{2000};        ///< last request to a leaving endpoint
    milliseconds grace{8000};        ///< from the stop signal to the kill
    milliseconds config_apply{2000}; ///< new configuration in force
    milliseconds rollback{5000};     ///< bad version left alone
    double retry_ratio = 0.2;        ///< retries for each request
    milliseconds retry_window{10000};
    double retry_slack = 50; ///< retries of all hosts beside the ratio
    double exposure_share = 0.1;
    double exposure_slack = 50; ///< requests to a bad version beside the share

    bool operator==(const node_bounds&) const = default;
};

/// @brief What a host learns of itself at its start.
struct node_settings
{
    std::string host;
    std::string zone;
    socket_address callers;   ///< where callers connect
    socket_address readiness; ///< where the balancer asks
    socket_address peers;     ///< where peers send beats and ask for state
    socket_address store;
    std::size_t memory_mb = 256;
    std::size_t descriptors = 1024;
    node_bounds bounds;

    bool operator==(const node_settings&) const = default;
};

} // namespace rhubarbgrade
