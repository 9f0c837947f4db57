#pragma once

#include <cstddef>  // size_t
#include <optional> // optional
#include <span>     // span
#include <string>   // string

#include <rhubarbgrade/detail/fleet/node_settings.hpp> // socket_address
#include <rhubarbgrade/detail/routing/choose.hpp>      // random_source_t

namespace rhubarbgrade
{

/// @brief A host that passes connections on to endpoints for hosts that are cut
///        from them.
struct relay_host
{
    std::string host;
    socket_address address;
    bool same_zone = false;

    bool operator==(const relay_host&) const = default;
};

/// @brief Chooses a relay at random, of the own zone if there is one.
/// @param[in] tried  indexes that are not chosen
/// @return index of the choice; empty if there is none left
std::optional<std::size_t> choose_relay(std::span<const relay_host> relays,
                                        std::span<const std::size_t> tried,
                                        const random_source_t& random);

} // namespace rhubarbgrade
