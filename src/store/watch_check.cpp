#include "watch_check.hpp"

namespace rhubarbgrade
{

watch_verdict judge_watch(const watch_check& check)
{
    if (check.changes)
        return watch_verdict::overtaken;
    const bool recent =
        check.complete_until && *check.complete_until >= check.needed;
    return recent ? watch_verdict::stands : watch_verdict::unknown;
}

bool may_allow_old_data(const std::optional<time_point_t>& known,
                        time_point_t needed)
{
    return known && *known >= needed;
}

time_point_t needed_completeness(time_point_t now, milliseconds max_age,
                                 milliseconds interval)
{
    return now + interval - max_age;
}

} // namespace rhubarbgrade
