#include <rhubarbgrade/detail/routing/slots.hpp>

#include <cstdint>     // uint32_t, uint64_t
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{
namespace
{

/// One slot in so many belongs to hosts of other zones.
constexpr std::uint32_t remote_slot_interval = 8;

/// One slot in so many stays unassigned.
constexpr std::uint32_t spare_slot_interval = 10;

/// The host with the highest rendezvous weight for a slot.
std::string_view slot_owner(std::uint64_t slot,
                            std::span<const std::string> hosts)
{
    std::string_view owner;
    std::uint64_t best_weight = 0;
    for (const auto& host : hosts)
    {
        const auto weight = hash64(host, slot);
        if (owner.empty() || weight > best_weight)
        {
            owner = host;
            best_weight = weight;
        }
    }
    return owner;
}

} // namespace

std::uint32_t assigned_slots(std::string_view endpoint,
                             std::uint32_t max_in_flight,
                             const slot_holders& holders, std::string_view self)
{
    const auto assigned_total =
        max_in_flight - max_in_flight / spare_slot_interval;
    const auto base = hash64(endpoint);
    std::uint32_t own_slots = 0;
    for (std::uint32_t slot = 0; slot < assigned_total; ++slot)
    {
        const bool remote =
            slot % remote_slot_interval == remote_slot_interval - 1 &&
            !holders.remote_hosts.empty();
        const bool zone_empty = holders.zone_hosts.empty();
        const auto hosts =
            remote || zone_empty ? holders.remote_hosts : holders.zone_hosts;
        if (slot_owner(base + slot, hosts) == self)
            own_slots++;
    }
    return own_slots;
}

} // namespace rhubarbgrade
