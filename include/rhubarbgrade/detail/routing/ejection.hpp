#pragma once

#include <cstddef> // size_t

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief Failure history of an endpoint.
struct endpoint_health
{
    int consecutive_failure_count = 0; ///< since the last success or ejection
    int ejections = 0;                 ///< since the last success
    time_point_t ejected_until{};
};

/// @brief Records the outcome of a request; ejects the endpoint after several
///        consecutive failures.
///
/// The ejection time doubles with each ejection. Never more than half of a
/// version's endpoints are ejected at once.
/// @param[in,out] health  the endpoint's health
/// @param[in] good        whether the endpoint answered without an error
/// @param[in] ejected     ejected endpoints of the same version
/// @param[in] endpoints   all endpoints of the same version
/// @param[in] now         the time
/// @return whether the endpoint was ejected
bool record_outcome(endpoint_health& health, bool good, std::size_t ejected,
                    std::size_t endpoints, time_point_t now);

/// @brief Whether the endpoint is not ejected at @a now.
bool usable(const endpoint_health& health, time_point_t now);

} // namespace rhubarbgrade
