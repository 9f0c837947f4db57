#include <rhubarbgrade/detail/fleet/configuration_lag.hpp>

namespace rhubarbgrade
{

namespace
{

/// Time by which peers may report a newer configuration late: a heartbeat
/// comes every 0.5 s, and one may be lost.
constexpr milliseconds report_delay{1000};

} // namespace

bool configuration_overdue(time_point_t behind_since, time_point_t now,
                           milliseconds apply_bound)
{
    return behind_since != time_point_t{} &&
           now - behind_since >= apply_bound - report_delay;
}

} // namespace rhubarbgrade
