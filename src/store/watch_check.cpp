#include "watch_check.hpp"

namespace rhubarbgrade
{

watch_verdict judge_watch(const watch_check& check)
{
    if (check.changes)
        return watch_verdict::overtaken;
    return check.revision < check.known ? watch_verdict::unknown
                                        : watch_verdict::stands;
}

} // namespace rhubarbgrade
