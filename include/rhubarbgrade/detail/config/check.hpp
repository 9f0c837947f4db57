#pragma once

#include <rhubarbgrade/detail/config/objects.hpp> // object_set
#include <rhubarbgrade/detail/config/problem.hpp> // problems_t

namespace rhubarbgrade
{

/// @brief Checks that a set of configuration objects is consistent.
///
/// Each reference must name an existing object. A key must belong to one
/// customer, a path or model to one service, an address to one endpoint. Each
/// service needs an endpoint of its version. The versions of a move must belong
/// to its service, and moves of a service must not overlap in time.
/// @param[in] set           the objects
/// @param[in,out] problems  receives every problem found
void check(const object_set& set, problems_t& problems);

/// @brief Checks that a set may replace the one in force.
///
/// A prepaid total must not be lowered, and a customer with a prepaid budget
/// must not be removed: hosts in a partitioned zone may already have spent it.
void check_change(const object_set& before, const object_set& after,
                  problems_t& problems);

} // namespace rhubarbgrade
