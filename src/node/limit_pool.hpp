#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map
#include <set>     // set
#include <span>    // span
#include <string>  // string
#include <vector>  // vector

#include <rhubarbgrade/detail/base/types.hpp>            // time_point_t
#include <rhubarbgrade/detail/routing/request_limit.hpp> // request_limit

#include "../peers/peer_state.hpp" // shared_limit

namespace rhubarbgrade
{

/// @brief Collects the request limits that endpoints have named to any host,
///        and divides them among the hosts. Used on the control thread only.
class limit_pool
{
public:
    /// @param[in] host  name of this host
    explicit limit_pool(std::string host);

    /// @brief Records an answer to this host.
    void observe(const limit_observation& observation);

    /// @brief Adds what a peer has observed.
    void merge(std::span<const shared_limit> known, time_point_t now);

    /// @brief What this host has observed, for its peers.
    std::vector<shared_limit> shared(time_point_t now) const;

    /// @brief Forgets all endpoints but these.
    /// @param[in] processes  hashes of their processes
    void retain(const std::set<std::uint64_t>& processes);

    /// @brief The limits in force, by process.
    std::map<std::uint64_t, request_limit> limits_in_force() const;

    /// @brief This host's shares of the limits in force, by process.
    std::map<std::uint64_t, request_share>
    shares(std::span<const std::string> live_hosts,
           std::size_t all_hosts) const;

private:
    std::string m_host;
    std::map<std::uint64_t, request_limit> m_observed; ///< by this host
    std::map<std::uint64_t, request_limit> m_known;    ///< by any host
};

} // namespace rhubarbgrade
