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

error_rates rates_of(const move& plan, double old_rate)
{
    const double expected = std::min(old_rate, 0.5);
    const double rise = std::max(2 * plan.error_tolerance, min_error_rise);
    return {expected, std::min(expected + rise, 0.99)};
}

bool bad_errors(const move& plan, double old_rate, const sample_sums& to)
{
    const auto [expected, excessive] = rates_of(plan, old_rate);
    return log_likelihood_ratio(to, expected, excessive) >
           std::log(1 / false_positive_rate);
}

bool bad_errors(const move& plan, const route_evidence& sides)
{
    const auto old_rate = error_rate(sides.from);
    return bad_errors(plan, old_rate, sides.to) ||
           bad_errors(plan, old_rate, sides.to_recent);
}

bool bad_errors(const move& plan, const move_evidence_t& evidence)
{
    const auto sum = total(evidence);
    for (const auto side : {&route_evidence::to, &route_evidence::to_recent})
        if (bad_errors(plan, expected_error_rate(evidence, side), sum.*side))
            return true;
    return false;
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

/// Latency of the new version over all routes, each compared with itself.
struct total_latency
{
    double from_timed = 0;
    double to_timed = 0;
    double excess = 0; ///< as by @ref latency_excess
};

/// Variance of the old version's logarithms within each route.
double variance_within(const move_evidence_t& evidence)
{
    double squares = 0;
    double freedom = 0;
    for (const auto& [route, sides] : evidence)
    {
        if (sides.from.timed <= 1)
            continue;
        squares += sides.from.log_latency_square - sides.from.log_latency *
                                                       sides.from.log_latency /
                                                       sides.from.timed;
        freedom += sides.from.timed - 1;
    }
    return freedom > 0 ? std::max(squares / freedom, min_variance)
                       : min_variance;
}

total_latency latency_over_all(const move_evidence_t& evidence,
                               sample_sums route_evidence::*side,
                               double tolerance)
{
    total_latency result;
    double rise = 0;
    double squares = 0; // of the differences from the route's old mean
    double from_error = 0;
    for (const auto& [route, sides] : evidence)
    {
        const auto& to = sides.*side;
        // A mean of less than two samples is no basis for a comparison.
        if (sides.from.timed < 2 || to.timed <= 0)
            continue;
        const double old_mean = sides.from.log_latency / sides.from.timed;
        result.from_timed += sides.from.timed;
        result.to_timed += to.timed;
        rise += to.log_latency - to.timed * old_mean;
        squares += to.log_latency_square - 2 * old_mean * to.log_latency +
                   to.timed * old_mean * old_mean;
        from_error += to.timed * to.timed / sides.from.timed;
    }
    if (result.to_timed <= 0)
        return result;
    const double count = result.to_timed;
    rise /= count;
    const double new_variance =
        std::max(squares / count - rise * rise, min_variance);
    const double sigma =
        std::sqrt(new_variance / count +
                  variance_within(evidence) * from_error / (count * count));
    result.excess = (rise - std::log1p(tolerance)) / sigma;
    return result;
}

bool bad_latency(const move& plan, const move_evidence_t& evidence)
{
    for (const auto side : {&route_evidence::to, &route_evidence::to_recent})
    {
        const auto all = latency_over_all(evidence, side, plan.slow_tolerance);
        if (all.from_timed >= min_samples_for_bad &&
            all.to_timed >= min_samples_for_bad && all.excess > bad_sigmas)
            return true;
    }
    return false;
}

/// Takes all routes together, so that a route with few requests does not delay
/// the move.
bool good_errors(const move& plan, const move_evidence_t& evidence)
{
    const auto sum = total(evidence);
    const auto [expected, excessive] = rates_of(plan, error_rate(sum.from));
    return log_likelihood_ratio(sum.to_all, expected, excessive) <
           std::log(false_negative_rate);
}

bool good_latency(const move& plan, const move_evidence_t& evidence)
{
    for (const auto& [route, sides] : evidence)
        if (sides.from.timed >= min_samples_for_good &&
            sides.to_all.timed >= min_samples_for_good &&
            latency_excess(sides.from, sides.to_all, plan.slow_tolerance) >
                -good_sigmas)
            return false;
    const auto all = latency_over_all(evidence, &route_evidence::to_all,
                                      plan.slow_tolerance);
    return all.from_timed >= min_samples_for_good &&
           all.to_timed >= min_samples_for_good && all.excess <= -good_sigmas;
}

} // namespace

double expected_error_rate(const move_evidence_t& evidence,
                           sample_sums route_evidence::*side)
{
    constexpr double prior_requests = 50;
    const double usual = error_rate(total(evidence).from);
    double requests = 0;
    double errors = 0;
    for (const auto& [route, sides] : evidence)
    {
        const double rate = (sides.from.errors + usual * prior_requests) /
                            (sides.from.requests + prior_requests);
        requests += (sides.*side).requests;
        errors += (sides.*side).requests * rate;
    }
    return requests > 0 ? std::max(errors / requests, min_error_rate) : usual;
}

judgement judge(const move& plan, const move_evidence_t& evidence)
{
    for (const auto& [route, sides] : evidence)
    {
        if (bad_errors(plan, sides))
            return {verdict::bad, "errors on " + route};
        if (bad_latency(plan, sides))
            return {verdict::bad, "latency on " + route};
    }
    if (bad_errors(plan, evidence))
        return {verdict::bad, "errors over all routes"};
    if (bad_latency(plan, evidence))
        return {verdict::bad, "latency over all routes"};
    const bool good =
        good_errors(plan, evidence) && good_latency(plan, evidence);
    return {good ? verdict::good : verdict::inconclusive, {}};
}

} // namespace rhubarbgrade
