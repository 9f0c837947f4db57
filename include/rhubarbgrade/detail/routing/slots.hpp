#pragma once

#include <cstdint>     // uint32_t
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view

namespace rhubarbgrade
{

/// @brief Who may hold slots of an endpoint.
struct slot_holders
{
    std::span<const std::string> zone_hosts;   ///< live, in its zone
    std::span<const std::string> remote_hosts; ///< live, in other zones
};

/// @brief How many requests a host may have in flight at an endpoint.
///
/// Each slot belongs to one host by rendezvous hashing, so that hosts agree
/// without a coordinator and a change of the live hosts moves few slots. One
/// slot in eight belongs to hosts of other zones; one in ten is left free for
/// the time in which two hosts see different live hosts.
/// @param[in] endpoint       the endpoint's name
/// @param[in] max_in_flight  requests that it carries without collapse
/// @param[in] holders        the hosts among which slots are split
/// @param[in] self           the host that asks
/// @return slots of @a self; the sum over all hosts is at most max_in_flight
/// @note Complexity: max_in_flight times the number of hosts.
std::uint32_t assigned_slots(std::string_view endpoint,
                             std::uint32_t max_in_flight,
                             const slot_holders& holders,
                             std::string_view self);

} // namespace rhubarbgrade
