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

constexpr std::uint32_t remote_every = 8; ///< one slot in so many is remote
constexpr std::uint32_t spare_every = 10; ///< one slot in so many is spare

std::string_view winner(std::uint64_t slot, std::span<const std::string> hosts)
{
    std::string_view best;
    std::uint64_t most = 0;
    for (const auto& host : hosts)
    {
        const auto weight = hash64(host, slot);
        if (best.empty() || weight > most)
        {
            best = host;
            most = weight;
        }
    }
    return best;
}

} // namespace

std::uint32_t assigned_slots(std::string_view endpoint,
                             std::uint32_t max_in_flight,
                             const slot_holders& holders, std::string_view self)
{
    const auto given = max_in_flight - max_in_flight / spare_every;
    const auto base = hash64(endpoint);
    std::uint32_t mine = 0;
    for (std::uint32_t slot = 0; slot < given; ++slot)
    {
        const bool remote = slot % remote_every == remote_every - 1 &&
                            !holders.remote_hosts.empty();
        const bool nobody_home = holders.zone_hosts.empty();
        const auto hosts =
            remote || nobody_home ? holders.remote_hosts : holders.zone_hosts;
        if (winner(base + slot, hosts) == self)
            mine++;
    }
    return mine;
}

} // namespace rhubarbgrade
