#include <rhubarbgrade/detail/routing/choose.hpp>

#include <cstddef>     // size_t
#include <optional>    // optional
#include <span>        // span
#include <string_view> // string_view
#include <vector>      // vector

namespace rhubarbgrade
{
namespace
{

/// Number of endpoints compared for one choice.
constexpr std::size_t sample_size = 3;

/// Weight of the reported load, which lags, against the router's own count.
constexpr double report_weight = 0.25;

bool has_slot(const candidate& option)
{
    return option.usable && option.in_flight < option.slots;
}

double load(const candidate& option)
{
    const double own_share =
        static_cast<double>(option.in_flight) / option.slots;
    const double total_share =
        static_cast<double>(option.reported) / option.limit;
    return own_share + report_weight * total_share;
}

std::optional<std::size_t> least_loaded(std::span<const candidate> candidates,
                                        std::vector<std::size_t> options,
                                        const random_source_t& random)
{
    std::optional<std::size_t> best;
    for (std::size_t sampled = 0; sampled < sample_size && !options.empty();
         ++sampled)
    {
        const auto pick = random() % options.size();
        const auto index = options[pick];
        options.erase(options.begin() + static_cast<std::ptrdiff_t>(pick));
        if (!best || load(candidates[index]) < load(candidates[*best]))
            best = index;
    }
    return best;
}

} // namespace

std::optional<std::size_t> choose(std::span<const candidate> candidates,
                                  std::string_view zone,
                                  const random_source_t& random)
{
    std::vector<std::size_t> same_zone;
    std::vector<std::size_t> other_zones;
    for (std::size_t index = 0; index < candidates.size(); ++index)
        if (has_slot(candidates[index]))
            (candidates[index].zone == zone ? same_zone : other_zones)
                .push_back(index);
    const auto best = least_loaded(candidates, std::move(same_zone), random);
    return best ? best
                : least_loaded(candidates, std::move(other_zones), random);
}

} // namespace rhubarbgrade
