#pragma once

#include <rhubarbgrade/detail/config/objects.hpp> // object_set
#include <rhubarbgrade/detail/config/problem.hpp> // problems_t

namespace rhubarbgrade
{

/// @brief Checks that a whole set is consistent.
///
/// Every reference leads to an object, no key names two customers, no path or
/// model two services, each service has an endpoint of its version, a move's
/// versions are its service's, and no two moves of a service overlap in time.
/// @param[in] set         the objects
/// @param[in,out] faults  receives every fault
void check(const object_set& set, problems_t& faults);

/// @brief Checks a set against the one in force.
///
/// A prepaid total may not be lowered and a customer with a budget may not be
/// removed: hosts in a cut-off zone may have spent it already.
void check_change(const object_set& before, const object_set& after,
                  problems_t& faults);

} // namespace rhubarbgrade
