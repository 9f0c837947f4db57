#include <rhubarbgrade/detail/moves/judge.hpp>

#include <algorithm> // max
#include <cmath>     // abs, log, log1p, sqrt
#include <string>    // string

namespace rhubarbgrade
{
namespace
{

/// Chance of taking back a good version by the errors of one look, and of
/// calling a bad one good.
constexpr double false_alarm = 1e-5;
constexpr double missed_fault = 0.01;

/// The old version's error rate is taken to be at least this.
constexpr double least_error_rate = 0.005;
constexpr double least_error_rise = 0.02;

constexpr double bad_sigmas = 5;
constexpr double good_sigmas = 1;
constexpr double timed_to_be_bad = 8;
constexpr double timed_to_be_good = 20;

/// Spread of the logarithm of a latency when there are few samples.
constexpr double least_variance = 0.01;

double error_rate(const sample_sums& sums)
{
    constexpr double prior_requests = 50;
    const double prior = least_error_rate * prior_requests;
    const double rate =
        (sums.errors + prior) / (sums.requests + prior_requests);
    return std::max(rate, least_error_rate);
}

double log_likelihood_ratio(const sample_sums& sums, double usual, double high)
{
    const double good = sums.requests - sums.errors;
    return sums.errors * std::log(high / usual) +
           good * std::log((1 - high) / (1 - usual));
}

struct moments
{
    double mean = 0;
    double variance = 0;
};

moments moments_of(const sample_sums& sums)
{
    const double mean = sums.log_latency / sums.timed;
    const double variance = sums.log_latency_square / sums.timed - mean * mean;
    return {mean, std::max(variance, least_variance)};
}

/// Distance of the new version's latency from the accepted one, in sigmas.
double slowness(const sample_sums& from, const sample_sums& to,
                double tolerance)
{
    const auto old_version = moments_of(from);
    const auto new_version = moments_of(to);
    const double sigma = std::sqrt(old_version.variance / from.timed +
                                   new_version.variance / to.timed);
    const double rise = new_version.mean - old_version.mean;
    return (rise - std::log1p(tolerance)) / sigma;
}

verdict judge_errors(const move& plan, const route_evidence& sides)
{
    const double usual = std::min(error_rate(sides.from), 0.5);
    const double rise = std::max(2 * plan.error_tolerance, least_error_rise);
    const double high = std::min(usual + rise, 0.99);
    const double recent = log_likelihood_ratio(sides.to, usual, high);
    if (recent > std::log(1 / false_alarm))
        return verdict::bad;
    const double all = log_likelihood_ratio(sides.to_all, usual, high);
    return all < std::log(missed_fault) ? verdict::good : verdict::unproved;
}

verdict judge_latency(const move& plan, const route_evidence& sides)
{
    if (sides.from.timed < timed_to_be_bad || sides.to.timed < timed_to_be_bad)
        return verdict::unproved;
    const double distance = slowness(sides.from, sides.to, plan.slow_tolerance);
    if (distance > bad_sigmas)
        return verdict::bad;
    const bool enough = sides.to.timed >= timed_to_be_good;
    return enough && distance < -good_sigmas ? verdict::good
                                             : verdict::unproved;
}

} // namespace

judgement judge(const move& plan, const move_evidence_t& evidence)
{
    judgement found;
    bool all_good = !evidence.empty();
    for (const auto& [route, sides] : evidence)
    {
        const auto errors = judge_errors(plan, sides);
        const auto latency = judge_latency(plan, sides);
        if (errors == verdict::bad)
            return {verdict::bad, "errors on " + route};
        if (latency == verdict::bad)
            return {verdict::bad, "latency on " + route};
        all_good &= errors == verdict::good && latency == verdict::good;
    }
    if (all_good)
        found.is = verdict::good;
    return found;
}

} // namespace rhubarbgrade
