#pragma once

#include <cstddef> // size_t

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief What is remembered of an endpoint's failures.
struct endpoint_health
{
    int failures_in_turn = 0;
    int ejections = 0;
    time_point_t ejected_until{};
};

/// @brief Notes the end of a request and ejects after failures in turn.
/// @param[in,out] health  the endpoint's health
/// @param[in] good        whether the endpoint answered well
/// @param[in] ejected     endpoints of its version that are ejected now
/// @param[in] endpoints   endpoints of its version
/// @param[in] now         the time
/// @return whether the endpoint was ejected; never more than half of a
///         version's endpoints are ejected at once
bool note_end(endpoint_health& health, bool good, std::size_t ejected,
              std::size_t endpoints, time_point_t now);

/// @brief Whether the endpoint may be chosen at @a now.
bool usable(const endpoint_health& health, time_point_t now);

} // namespace rhubarbgrade
