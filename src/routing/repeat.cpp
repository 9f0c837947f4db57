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

repeat_answer may_repeat(const repeat_question& question)
{
    if (question.sends >= max_sends || question.left < min_time_left)
        return repeat_answer::never;
    if (question.end == attempt_end::not_sent)
        return repeat_answer::free;
    if (question.end == attempt_end::refused)
        return repeat_answer::budgeted;
    const bool may_run_again =
        (question.kind == call_kind::idempotent && !question.answer_begun) ||
        (question.kind == call_kind::stream && question.resumable);
    if (!may_run_again || question.runs >= question.max_runs)
        return repeat_answer::never;
    return repeat_answer::budgeted;
}

} // namespace rhubarbgrade
