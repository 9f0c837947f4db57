#pragma once

#include <map>     // map
#include <memory>  // unique_ptr
#include <mutex>   // mutex
#include <string>  // string
#include <utility> // pair

namespace rhubarbgrade
{

/// @brief Counters, gauges and latency quantiles of this process.
///
/// Quantiles are estimated over all samples since the start of the process, in
/// constant memory (Boost.Accumulators). Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();

    /// @brief Adds to a counter.
    /// @param[in] name    metric name
    /// @param[in] labels  rendered labels such as `zone="a",service="b"`
    /// @param[in] value   increment
    void count(const std::string& name, const std::string& labels,
               double value = 1);

    /// @brief Sets a gauge.
    void set(const std::string& name, const std::string& labels, double value);

    /// @brief Adds a sample of a latency, in seconds.
    void observe(const std::string& name, const std::string& labels,
                 double seconds);

    /// @brief All metrics in the Prometheus text format.
    std::string text() const;

private:
    using series_t = std::pair<std::string, std::string>;
    struct summary;

    mutable std::mutex m_mutex;
    std::map<series_t, double> m_counters;
    std::map<series_t, double> m_gauges;
    std::map<series_t, std::unique_ptr<summary>> m_summaries;
};

} // namespace rhubarbgrade
