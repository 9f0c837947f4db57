#pragma once

#include <cstdint> // uint32_t, uint64_t
#include <string>  // string

#include <rhubarbgrade/detail/base/hash.hpp>           // hash64
#include <rhubarbgrade/detail/base/types.hpp>          // milliseconds
#include <rhubarbgrade/detail/fleet/node_settings.hpp> // socket_address

namespace rhubarbgrade
{

/// @brief The entry that an endpoint writes into the host list.
struct endpoint_entry
{
    std::string id;
    std::string service;
    socket_address address;
    std::string zone;
    std::string version;
    std::uint32_t slots = 1;   ///< requests that it can run at once
    bool leaving = false;      ///< draining; gets no new requests
    std::uint64_t started = 0; ///< start of its process, ms since 1970
    milliseconds cold{0};      ///< for which it takes fewer requests

    bool operator==(const endpoint_entry&) const = default;
};

/// @brief Hash of one process of an endpoint, the same on every host.
inline std::uint64_t process_hash(const endpoint_entry& entry)
{
    return hash64(entry.id, entry.started);
}

} // namespace rhubarbgrade
