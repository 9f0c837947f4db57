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

/// Error rates between which the test decides.
struct error_rates
{
    double usual = 0;
    double high = 0;
};

error_rates rates_of(const move& plan, const sample_sums& from)
{
    const double usual = std::min(error_rate(from), 0.5);
    const double rise = std::max(2 * plan.error_tolerance, least_error_rise);
    return {usual, std::min(usual + rise, 0.99)};
}

bool bad_errors(const move& plan, const route_evidence& sides)
{
    const auto [usual, high] = rates_of(plan, sides.from);
    const double limit = std::log(1 / false_alarm);
    return log_likelihood_ratio(sides.to, usual, high) > limit ||
           log_likelihood_ratio(sides.to_recent, usual, high) > limit;
}

bool bad_latency(const move& plan, const route_evidence& sides)
{
    for (const auto* const to : {&sides.to, &sides.to_recent})
    {
        const bool enough =
            sides.from.timed >= timed_to_be_bad && to->timed >= timed_to_be_bad;
        if (enough &&
            slowness(sides.from, *to, plan.slow_tolerance) > bad_sigmas)
            return true;
    }
    return false;
}

/// Over all routes, so that a route with few requests holds nothing up.
bool good_errors(const move& plan, const move_evidence_t& evidence)
{
    route_evidence sum;
    for (const auto& [route, sides] : evidence)
    {
        sum.from += sides.from;
        sum.to_all += sides.to_all;
    }
    const auto [usual, high] = rates_of(plan, sum.from);
    return log_likelihood_ratio(sum.to_all, usual, high) <
           std::log(missed_fault);
}

bool good_latency(const move& plan, const move_evidence_t& evidence)
{
    bool any = false;
    for (const auto& [route, sides] : evidence)
    {
        if (sides.from.timed < timed_to_be_good ||
            sides.to_all.timed < timed_to_be_good)
            continue;
        if (slowness(sides.from, sides.to_all, plan.slow_tolerance) >
            -good_sigmas)
            return false;
        any = true;
    }
    return any;
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
    return {good ? verdict::good : verdict::unproved, {}};
}

} // namespace rhubarbgrade
