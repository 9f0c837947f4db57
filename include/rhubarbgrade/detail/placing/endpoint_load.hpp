#pragma once

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief What an endpoint has reported of its load, as this host received it.
struct endpoint_load
{
    double per_slot = 0; ///< running and waiting requests, for each slot
    double waiting = 0;  ///< requests without a slot or memory
    /// Moving average of the time that work takes on the endpoint's machine,
    /// relative to the usual time; 1 if it reports none.
    double pace = 1;
    time_point_t at{}; ///< when the report came; the epoch if none came
};

/// @brief Takes a report in.
/// @param[in] pace  as reported, 1 for the usual time. It changes faster than
///                  reports come, so that only its average says anything.
void record_report(endpoint_load& load, double per_slot, double waiting,
                   double pace, time_point_t now);

/// @brief Weight of a report, by its age: 1 when it comes, then exponentially
///        less.
double report_weight(const endpoint_load& load, time_point_t now);

/// @brief Mean load for each slot of several endpoints, by their reports, the
///        newer the more.
class mean_load
{
public:
    void add(const endpoint_load& load, time_point_t now);

    /// @return 0 if no report is recent
    double value() const;

private:
    double m_weights = 0;
    double m_sum = 0;
};

/// @brief Load for each slot to expect of an endpoint.
///
/// It goes from what was reported to the mean as the report grows old. If it
/// went to 0 instead, endpoints that reported least recently would seem the
/// emptiest, and requests would leave the prompt caches that they have filled.
/// @param[in] mean  of the endpoints of the service
double expected_load(const endpoint_load& load, double mean, time_point_t now);

} // namespace rhubarbgrade
