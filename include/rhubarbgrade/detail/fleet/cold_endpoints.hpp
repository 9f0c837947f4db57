#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map
#include <span>    // span
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp>            // time_point_t
#include <rhubarbgrade/detail/fleet/deployment.hpp>      // deployment
#include <rhubarbgrade/detail/fleet/endpoint_book.hpp>   // endpoint_registry
#include <rhubarbgrade/detail/routing/request_limit.hpp> // request_share

namespace rhubarbgrade
{

/// @brief What a host knows of cold endpoints besides their entries.
struct cold_evidence
{
    /// When zones were last taken back after an evacuation; their endpoints may
    /// have become cold shortly before.
    std::map<std::string, time_point_t> returns;
    /// Whether some host has run since before this one started. If not, all may
    /// have lost power, and the first list of endpoints may be old.
    bool others_run = false;
};

/// @brief Time until which an endpoint counts as cold: as long as its entry has
///        named, or as a process may be that has just started.
/// @param[in] cold_time  for which endpoints of its service are cold after
///                       their start
time_point_t cold_until(const endpoint_registry& book,
                        const listed_endpoint& endpoint, milliseconds cold_time,
                        const cold_evidence& evidence);

/// @brief Divides among the hosts what the cold endpoints take.
/// @param[in] live_hosts, all_hosts  see @ref share_of_limit
/// @return the shares of @a self by process
std::map<std::uint64_t, request_share>
share_cold_endpoints(const endpoint_registry& book,
                     const deployment& configuration,
                     const cold_evidence& evidence, const std::string& self,
                     std::span<const std::string> live_hosts,
                     std::size_t all_hosts, time_point_t now);

} // namespace rhubarbgrade
