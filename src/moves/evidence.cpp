#include <rhubarbgrade/detail/moves/evidence.hpp>

#include <algorithm> // max
#include <cmath>     // exp2, log

namespace rhubarbgrade
{
namespace
{

constexpr double half_life_s = 30;
constexpr double recent_half_life_s = 3;
constexpr double min_latency_s = 1e-4;

void scale(sample_sums& sums, double factor)
{
    sums.requests *= factor;
    sums.errors *= factor;
    sums.log_latency *= factor;
    sums.log_latency_square *= factor;
    sums.timed *= factor;
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
    {
        auto& mine = sum[route];
        mine.from += sides.from;
        mine.to += sides.to;
        mine.to_all += sides.to_all;
        mine.to_recent += sides.to_recent;
    }
}

} // namespace rhubarbgrade
