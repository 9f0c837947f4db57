#include <rhubarbgrade/detail/routing/repeat.hpp>

namespace rhubarbgrade
{

namespace
{

/// Attempts of any outcome for one request; endpoints that can't be reached
/// or refuse are soon known.
constexpr int most_sends = 4;

/// Less time than this isn't enough for a round trip and an answer.
constexpr milliseconds least_time{40};

} // namespace

repeat_answer may_repeat(const repeat_question& question)
{
    if (question.sends >= most_sends || question.left < least_time)
        return repeat_answer::never;
    if (question.end == attempt_end::not_sent)
        return repeat_answer::free;
    if (question.end == attempt_end::refused)
        return repeat_answer::budgeted;
    const bool repeatable =
        (question.kind == call_kind::idempotent && !question.answer_begun) ||
        (question.kind == call_kind::stream && question.resumable);
    if (!repeatable || question.runs >= question.max_runs)
        return repeat_answer::never;
    return repeat_answer::budgeted;
}

} // namespace rhubarbgrade
