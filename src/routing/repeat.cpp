#include <rhubarbgrade/detail/routing/repeat.hpp>

namespace rhubarbgrade
{

namespace
{

/// Limit of attempts for one request, whatever their outcome. A few suffice,
/// because endpoints that can't be reached or refuse are soon avoided.
constexpr int max_sends = 4;

/// Minimum time left for a retry: a round trip and an answer.
constexpr milliseconds min_time_left{40};

} // namespace

retry_decision may_repeat(const retry_context& question)
{
    if (question.sends >= max_sends || question.left < min_time_left)
        return retry_decision::never;
    // Nothing but the events of a resumed stream can continue an answer.
    if (question.answer_begun && !question.events_begun)
        return retry_decision::never;
    if (question.end == attempt_outcome::not_sent)
        return retry_decision::free;
    if (question.end == attempt_outcome::refused)
        return retry_decision::budgeted;
    const bool may_run_again =
        question.kind == call_kind::idempotent ||
        (question.kind == call_kind::stream && question.resumable);
    if (!may_run_again || question.runs >= question.max_runs)
        return retry_decision::never;
    return retry_decision::budgeted;
}

} // namespace rhubarbgrade
