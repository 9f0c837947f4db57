#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map
#include <memory>  // shared_ptr
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

#include <rhubarbgrade/detail/fleet/deployment.hpp>     // deployment
#include <rhubarbgrade/detail/fleet/endpoint_entry.hpp> // endpoint_entry

namespace rhubarbgrade
{

/// @brief How a service's requests are split while a version is on trial.
struct trial_split
{
    std::string target;      ///< the version on trial
    double target_share = 0; ///< 0: none of its requests, 1: all of them

    bool operator==(const trial_split&) const = default;
};

/// @brief What the traffic threads know of the fleet; never changed once made.
struct fleet_view
{
    std::shared_ptr<const deployment> configuration; ///< null before the first
    std::vector<endpoint_entry> endpoints;           ///< leaving ones left out
    std::map<std::string, trial_split, std::less<>> splits; ///< by service
    std::size_t hosts = 1; ///< hosts of the fleet that share limits
    /// Fingerprints of requests that crash the endpoints that run them.
    std::set<std::uint64_t> quarantined;
};

using fleet_view_ptr_t = std::shared_ptr<const fleet_view>;

} // namespace rhubarbgrade
