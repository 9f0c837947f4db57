#include <rhubarbgrade/detail/placing/endpoint_load.hpp>

#include <chrono> // duration
#include <cmath>  // exp

namespace rhubarbgrade
{

namespace
{

/// Time constant, in seconds, of the exponential decay of a report's weight.
constexpr double report_decay_s = 1.0;

/// Weight of the newest figure in the moving average of the pace.
constexpr double pace_weight = 0.1;

/// Sum of the weights of reports below which their mean says nothing.
constexpr double min_weight = 0.05;

} // namespace

void record_report(endpoint_load& load, double per_slot, double waiting,
                   double pace, time_point_t now)
{
    load.per_slot = per_slot;
    load.waiting = waiting;
    load.pace += pace_weight * (pace - load.pace);
    load.at = now;
}

double report_weight(const endpoint_load& load, time_point_t now)
{
    const std::chrono::duration<double> age = now - load.at;
    return std::exp(-age.count() / report_decay_s);
}

void mean_load::add(const endpoint_load& load, time_point_t now)
{
    const auto weight = report_weight(load, now);
    m_weights += weight;
    m_sum += weight * load.per_slot;
}

double mean_load::value() const
{
    return m_weights < min_weight ? 0 : m_sum / m_weights;
}

double expected_load(const endpoint_load& load, double mean, time_point_t now)
{
    const auto weight = report_weight(load, now);
    return weight * load.per_slot + (1 - weight) * mean;
}

} // namespace rhubarbgrade
