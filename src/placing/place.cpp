#include <rhubarbgrade/detail/placing/place.hpp>

#include <algorithm> // max, min, partial_sort, remove_if
#include <cstddef>   // size_t
#include <span>      // span
#include <vector>    // vector

namespace rhubarbgrade
{

namespace
{

/// Endpoints that rendezvous hashing names for a prompt's shared parts. Two,
/// so that a part is read at two places and a hot one can spread.
constexpr std::size_t homes = 2;

/// Endpoints looked at beside the homes; two random choices keep the most
/// loaded endpoint close to the mean.
constexpr std::size_t samples = 2;

/// Endpoints looked at for requests that share nothing.
constexpr std::size_t plain_samples = 3;

std::uint64_t mix(std::uint64_t value)
{
    // Finalizer of the 64-bit Murmur hash.
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

double cost_of(const placing_candidate& candidate,
               const placing_request& request, const placing_costs& costs,
               bool home)
{
    // At the first home the other hosts have had the shared parts read too.
    const auto kept =
        home ? std::max(candidate.kept_tokens, request.shared_tokens)
             : candidate.kept_tokens;
    const auto unread =
        request.prompt_tokens - std::min(request.prompt_tokens, kept);
    const auto ahead =
        static_cast<double>(candidate.prompt_tokens_waiting) * costs.hosts;
    const auto used = static_cast<double>(candidate.in_flight) /
                      std::max(1U, candidate.limit);
    return (static_cast<double>(unread) + ahead) / costs.tokens_per_ms +
           candidate.reported_load * costs.load_ms + used * costs.in_flight_ms +
           candidate.failure_rate * costs.failure_ms +
           (candidate.same_zone ? 0 : costs.other_zone_ms);
}

bool free(const placing_candidate& candidate)
{
    return candidate.usable && candidate.in_flight < candidate.limit;
}

/// Moves the homes of the request to the front of @a open.
std::size_t homes_first(std::span<const placing_candidate> candidates,
                        const placing_request& request,
                        std::vector<std::size_t>& open)
{
    const auto count = std::min(homes, open.size());
    std::partial_sort(
        open.begin(), open.begin() + static_cast<long>(count), open.end(),
        [&](std::size_t left, std::size_t right)
        {
            return mix(candidates[left].identity ^ request.affinity) >
                   mix(candidates[right].identity ^ request.affinity);
        });
    return count;
}

} // namespace

std::optional<std::size_t> place(std::span<const placing_candidate> candidates,
                                 const placing_request& request,
                                 const placing_costs& costs,
                                 const random_source_t& random)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        if (free(candidates[i]))
            open.push_back(i);
    if (open.empty())
        return std::nullopt;
    const auto fixed =
        request.affinity == 0 ? 0 : homes_first(candidates, request, open);
    const auto wanted = std::min(
        open.size(), request.affinity == 0 ? plain_samples : fixed + samples);
    for (std::size_t i = fixed; i < wanted; ++i)
        std::swap(open[i], open[i + random() % (open.size() - i)]);
    std::size_t best = open[0];
    double least = cost_of(candidates[best], request, costs, fixed > 0);
    for (std::size_t i = 1; i < wanted; ++i)
    {
        const auto cost = cost_of(candidates[open[i]], request, costs, false);
        if (cost < least)
        {
            least = cost;
            best = open[i];
        }
    }
    return best;
}

} // namespace rhubarbgrade
