#include <rhubarbgrade/detail/moves/evidence.hpp>

#include <algorithm>   // max, stable_sort
#include <cmath>       // exp2, log
#include <string_view> // string_view
#include <utility>     // move
#include <vector>      // vector

namespace rhubarbgrade
{
namespace
{

constexpr double half_life_s = 30;
constexpr double recent_half_life_s = 3;
constexpr double min_latency_s = 1e-4;

/// Size in a message of the sums of one route, without its name.
constexpr std::size_t sums_bytes = 216;

void scale(sample_sums& sums, double factor)
{
    sums.requests *= factor;
    sums.errors *= factor;
    sums.log_latency *= factor;
    sums.log_latency_square *= factor;
    sums.timed *= factor;
}

void add(route_evidence& sum, const route_evidence& other)
{
    sum.from += other.from;
    sum.to += other.to;
    sum.to_all += other.to_all;
    sum.to_recent += other.to_recent;
}

double requests_of(const route_evidence& sides)
{
    return sides.from.requests + sides.to_all.requests;
}

} // namespace

sample_sums& sample_sums::operator+=(const sample_sums& other)
{
    requests += other.requests;
    errors += other.errors;
    log_latency += other.log_latency;
    log_latency_square += other.log_latency_square;
    timed += other.timed;
    return *this;
}

void add_sample(sample_sums& sums, bool good, double latency_s)
{
    sums.requests += 1;
    sums.errors += good ? 0 : 1;
    if (!good || latency_s < 0)
        return;
    const double value = std::log(std::max(latency_s, min_latency_s));
    sums.log_latency += value;
    sums.log_latency_square += value * value;
    sums.timed += 1;
}

void add_sample(route_evidence& sides, bool new_version, bool good,
                double latency_s)
{
    if (!new_version)
        return add_sample(sides.from, good, latency_s);
    add_sample(sides.to, good, latency_s);
    add_sample(sides.to_all, good, latency_s);
    add_sample(sides.to_recent, good, latency_s);
}

void decay(move_evidence_t& evidence, double seconds)
{
    const double factor = std::exp2(-seconds / half_life_s);
    const double recent_factor = std::exp2(-seconds / recent_half_life_s);
    for (auto& [route, sides] : evidence)
    {
        scale(sides.from, factor);
        scale(sides.to, factor);
        scale(sides.to_recent, recent_factor);
    }
}

void merge(move_evidence_t& sum, const move_evidence_t& other)
{
    for (const auto& [route, sides] : other)
        add(sum[route], sides);
}

route_evidence total(const move_evidence_t& evidence)
{
    route_evidence sum;
    for (const auto& [route, sides] : evidence)
        add(sum, sides);
    return sum;
}

void limit_routes(move_evidence_t& evidence, std::size_t max_bytes)
{
    std::vector<move_evidence_t::const_iterator> by_requests;
    std::size_t bytes = 0;
    for (auto it = evidence.cbegin(); it != evidence.cend(); ++it)
    {
        bytes += sums_bytes + it->first.size();
        if (it->first != other_routes)
            by_requests.push_back(it);
    }
    if (bytes <= max_bytes)
        return;
    std::stable_sort(by_requests.begin(), by_requests.end(),
                     [](auto left, auto right)
                     {
                         return requests_of(left->second) >
                                requests_of(right->second);
                     });
    move_evidence_t kept;
    auto& others = kept[other_routes];
    if (const auto found = evidence.find(other_routes); found != evidence.end())
        others = found->second;
    bytes = sums_bytes + std::string_view(other_routes).size();
    for (const auto each : by_requests)
    {
        const auto size = sums_bytes + each->first.size();
        if (bytes + size > max_bytes)
        {
            add(others, each->second);
            continue;
        }
        bytes += size;
        kept.insert(*each);
    }
    evidence = std::move(kept);
}

} // namespace rhubarbgrade
