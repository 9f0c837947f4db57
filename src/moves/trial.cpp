#include <rhubarbgrade/detail/moves/trial.hpp>

#include <algorithm> // clamp, count_if, max
#include <cmath>     // exp, lgamma, log, lround

#include <rhubarbgrade/detail/config/objects.hpp> // move
#include <rhubarbgrade/detail/moves/judge.hpp>    // judge

namespace rhubarbgrade
{

namespace
{

/// Accepted relative rise of the mean latency: bad versions are several times
/// slower, versions with cold caches somewhat.
constexpr double slow_tolerance = 0.3;

/// Accepted absolute rise of the error rate: far below the error rate of a bad
/// version, above the noise of a few dozen samples.
constexpr double error_rise = 0.12;

/// Significance level of one test of the error rate: below it the version is
/// bad. A trial repeats the test some 60 times. It is divided among the routes,
/// as each of them may fail by chance.
constexpr double significance_level = 2e-4;

/// Number of samples needed to judge the error rate.
constexpr double min_samples = 8;

/// Prior of the old version's error rate, so that a single error of the new
/// version isn't significant if the old one had none.
constexpr double prior_samples = 50;
constexpr double prior_rate = 0.01;

/// Upper bound of the error rate that the old version is taken to have.
constexpr double max_expected_rate = 0.9;

/// Probability of at least @a errors in @a samples at an error rate of @a rate.
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

/// @param[in] expected  error rate of the old version
/// @param[in] level     significance level
bool fails_more(double expected, const sample_sums& to, double level)
{
    if (to.requests < min_samples)
        return false;
    if (to.errors / to.requests < expected + error_rise)
        return false;
    return binomial_tail(std::lround(to.requests), std::lround(to.errors),
                         expected) < level;
}

bool fails_more(const route_evidence& sides, double level)
{
    const double expected =
        std::clamp((sides.from.errors + prior_rate * prior_samples) /
                       (sides.from.requests + prior_samples),
                   prior_rate, max_expected_rate);
    return fails_more(expected, sides.to_all, level) ||
           fails_more(expected, sides.to_recent, level);
}

/// Compares the versions over all routes: a fault shows after as many requests
/// on many routes as on one.
bool fails_more(const move_evidence_t& evidence)
{
    const auto sum = total(evidence);
    for (const auto side :
         {&route_evidence::to_all, &route_evidence::to_recent})
        if (fails_more(std::clamp(expected_error_rate(evidence, side),
                                  prior_rate, max_expected_rate),
                       sum.*side, significance_level))
            return true;
    return false;
}

/// A route on which the new version fails more, over the whole trial or
/// recently; null if there is none.
const std::string* failing_route(const move_evidence_t& evidence)
{
    const auto tested =
        std::count_if(evidence.begin(), evidence.end(),
                      [](const auto& each)
                      {
                          return each.second.to_all.requests >= min_samples;
                      });
    for (const auto& [route, sides] : evidence)
        if (fails_more(sides, significance_level / static_cast<double>(tested)))
            return &route;
    return nullptr;
}

} // namespace

trial_step decide_trial(const move_evidence_t& evidence, milliseconds elapsed,
                        milliseconds limit, const trial_policy& policy)
{
    if (const auto* route = failing_route(evidence))
        return {0, order_state::reverted, "errors on " + *route};
    if (fails_more(evidence))
        return {0, order_state::reverted, "errors over all routes"};
    move plan;
    plan.slow_tolerance = slow_tolerance;
    const auto judged = judge(plan, evidence);
    if (judged.conclusion == verdict::bad)
        return {0, order_state::reverted, judged.reason};
    if (elapsed >= limit - policy.finish_before)
        return {1, order_state::succeeded, "no fault within the limit"};
    if (elapsed >= limit - policy.switch_before)
        return {1, order_state::running, {}};
    return {total(evidence).to_all.requests < policy.first_samples
                ? policy.warmup_share
                : policy.share,
            order_state::running,
            {}};
}

} // namespace rhubarbgrade
