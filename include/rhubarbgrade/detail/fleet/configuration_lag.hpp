#pragma once

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief Whether a host must no longer act on its configuration, because a
///        peer has had a newer one for too long.
/// @param[in] behind_since  when a peer reported a newer configuration that
///                          this host still lacks; the epoch: it lacks none
/// @param[in] apply_bound   time after which the newer one has to be in force
bool configuration_overdue(time_point_t behind_since, time_point_t now,
                           milliseconds apply_bound);

} // namespace rhubarbgrade
