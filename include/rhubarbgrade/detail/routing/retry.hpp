#pragma once

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief How far a failed attempt got.
enum class attempt_end
{
    not_sent,     ///< no byte can have reached the endpoint
    refused,      ///< the endpoint said that it did not run the request
    failed,       ///< the endpoint ran it and answered with an error
    may_have_run, ///< bytes were sent and no whole answer came back
};

/// @brief Limits retries to a part of the requests, so that they can't
///        amplify an overload.
struct retry_budget
{
    double tokens = 10;
};

/// @brief Each request pays a part of a retry into the budget.
void note_request(retry_budget& budget);

/// @brief Decides whether to try again and takes the retry from the budget.
/// @param[in,out] budget  the router's retry budget
/// @param[in] end         how the last attempt ended
/// @param[in] idempotent  whether the request may run twice
/// @param[in] attempts    attempts made so far
/// @param[in] now         the time
/// @param[in] deadline    when the answer must be there
bool may_retry(retry_budget& budget, attempt_end end, bool idempotent,
               int attempts, time_point_t now, time_point_t deadline);

} // namespace rhubarbgrade
