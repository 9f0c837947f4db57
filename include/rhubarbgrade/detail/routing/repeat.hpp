#pragma once

#include <rhubarbgrade/detail/base/types.hpp>       // milliseconds
#include <rhubarbgrade/detail/fleet/deployment.hpp> // call_kind
#include <rhubarbgrade/detail/routing/retry.hpp>    // attempt_outcome

namespace rhubarbgrade
{

/// @brief Inputs for the decision whether to retry a request.
struct retry_context
{
    call_kind kind = call_kind::non_idempotent;
    bool resumable = false; ///< a stream that can resume on another endpoint
    attempt_outcome end =
        attempt_outcome::may_have_run; ///< of the last attempt
    bool answer_begun = false; ///< the caller has received part of the answer
    bool events_begun = false; ///< and that part is of a successful stream
    int sends = 0;             ///< attempts so far
    int runs = 0;              ///< attempts that may have run
    int max_runs = 1;          ///< limit of the route
    milliseconds left{0};      ///< time left until the caller's deadline
};

/// @brief Whether a retry is allowed, and whether it uses the retry budget.
enum class retry_decision
{
    never,    ///< no retry
    free,     ///< no endpoint has received the request
    budgeted, ///< uses the retry budget that all hosts share
};

/// @brief Decides whether a request may be retried.
///
/// A request that must not run twice is retried only if nothing was sent, or if
/// the endpoint refused it without running it.
retry_decision may_repeat(const retry_context& question);

} // namespace rhubarbgrade
