#pragma once

#include <cstdint>    // uint32_t
#include <functional> // less
#include <map>        // map
#include <memory>     // shared_ptr
#include <set>        // set
#include <string>     // string

#include <rhubarbgrade/detail/base/types.hpp>     // generation_t
#include <rhubarbgrade/detail/config/objects.hpp> // object_set

namespace rhubarbgrade
{

/// @brief Split of a service's requests between two versions.
struct version_split
{
    std::string from; ///< current version
    std::string to;   ///< new version, empty while no move runs
    double share = 0; ///< fraction of the requests sent to @ref to
    std::string move; ///< key of the move that needs samples, or empty
};

/// @brief Endpoint capacity and probing duties assigned to this router.
///
/// Recomputed only when the set of hosts or the configuration changes.
struct endpoint_shares
{
    /// Requests that this router may have in flight, by endpoint.
    std::map<std::string, std::uint32_t, std::less<>> slots;

    /// Endpoints whose load this router queries.
    std::set<std::string, std::less<>> probed;
};

/// @brief Customer names by the SHA-256 of their API keys.
///
/// Rebuilt only when the configuration changes.
using customer_keys_t = std::map<std::string, std::string, std::less<>>;

/// @brief Control state that traffic threads read; immutable once published.
struct routing_snapshot
{
    generation_t generation = 0; ///< of the configuration, 0: none yet
    std::shared_ptr<const object_set> objects;
    std::shared_ptr<const customer_keys_t> customer_of_key;
    std::shared_ptr<const endpoint_shares> shares;
    std::map<std::string, version_split, std::less<>> splits; ///< by service
    std::set<std::string, std::less<>> leaving;               ///< endpoints
    std::set<std::string, std::less<>> quarantined;           ///< fingerprints
    bool ready = false; ///< whether paid requests may be accepted
};

} // namespace rhubarbgrade
