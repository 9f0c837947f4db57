#pragma once

#include <string_view> // string_view

#include <rhubarbgrade/detail/routing/departure.hpp> // departure_signs

namespace rhubarbgrade
{

/// @brief What became of an endpoint's process after it closed a connection.
enum class endpoint_process
{
    unknown, ///< not asked, or no answer
    serving, ///< it accepts connections
    ended,   ///< its address refuses connections
    /// Its address has refused connections, and accepts them again.
    replaced,
};

/// @brief The name of a value, for the log.
std::string_view name_of(endpoint_process process);

/// @brief How the body of an answer ended.
struct answer_end
{
    /// The body has neither a length nor chunks; an orderly end of the
    /// connection ended it.
    bool close_delimited = false;
    bool event_stream = false; ///< the body is a successful event stream
    bool inside_event = false; ///< its last event is incomplete
    bool any_event = false;    ///< it has a complete event
    /// The stream has all events that the request allows.
    bool limit_reached = false;
    endpoint_process process = endpoint_process::unknown;
    departure_signs signs; ///< if the process does not go on serving
    /// The connection ended before the endpoint had read the whole request, or
    /// was reset after its end.
    bool request_unread = false;
};

/// @brief Whether the decision needs to know what became of the process.
bool needs_process(const answer_end& end);

/// @brief Decides whether an answer is whole.
///
/// The kernel closes the connections of a process that crashes like those of
/// one that has said everything. So a body that is delimited by the end of its
/// connection is whole only if its process goes on serving, or had finished and
/// then has left. One that closes
/// while a part of the request is unread may have given up: the kernel's reset
/// for that part can come behind an orderly end.
bool is_whole(const answer_end& end);

} // namespace rhubarbgrade
