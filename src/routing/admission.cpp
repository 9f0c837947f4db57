#include <rhubarbgrade/detail/routing/admission.hpp>

namespace rhubarbgrade
{

admission admit(const admission_state& state)
{
    if (state.tried)
        return admission::already_tried;
    if (!state.version_allowed)
        return admission::other_version;
    if (state.evacuated)
        return admission::evacuated;
    if (!state.cold_share_left)
        return admission::cold;
    if (!state.limit_share_left)
        return admission::request_limit;
    if (!state.brittle_share_left)
        return admission::brittle;
    if (state.ejected)
        return admission::ejected;
    if (state.saturated)
        return admission::saturated;
    if (state.in_flight >= state.limit)
        return admission::full;
    return admission::admitted;
}

std::string_view to_string(admission reason)
{
    switch (reason)
    {
    case admission::admitted:
        return "admitted";
    case admission::already_tried:
        return "already_tried";
    case admission::other_version:
        return "other_version";
    case admission::evacuated:
        return "evacuated";
    case admission::cold:
        return "cold";
    case admission::request_limit:
        return "request_limit";
    case admission::brittle:
        return "brittle";
    case admission::ejected:
        return "ejected";
    case admission::saturated:
        return "saturated";
    case admission::full:
        return "full";
    }
    return "unknown";
}

} // namespace rhubarbgrade
