#include <rhubarbgrade/detail/moves/trial.hpp>

#include <rhubarbgrade/detail/config/objects.hpp> // move
#include <rhubarbgrade/detail/moves/judge.hpp>    // judge

namespace rhubarbgrade
{

namespace
{

/// Rise of the error rate that is accepted: far below the part of answers
/// that a bad version fails, above the noise of a few dozen samples.
constexpr double error_tolerance = 0.08;

/// Rise of the mean latency that is accepted: bad versions are several times
/// slower, cold ones somewhat.
constexpr double slow_tolerance = 0.6;

} // namespace

trial_step decide_trial(const move_evidence_t& evidence, milliseconds elapsed,
                        milliseconds limit, const trial_policy& policy)
{
    move plan;
    plan.error_tolerance = error_tolerance;
    plan.slow_tolerance = slow_tolerance;
    const auto found = judge(plan, evidence);
    if (found.is == verdict::bad)
        return {0, order_state::reverted, found.reason};
    if (elapsed >= limit - policy.finish_before)
        return {1, order_state::succeeded, "no fault within the limit"};
    if (elapsed >= limit - policy.switch_before)
        return {1, order_state::running, {}};
    return {policy.share, order_state::running, {}};
}

} // namespace rhubarbgrade
