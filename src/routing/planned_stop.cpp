#include <rhubarbgrade/detail/routing/planned_stop.hpp>

namespace rhubarbgrade
{

bool may_begin(const planned_stop& stop, time_point_t latest_end,
               time_point_t now)
{
    return now < stop.late_from || latest_end <= stop.ends;
}

} // namespace rhubarbgrade
