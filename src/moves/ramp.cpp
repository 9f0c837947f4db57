#include <rhubarbgrade/detail/moves/ramp.hpp>

#include <algorithm> // clamp, max, min
#include <chrono>    // duration, milliseconds
#include <string>    // string, to_string

#include <rhubarbgrade/detail/base/hash.hpp> // hash_hex

namespace rhubarbgrade
{
namespace
{

using std::chrono::duration;

/// Share of the time from start to deadline after which all traffic should be
/// on the new version.
constexpr double ramp_time_share = 0.8;

/// Number of steps between start and deadline.
constexpr double step_count = 16;
constexpr std::chrono::milliseconds min_step{500};

double progress(const move& plan, wall_time_t now)
{
    const duration<double> total = plan.deadline - plan.start;
    const duration<double> elapsed = now - plan.start;
    return std::clamp(elapsed / (total * ramp_time_share), 0.0, 1.0);
}

wall_time_t::duration step_time(const move& plan)
{
    const auto step = std::chrono::duration_cast<wall_time_t::duration>(
        (plan.deadline - plan.start) / step_count);
    return std::max<wall_time_t::duration>(step, min_step);
}

double next_share(const move& plan, const move_progress& before,
                  const judgement& judged, wall_time_t now)
{
    const double cap = plan.unproved_share;
    if (judged.conclusion != verdict::good && before.share <= cap)
        return cap;
    const double ramp_limit = cap + (1 - cap) * progress(plan, now);
    const bool may_step = now - before.last_step >= step_time(plan);
    if (!may_step || judged.conclusion != verdict::good)
        return before.share;
    const double doubled = std::max(cap, before.share) * 2;
    return std::max(before.share, std::min({1.0, ramp_limit, doubled}));
}

bool is_final(move_state state)
{
    return state == move_state::done || state == move_state::taken_back;
}

} // namespace

const char* to_string(move_state state)
{
    switch (state)
    {
    case move_state::pending:
        return "pending";
    case move_state::ramping:
        return "ramping";
    case move_state::late:
        return "late";
    case move_state::done:
        return "done";
    case move_state::taken_back:
        return "taken back";
    }
    return "unknown";
}

move_progress advance(const move& plan, const move_progress& before,
                      const judgement& judged, wall_time_t now)
{
    if (is_final(before.state) || now < plan.start)
        return before;
    move_progress after = before;
    if (judged.conclusion == verdict::bad)
    {
        after.state = move_state::taken_back;
        after.share = 0;
        after.reason = judged.reason;
        return after;
    }
    after.share = next_share(plan, before, judged, now);
    if (after.share > before.share)
        after.last_step = now;
    after.state = now >= plan.deadline ? move_state::late : move_state::ramping;
    if (after.share >= 1)
        after.state = move_state::done;
    return after;
}

void merge(move_progress& mine, move_state reported, const std::string& reason)
{
    const bool taken_back = reported == move_state::taken_back;
    const bool done = reported == move_state::done;
    if (mine.state == move_state::taken_back || (!taken_back && !done))
        return;
    mine.state = reported;
    mine.share = done ? 1 : 0;
    mine.reason = reason;
}

std::string move_key(const move& plan)
{
    const auto start = plan.start.time_since_epoch().count();
    const auto deadline = plan.deadline.time_since_epoch().count();
    const auto content = plan.service + "\n" + plan.from + "\n" + plan.to +
                         "\n" + std::to_string(start) + "\n" +
                         std::to_string(deadline) + "\n" +
                         std::to_string(plan.unproved_share);
    return plan.name + "-" + hash_hex(content).substr(0, 8);
}

} // namespace rhubarbgrade
