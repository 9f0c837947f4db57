#include <rhubarbgrade/detail/routing/answer_end.hpp>

namespace rhubarbgrade
{

namespace
{

/// Whether the body itself shows that it was broken off.
bool visibly_broken(const answer_end& end)
{
    return end.event_stream &&
           (end.inside_event || (end.close_delimited && !end.any_event));
}

} // namespace

std::string_view name_of(endpoint_process process)
{
    switch (process)
    {
    case endpoint_process::serving:
        return "serving";
    case endpoint_process::ended:
        return "ended";
    case endpoint_process::replaced:
        return "replaced";
    case endpoint_process::unknown:
        break;
    }
    return "unknown";
}

bool needs_process(const answer_end& end)
{
    return end.close_delimited && !end.limit_reached && !visibly_broken(end);
}

bool is_whole(const answer_end& end)
{
    if (visibly_broken(end))
        return false;
    if (!needs_process(end))
        return true;
    if (end.request_unread || end.process == endpoint_process::unknown)
        return false;
    return end.process == endpoint_process::serving || has_departed(end.signs);
}

} // namespace rhubarbgrade
