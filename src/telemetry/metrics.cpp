#include <rhubarbgrade/detail/telemetry/metrics.hpp>

#include <array>   // array
#include <memory>  // make_unique
#include <mutex>   // lock_guard
#include <sstream> // ostringstream
#include <string>  // string
#include <utility> // pair

#include <boost/accumulators/accumulators.hpp>     // accumulator_set
#include <boost/accumulators/statistics/count.hpp> // count
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp> // stats
#include <boost/accumulators/statistics/sum.hpp>   // sum

namespace rhubarbgrade
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.95, 0.99};

using latency_set_t =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

using series_t = std::pair<std::string, std::string>;

void write_line(std::ostream& out, const series_t& series,
                const std::string& suffix, const std::string& extra_label,
                double value)
{
    const auto& [name, labels] = series;
    const bool both = !labels.empty() && !extra_label.empty();
    out << name << suffix;
    if (!labels.empty() || !extra_label.empty())
        out << '{' << labels << (both ? "," : "") << extra_label << '}';
    out << ' ' << value << '\n';
}

void write_series(std::ostream& out, const std::map<series_t, double>& values,
                  const char* kind)
{
    std::string previous_name;
    for (const auto& [series, value] : values)
    {
        if (series.first != previous_name)
            out << "# TYPE " << series.first << ' ' << kind << '\n';
        previous_name = series.first;
        write_line(out, series, "", "", value);
    }
}

} // namespace

struct metrics::summary
{
    latency_set_t samples{acc::extended_p_square_probabilities = quantiles};
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::count(const std::string& name, const std::string& labels,
                    double value)
{
    const std::lock_guard lock(m_mutex);
    m_counters[{name, labels}] += value;
}

void metrics::set(const std::string& name, const std::string& labels,
                  double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{name, labels}] = value;
}

void metrics::observe(const std::string& name, const std::string& labels,
                      double seconds)
{
    const std::lock_guard lock(m_mutex);
    auto& entry = m_summaries[{name, labels}];
    if (entry == nullptr)
        entry = std::make_unique<summary>();
    entry->samples(seconds);
}

std::string metrics::text() const
{
    std::ostringstream out;
    const std::lock_guard lock(m_mutex);
    write_series(out, m_counters, "counter");
    write_series(out, m_gauges, "gauge");
    std::string previous_name;
    for (const auto& [series, entry] : m_summaries)
    {
        if (series.first != previous_name)
            out << "# TYPE " << series.first << " summary\n";
        previous_name = series.first;
        for (const double probability : quantiles)
        {
            const double value = acc::quantile(
                entry->samples, acc::quantile_probability = probability);
            write_line(out, series, "",
                       "quantile=\"" +
                           std::to_string(probability).substr(0, 4) + "\"",
                       value);
        }
        write_line(out, series, "_sum", "", acc::sum(entry->samples));
        write_line(out, series, "_count", "",
                   static_cast<double>(acc::count(entry->samples)));
    }
    return out.str();
}

} // namespace rhubarbgrade
