#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map
#include <memory>  // shared_ptr
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

#include <rhubarbgrade/detail/fleet/deployment.hpp>      // deployment
#include <rhubarbgrade/detail/fleet/endpoint_entry.hpp>  // endpoint_entry
#include <rhubarbgrade/detail/routing/relay.hpp>         // relay_host
#include <rhubarbgrade/detail/routing/request_limit.hpp> // request_share
#include <rhubarbgrade/detail/routing/slot_share.hpp>    // slot_share

namespace rhubarbgrade
{

/// @brief The share of a service's requests that goes to a version on trial.
struct trial_split
{
    std::string target;      ///< the version on trial
    double target_share = 0; ///< 0: no requests, 1: all requests

    bool operator==(const trial_split&) const = default;
};

/// @brief An immutable snapshot of the fleet for the traffic threads.
struct fleet_view
{
    /// Null until one is read, and while a newer one is overdue.
    std::shared_ptr<const deployment> configuration;
    std::vector<endpoint_entry> endpoints; ///< without leaving ones
    /// Hashes of the processes whose entries say that they are leaving.
    std::set<std::uint64_t> draining;
    std::map<std::string, trial_split, std::less<>> splits; ///< by service
    /// Availability zones whose endpoints get no new requests.
    std::set<std::string> evacuated_zones;
    /// This host's shares of the request limits that endpoints have named, by
    /// the hash of their process.
    std::map<std::uint64_t, request_share> request_shares;
    /// The same for what cold endpoints take.
    std::map<std::uint64_t, request_share> cold_shares;
    /// The same for the slots of brittle endpoints.
    std::map<std::uint64_t, slot_share> slot_shares;
    std::size_t hosts = 1; ///< among which fleet-wide limits are divided
    /// Prompt parts and requests that may have crashed an endpoint, by id or
    /// fingerprint; whole answers to them are reported.
    std::set<std::uint64_t> crash_suspects;
    /// Those that must not be run, with the number of the trial that this host
    /// has to make with each; 0: none.
    std::map<std::uint64_t, int> quarantined;
    /// Hosts that pass connections on to endpoints, and the addresses of all
    /// hosts, which may ask for that.
    std::vector<relay_host> relays;
    std::set<std::string> host_ips;
};

using fleet_view_ptr_t = std::shared_ptr<const fleet_view>;

} // namespace rhubarbgrade
