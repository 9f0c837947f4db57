#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <map>     // map
#include <span>    // span
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief An endpoint whose slots are divided among the hosts.
struct slot_offer
{
    std::uint64_t process = 0; ///< hash of the endpoint's process
    std::uint32_t slots = 0;
};

/// @brief What one host may send to a brittle endpoint: one that falls over if
///        it has to turn too many requests away.
struct slot_share
{
    std::uint32_t slots = 0;     ///< requests of this host at a time; may be 0
    double rejections_per_s = 0; ///< that it survives, from all hosts
    time_point_t rejected_at{};  ///< last time that it turned one away

    bool operator==(const slot_share&) const = default;
};

/// @brief Divides the slots of a service's endpoints among hosts.
///
/// Together the hosts send no more than the endpoints have slots for, so that
/// none has to turn a request away. All hosts divide alike, and their parts of
/// the service differ by one slot at most.
/// @param[in] self        the host whose part is asked for
/// @param[in] live_hosts  hosts that @a self hears of, including itself
/// @param[in] all_hosts   number of hosts of the fleet; those that are cut off
///                        from @a self keep their part
/// @return the slots of @a self by process
std::map<std::uint64_t, std::uint32_t>
share_of_slots(std::span<const slot_offer> endpoints, const std::string& self,
               std::span<const std::string> live_hosts, std::size_t all_hosts);

/// @brief Time for which no host sends to a brittle endpoint that has turned a
///        request away.
/// @param[in] rejections_per_s  that it survives
/// @param[in] hosts             that may have sent to it at the same moment
milliseconds rejection_pause(double rejections_per_s, std::size_t hosts);

} // namespace rhubarbgrade
