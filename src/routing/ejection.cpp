#include <rhubarbgrade/detail/routing/ejection.hpp>

#include <algorithm> // min
#include <chrono>    // seconds

namespace rhubarbgrade
{
namespace
{

constexpr int failures_to_eject = 3;
constexpr std::chrono::seconds first_ejection{2};
constexpr int max_doublings = 4;

} // namespace

bool record_outcome(endpoint_health& health, bool good, std::size_t ejected,
                    std::size_t endpoints, time_point_t now)
{
    if (good)
    {
        health.consecutive_failure_count = 0;
        health.ejections = 0;
        return false;
    }
    health.consecutive_failure_count++;
    const bool may_eject = 2 * (ejected + 1) <= endpoints;
    if (health.consecutive_failure_count < failures_to_eject || !may_eject)
        return false;
    const int doublings = std::min(health.ejections, max_doublings);
    health.ejected_until = now + first_ejection * (1 << doublings);
    health.ejections++;
    health.consecutive_failure_count = 0;
    return true;
}

bool usable(const endpoint_health& health, time_point_t now)
{
    return now >= health.ejected_until;
}

} // namespace rhubarbgrade
