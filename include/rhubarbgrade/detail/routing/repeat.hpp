#pragma once

#include <rhubarbgrade/detail/base/types.hpp>       // milliseconds
#include <rhubarbgrade/detail/fleet/deployment.hpp> // call_kind
#include <rhubarbgrade/detail/routing/retry.hpp>    // attempt_end

namespace rhubarbgrade
{

/// @brief What decides whether a request may be sent once more.
struct repeat_question
{
    call_kind kind = call_kind::non_idempotent;
    bool resumable = false; ///< a stream that may go on elsewhere
    attempt_end end = attempt_end::may_have_run; ///< of the last attempt
    bool answer_begun = false; ///< the caller has a part of the answer
    int sends = 0;             ///< attempts so far
    int runs = 0;              ///< attempts that may have run
    int max_runs = 1;          ///< as the route allows
    milliseconds left{0};      ///< until the caller's deadline
};

/// @brief What sending once more would cost.
enum class repeat_answer
{
    never,
    free,     ///< no endpoint has seen the request
    budgeted, ///< counts against the limit that all hosts share
};

/// @brief Decides whether a request may be sent once more.
///
/// What may not be repeated is sent again only if the endpoint said that it
/// ran nothing, or if nothing reached one.
repeat_answer may_repeat(const repeat_question& question);

} // namespace rhubarbgrade
