#include <rhubarbgrade/detail/placing/place.hpp>

#include <algorithm> // max, min, partial_sort, remove_if
#include <cstddef>   // size_t
#include <span>      // span
#include <vector>    // vector

namespace rhubarbgrade
{

namespace
{

/// Number of endpoints that rendezvous hashing assigns to a prompt's shared
/// parts. With two, each part is cached twice and a frequent one can spread.
constexpr std::size_t assigned_endpoints = 2;

/// Number of endpoints sampled besides the assigned ones; two random choices
/// keep the load of the most loaded endpoint close to the mean.
constexpr std::size_t extra_samples = 2;

/// Number of endpoints sampled for a request without shared parts.
constexpr std::size_t unshared_samples = 3;

/// Waiting requests from which an engine gets no more. Below saturation, a few
/// wait at most.
constexpr double max_waiting = 4;

/// Wait for a first byte, in latency objectives, from which an engine gets no
/// more. Callers give up at four.
constexpr int max_objectives = 2;

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
               bool first_assigned)
{
    // The first assigned endpoint has the shared parts in its cache, because
    // the other hosts send them there too.
    const auto cached = first_assigned ? std::max(candidate.cached_tokens,
                                                  request.shared_tokens)
                                       : candidate.cached_tokens;
    const auto uncached =
        request.prompt_tokens - std::min(request.prompt_tokens, cached);
    const auto queued =
        static_cast<double>(candidate.prompt_tokens_waiting) * costs.hosts;
    const auto share_in_use = static_cast<double>(candidate.in_flight) /
                              std::max(1U, candidate.limit);
    return (static_cast<double>(uncached) + queued) / costs.tokens_per_ms +
           candidate.reported_load * costs.load_ms +
           share_in_use * costs.in_flight_ms +
           candidate.failure_rate * costs.failure_ms +
           (candidate.same_zone ? 0 : costs.other_zone_ms);
}

bool has_slot(const placing_candidate& candidate,
              const placing_request& request)
{
    return candidate.usable && candidate.in_flight < candidate.limit &&
           !is_saturated(candidate.queue, request.objective);
}

/// Moves the endpoints assigned to the request's shared parts to the front of
/// @a available and returns their number.
std::size_t assigned_first(std::span<const placing_candidate> candidates,
                           const placing_request& request,
                           std::vector<std::size_t>& available)
{
    const auto count = std::min(assigned_endpoints, available.size());
    std::partial_sort(
        available.begin(), available.begin() + static_cast<long>(count),
        available.end(),
        [&](std::size_t left, std::size_t right)
        {
            return mix(candidates[left].identity ^ request.affinity) >
                   mix(candidates[right].identity ^ request.affinity);
        });
    return count;
}

} // namespace

bool is_saturated(const engine_queue& queue, milliseconds objective)
{
    return queue.waiting >= max_waiting ||
           queue.wait / max_objectives >= objective;
}

std::optional<std::size_t> place(std::span<const placing_candidate> candidates,
                                 const placing_request& request,
                                 const placing_costs& costs,
                                 const random_source_t& random)
{
    std::vector<std::size_t> available;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        if (has_slot(candidates[i], request))
            available.push_back(i);
    if (available.empty())
        return std::nullopt;
    const auto assigned = request.affinity == 0
                              ? 0
                              : assigned_first(candidates, request, available);
    const auto sample_size = std::min(
        available.size(),
        request.affinity == 0 ? unshared_samples : assigned + extra_samples);
    for (std::size_t i = assigned; i < sample_size; ++i)
        std::swap(available[i],
                  available[i + random() % (available.size() - i)]);
    std::size_t best = available[0];
    double lowest_cost =
        cost_of(candidates[best], request, costs, assigned > 0);
    for (std::size_t i = 1; i < sample_size; ++i)
    {
        const auto cost =
            cost_of(candidates[available[i]], request, costs, false);
        if (cost < lowest_cost)
        {
            lowest_cost = cost;
            best = available[i];
        }
    }
    return best;
}

} // namespace rhubarbgrade
