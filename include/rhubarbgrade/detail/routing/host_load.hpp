#pragma once

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief What a host measures of itself in a short interval.
struct host_sample
{
    milliseconds loop_delay{0}; ///< by which a timer of its loop was late
    /// Slowest of its connections to endpoints that opened; 0 if none did.
    milliseconds connect_time{0};
    double link_share = 0; ///< of the bandwidth of its link that was used
};

/// @brief Whether a host is late itself: its event loop, or its link. What then
///        seems to be late elsewhere may be its own delay.
struct host_load
{
    bool late = false;
    time_point_t last_late_at{}; ///< last sample that was late
};

/// @brief Takes a sample in. A host is late from the first late sample on,
///        until there has been none for a while.
/// @return whether @a load.late has changed
bool record_sample(host_load& load, const host_sample& sample,
                   time_point_t now);

/// @brief Time from which a connection that doesn't open is evidence that the
///        host is cut from the service, or that the endpoint doesn't answer.
///
/// A host that is late, or that still gets bytes from the service, gives its
/// connections more time: they may open late because its link is full. A cut
/// may spare connections that are open already, so the time is limited.
/// @param[in] silence  time since the last byte from the service
milliseconds connect_evidence_time(const host_load& load, milliseconds silence);

} // namespace rhubarbgrade
