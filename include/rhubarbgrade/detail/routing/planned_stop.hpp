#pragma once

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief The times of a host's planned stop.
struct planned_stop
{
    /// From here on callers have no reason to send requests to this host.
    time_point_t late_from{};
    time_point_t ends{};   ///< what is not answered by then is given up
    time_point_t closes{}; ///< the traffic ends, whatever is still open
};

/// @brief The times of a stop.
/// @param[in] signalled  when the process was told to stop
/// @param[in] grace      time from then until the process is killed
planned_stop plan_stop(time_point_t signalled, milliseconds grace);

/// @brief Whether a request may still be sent to an endpoint.
///
/// A late one only if it is certain to end before the host does. An earlier one
/// is sent in any case, as most take far less time than they may.
/// @param[in] latest_end  by which the request has ended in any case
bool may_begin(const planned_stop& stop, time_point_t latest_end,
               time_point_t now);

} // namespace rhubarbgrade
