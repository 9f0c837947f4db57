#include <rhubarbgrade/detail/moves/judge.hpp>

#include <algorithm> // max
#include <cmath>     // abs, log, log1p, sqrt
#include <string>    // string

namespace rhubarbgrade
{
namespace
{

/// Error probabilities of one sequential probability ratio test: of calling a
/// good version bad, and of calling a bad one good.
constexpr double false_positive_rate = 1e-5;
constexpr double false_negative_rate = 0.01;

/// Lower bounds of the old version's assumed error rate, and of the rise from
/// it that the test looks for.
constexpr double min_error_rate = 0.005;
constexpr double min_error_rise = 0.02;

/// Distances, in standard errors, from the accepted latency at which a version
/// is bad or good.
constexpr double bad_sigmas = 5;
constexpr double good_sigmas = 1;
/// Latency samples of each version that a verdict needs.
constexpr double min_samples_for_bad = 8;
constexpr double min_samples_for_good = 20;

/// Lower bound of the variance of the logarithm of a latency; few samples can
/// show a smaller one by chance.
constexpr double min_variance = 0.01;

double error_rate(const sample_sums& sums)
{
    constexpr double prior_requests = 50;
    const double prior = min_error_rate * prior_requests;
    const double rate =
        (sums.errors + prior) / (sums.requests + prior_requests);
    return std::max(rate, min_error_rate);
}

double log_likelihood_ratio(const sample_sums& sums, double expected,
                            double excessive)
{
    const double good = sums.requests - sums.errors;
    return sums.errors * std::log(excessive / expected) +
           good * std::log((1 - excessive) / (1 - expected));
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
    return {mean, std::max(variance, min_variance)};
}

/// Distance of the new version's latency from the accepted one, in standard
/// errors.
double latency_excess(const sample_sums& from, const sample_sums& to,
                      double tolerance)
{
    const auto old_version = moments_of(from);
    const auto new_version = moments_of(to);
    const double sigma = std::sqrt(old_version.variance / from.timed +
                                   new_version.variance / to.timed);
    const double rise = new_version.mean - old_version.mean;
    return (rise - std::log1p(tolerance)) / sigma;
}

/// Hypotheses of the sequential test: the expected error rate and one that is
/// too high.
struct error_rates
{
    double expected = 0;
    double excessive = 0;
};

error_rates rates_of(const move& plan, const sample_sums& from)
{
    const double expected = std::min(error_rate(from), 0.5);
    const double rise = std::max(2 * plan.error_tolerance, min_error_rise);
    return {expected, std::min(expected + rise, 0.99)};
}

bool bad_errors(const move& plan, const route_evidence& sides)
{
    const auto [expected, excessive] = rates_of(plan, sides.from);
    const double limit = std::log(1 / false_positive_rate);
    return log_likelihood_ratio(sides.to, expected, excessive) > limit ||
           log_likelihood_ratio(sides.to_recent, expected, excessive) > limit;
}

bool bad_latency(const move& plan, const route_evidence& sides)
{
    for (const auto* const to : {&sides.to, &sides.to_recent})
    {
        const bool enough = sides.from.timed >= min_samples_for_bad &&
                            to->timed >= min_samples_for_bad;
        if (enough &&
            latency_excess(sides.from, *to, plan.slow_tolerance) > bad_sigmas)
            return true;
    }
    return false;
}

/// Takes all routes together, so that a route with few requests does not delay
/// the move.
bool good_errors(const move& plan, const move_evidence_t& evidence)
{
    route_evidence total;
    for (const auto& [route, sides] : evidence)
    {
        total.from += sides.from;
        total.to_all += sides.to_all;
    }
    const auto [expected, excessive] = rates_of(plan, total.from);
    return log_likelihood_ratio(total.to_all, expected, excessive) <
           std::log(false_negative_rate);
}

bool good_latency(const move& plan, const move_evidence_t& evidence)
{
    bool compared_any = false;
    for (const auto& [route, sides] : evidence)
    {
        if (sides.from.timed < min_samples_for_good ||
            sides.to_all.timed < min_samples_for_good)
            continue;
        if (latency_excess(sides.from, sides.to_all, plan.slow_tolerance) >
            -good_sigmas)
            return false;
        compared_any = true;
    }
    return compared_any;
}

} // namespace

judgement judge(const move& plan, const move_evidence_t& evidence)
{
    for (const auto& [route, sides] : evidence)
    {
        if (bad_errors(plan, sides))
            return {verdict::bad, "errors on " + route};
        if (bad_latency(plan, sides))
            return {verdict::bad, "latency on " + route};
    }
    const bool good =
        good_errors(plan, evidence) && good_latency(plan, evidence);
    return {good ? verdict::good : verdict::inconclusive, {}};
}

} // namespace rhubarbgrade
