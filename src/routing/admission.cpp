#include <rhubarbgrade/detail/routing/admission.hpp>

namespace rhubarbgrade
{

admission_result admit(const admission_state& state)
{
    if (state.tried)
        return admission_result::already_tried;
    if (!state.version_allowed)
        return admission_result::other_version;
    if (state.evacuated)
        return admission_result::evacuated;
    if (!state.cold_share_left)
        return admission_result::cold;
    if (!state.limit_share_left)
        return admission_result::request_limit;
    if (!state.brittle_share_left)
        return admission_result::brittle;
    if (state.ejected)
        return admission_result::ejected;
    if (state.saturated)
        return admission_result::saturated;
    if (state.in_flight >= state.limit)
        return admission_result::full;
    return admission_result::admitted;
}

std::string_view to_string(admission_result reason)
{
    switch (reason)
    {
    case admission_result::admitted:
        return "admitted";
    case admission_result::already_tried:
        return "already_tried";
    case admission_result::other_version:
        return "other_version";
    case admission_result::evacuated:
        return "evacuated";
    case admission_result::cold:
        return "cold";
    case admission_result::request_limit:
        return "request_limit";
    case admission_result::brittle:
        return "brittle";
    case admission_result::ejected:
        return "ejected";
    case admission_result::saturated:
        return "saturated";
    case admission_result::full:
        return "full";
    }
    return "unknown";
}

} // namespace rhubarbgrade
