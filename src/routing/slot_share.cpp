#include <rhubarbgrade/detail/routing/slot_share.hpp>

#include <algorithm> // clamp, count_if, max, sort
#include <vector>    // vector

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{

namespace
{

/// Bounds of the pause: rejections count by the second, and the slots of an
/// endpoint are not to be left unused for long.
constexpr double min_pause_s = 1;
constexpr double max_pause_s = 5;

} // namespace

std::map<std::uint64_t, std::uint32_t>
share_of_slots(std::span<const slot_offer> endpoints, const std::string& self,
               std::span<const std::string> live_hosts, std::size_t all_hosts)
{
    const auto own = hash64(self);
    const auto position = static_cast<std::uint64_t>(
        std::count_if(live_hosts.begin(), live_hosts.end(),
                      [own](const auto& each)
                      {
                          return hash64(each) > own;
                      }));
    const auto hosts = std::max({live_hosts.size(), all_hosts, std::size_t{1}});
    std::vector<slot_offer> ordered(endpoints.begin(), endpoints.end());
    std::sort(ordered.begin(), ordered.end(),
              [](const auto& left, const auto& right)
              {
                  return left.process < right.process;
              });
    std::map<std::uint64_t, std::uint32_t> shares;
    // The slots of all endpoints form one sequence, which the hosts take in
    // turn.
    std::uint64_t first = 0;
    const auto taken_before = [&](std::uint64_t end)
    {
        return end / hosts + (end % hosts > position ? 1 : 0);
    };
    for (const auto& each : ordered)
    {
        const auto next = first + each.slots;
        shares[each.process] = static_cast<std::uint32_t>(taken_before(next) -
                                                          taken_before(first));
        first = next;
    }
    return shares;
}

milliseconds rejection_pause(double rejections_per_s, std::size_t hosts)
{
    constexpr double ms_per_s = 1000;
    const auto wanted =
        static_cast<double>(hosts) / std::max(rejections_per_s, 1.0);
    return milliseconds(static_cast<milliseconds::rep>(
        ms_per_s * std::clamp(wanted, min_pause_s, max_pause_s)));
}

} // namespace rhubarbgrade
