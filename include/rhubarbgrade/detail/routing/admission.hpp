#pragma once

#include <cstdint>     // uint32_t
#include <string_view> // string_view

namespace rhubarbgrade
{

/// @brief Whether a request may be sent to an endpoint now, or why not.
enum class admission_result
{
    admitted,
    already_tried, ///< by this request
    other_version, ///< not the one that the request may go to
    evacuated,     ///< its availability zone receives no new requests
    cold,          ///< this host's share of a warming endpoint is used up
    request_limit, ///< this host's share of its request limit is used up
    brittle,       ///< this host has no slot there, or it turned requests away
    ejected,       ///< after repeated failures
    saturated,     ///< its queue is too long for the request's objective
    full           ///< this host's limit of concurrent requests is reached
};

/// @brief What decides on the admission of a request at one endpoint.
struct admission_state
{
    bool tried = false;
    bool version_allowed = true;
    bool evacuated = false;
    bool cold_share_left = true;  ///< true for endpoints that are not cold
    bool limit_share_left = true; ///< true for endpoints without a limit
    bool brittle_share_left = true;
    bool ejected = false;
    bool saturated = false;
    std::uint32_t in_flight = 0; ///< this host's requests there
    std::uint32_t limit = 1;     ///< most of them
};

/// @return the first reason that applies, in the order of @ref admission_result
admission_result admit(const admission_state& state);

/// @return the name, as in logs
std::string_view to_string(admission_result reason);

} // namespace rhubarbgrade
