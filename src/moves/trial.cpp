#include <rhubarbgrade/detail/moves/trial.hpp>

#include <algorithm> // clamp, max
#include <cmath>     // exp, lgamma, log, lround

#include <rhubarbgrade/detail/config/objects.hpp> // move
#include <rhubarbgrade/detail/moves/judge.hpp>    // judge

namespace rhubarbgrade
{

namespace
{

/// Rise of the mean latency that is accepted: bad versions are several times
/// slower, cold ones somewhat.
constexpr double slow_tolerance = 0.3;

/// Rise of the error rate that is accepted: far below the part of answers
/// that a bad version fails, above the noise of a few dozen samples.
constexpr double error_rise = 0.12;

/// Chance of as many errors from a version no worse than the old one, at
/// which it is called bad; with some 60 looks in a trial.
constexpr double false_alarm = 2e-4;

/// Samples without which no error rate is judged.
constexpr double least_samples = 8;

/// The old version's errors are mixed with these, so that a clean record
/// doesn't make a single error damning.
constexpr double prior_samples = 50;
constexpr double prior_rate = 0.01;

/// Chance of @a errors or more in @a samples at an error rate of @a rate.
double binomial_tail(long samples, long errors, double rate)
{
    double tail = 0;
    for (long k = errors; k <= samples; ++k)
        tail += std::exp(std::lgamma(static_cast<double>(samples + 1)) -
                         std::lgamma(static_cast<double>(k + 1)) -
                         std::lgamma(static_cast<double>(samples - k + 1)) +
                         static_cast<double>(k) * std::log(rate) +
                         static_cast<double>(samples - k) * std::log(1 - rate));
    return tail;
}

bool fails_more(const sample_sums& from, const sample_sums& to)
{
    if (to.requests < least_samples)
        return false;
    const double usual = std::clamp((from.errors + prior_rate * prior_samples) /
                                        (from.requests + prior_samples),
                                    prior_rate, 0.9);
    if (to.errors / to.requests < usual + error_rise)
        return false;
    return binomial_tail(std::lround(to.requests), std::lround(to.errors),
                         usual) < false_alarm;
}

/// Whether a route shows the new version to fail more, at any time or lately.
const std::string* failing_route(const move_evidence_t& evidence)
{
    for (const auto& [route, sides] : evidence)
        if (fails_more(sides.from, sides.to_all) ||
            fails_more(sides.from, sides.to_recent))
            return &route;
    return nullptr;
}

double samples_of(const move_evidence_t& evidence)
{
    double sum = 0;
    for (const auto& [route, sides] : evidence)
        sum += sides.to_all.requests;
    return sum;
}

} // namespace

trial_step decide_trial(const move_evidence_t& evidence, milliseconds elapsed,
                        milliseconds limit, const trial_policy& policy)
{
    if (const auto* route = failing_route(evidence))
        return {0, order_state::reverted, "errors on " + *route};
    move plan;
    plan.slow_tolerance = slow_tolerance;
    const auto found = judge(plan, evidence);
    if (found.is == verdict::bad)
        return {0, order_state::reverted, found.reason};
    if (elapsed >= limit - policy.finish_before)
        return {1, order_state::succeeded, "no fault within the limit"};
    if (elapsed >= limit - policy.switch_before)
        return {1, order_state::running, {}};
    return {samples_of(evidence) < policy.first_samples ? policy.first_share
                                                        : policy.share,
            order_state::running,
            {}};
}

} // namespace rhubarbgrade
