#pragma once

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief Outcome of a failed attempt.
enum class attempt_outcome
{
    not_sent,     ///< no byte can have reached the endpoint
    refused,      ///< the endpoint reported that it did not run the request
    failed,       ///< the endpoint ran it and answered with an error
    may_have_run, ///< bytes were sent, but no complete answer came back
};

/// @brief A token bucket that limits retries to a share of the requests, so
///        that they can't amplify an overload.
struct retry_budget
{
    double tokens = 10; ///< retries available
};

/// @brief Counts a request, which adds a fraction of a retry to the budget.
void count_request(retry_budget& budget);

/// @brief Decides whether to retry a request; deducts an allowed retry from the
///        budget.
/// @param[in,out] budget  the router's retry budget
/// @param[in] end         outcome of the last attempt
/// @param[in] idempotent  whether the request may run twice
/// @param[in] attempts    attempts made so far
/// @param[in] now         the time
/// @param[in] deadline    time by which the caller needs the answer
bool may_retry(retry_budget& budget, attempt_outcome end, bool idempotent,
               int attempts, time_point_t now, time_point_t deadline);

} // namespace rhubarbgrade
