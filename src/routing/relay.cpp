#include <rhubarbgrade/detail/routing/relay.hpp>

#include <algorithm> // find
#include <vector>    // vector

namespace rhubarbgrade
{

std::optional<std::size_t> choose_relay(std::span<const relay_host> relays,
                                        std::span<const std::size_t> tried,
                                        const random_source_t& random)
{
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t i = 0; i < relays.size(); ++i)
        if (std::find(tried.begin(), tried.end(), i) == tried.end())
            (relays[i].same_zone ? near : far).push_back(i);
    const auto& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return std::nullopt;
    return candidates[random() % candidates.size()];
}

} // namespace rhubarbgrade
