#pragma once

#include <cstdint>     // uint32_t
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view

namespace rhubarbgrade
{

/// @brief The live hosts that an endpoint's slots are divided among.
struct slot_holders
{
    std::span<const std::string> zone_hosts;   ///< in the endpoint's zone
    std::span<const std::string> remote_hosts; ///< in other zones
};

/// @brief The number of requests that a host may have in flight at an endpoint.
///
/// Each slot belongs to one host by rendezvous hashing, so that hosts agree
/// without a coordinator and a change of the live hosts moves few slots. One
/// slot in eight belongs to hosts of other zones. One in ten stays unassigned
/// as a margin for the time in which hosts disagree on which hosts are live.
/// @param[in] endpoint       the endpoint's name
/// @param[in] max_in_flight  requests that it can run without overload
/// @param[in] holders        the live hosts
/// @param[in] self           the host whose slots are counted
/// @return slots of @a self; the sum over all hosts is at most max_in_flight
/// @note Complexity: @a max_in_flight times the number of hosts.
std::uint32_t assigned_slots(std::string_view endpoint,
                             std::uint32_t max_in_flight,
                             const slot_holders& holders,
                             std::string_view self);

} // namespace rhubarbgrade
