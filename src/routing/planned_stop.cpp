#include <rhubarbgrade/detail/routing/planned_stop.hpp>

#include <algorithm> // min

namespace rhubarbgrade
{

namespace
{

/// Time for which connections are still accepted after the stop signal. The
/// load balancer stops sending them after two failed readiness checks, a second
/// apart.
constexpr milliseconds unready_period{2600};

/// Time for the last write to the store before the process is killed.
constexpr milliseconds final_write_reserve{500};

/// Time for the answers to what is given up at the end of a stop.
constexpr milliseconds answer_reserve{200};

/// Each reserve is at most this part of the grace period, so that nothing is
/// given up before its last sixth.
constexpr int reserve_part = 12;

} // namespace

planned_stop plan_stop(time_point_t signalled, milliseconds grace)
{
    const milliseconds most = grace / reserve_part;
    planned_stop stop;
    stop.closes = signalled + grace - std::min(final_write_reserve, most);
    stop.ends = stop.closes - std::min(answer_reserve, most);
    stop.late_from = std::min(signalled + unready_period, stop.ends);
    return stop;
}

bool may_begin(const planned_stop& stop, time_point_t latest_end,
               time_point_t now)
{
    return now < stop.late_from || latest_end <= stop.ends;
}

} // namespace rhubarbgrade
