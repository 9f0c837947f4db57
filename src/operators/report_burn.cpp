#include <array>   // array
#include <chrono>  // minutes, system_clock
#include <fstream> // ofstream
#include <map>     // map
#include <ostream> // ostream
#include <sstream> // ostringstream
#include <string>  // string

#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/telemetry/objective_log.hpp> // minute_counts

#include "command_context.hpp" // command_context

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;

/// Windows over which the burn rate of an error budget is computed, in minutes.
constexpr std::int64_t short_window_minutes = 5;
constexpr std::int64_t long_window_minutes = 60;

/// Share of requests that may be late: latency targets are for the 95th
/// percentile.
constexpr double allowed_late_share = 0.05;

using minutes_t = std::map<std::int64_t, minute_counts>;

std::int64_t minute_now()
{
    return std::chrono::duration_cast<std::chrono::minutes>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Adds the counts of one router's /objectives page.
void add_counts(std::map<std::string, minutes_t>& counts, const json& page)
{
    for (const auto& [name, by_minute] : page.items())
        for (const auto& [minute, row] : by_minute.items())
        {
            auto& sum = counts[name][std::stoll(minute)];
            sum.requests += row[0].get<std::uint64_t>();
            sum.unavailable += row[1].get<std::uint64_t>();
            sum.first_token_late += row[2].get<std::uint64_t>();
            sum.between_tokens_late += row[3].get<std::uint64_t>();
        }
}

minute_counts sum_since(const minutes_t& counts, std::int64_t first)
{
    minute_counts sum;
    for (auto row = counts.lower_bound(first); row != counts.end(); ++row)
    {
        sum.requests += row->second.requests;
        sum.unavailable += row->second.unavailable;
        sum.first_token_late += row->second.first_token_late;
        sum.between_tokens_late += row->second.between_tokens_late;
    }
    return sum;
}

/// Rate at which an error budget is used; at 1 it is used up exactly as fast as
/// the objective allows.
double burn_rate(std::uint64_t bad, std::uint64_t total, double allowed)
{
    if (total == 0)
        return 0;
    return static_cast<double>(bad) / static_cast<double>(total) / allowed;
}

json burn_rates(const objective& goal, const minute_counts& sum)
{
    return {{"requests", sum.requests},
            {"availability",
             burn_rate(sum.unavailable, sum.requests, 1 - goal.availability)},
            {"first_token",
             burn_rate(sum.first_token_late, sum.requests, allowed_late_share)},
            {"between_tokens", burn_rate(sum.between_tokens_late, sum.requests,
                                         allowed_late_share)}};
}

/// Burn rate of the availability budget by minute.
json plot_points(const objective& goal, const minutes_t& counts,
                 std::int64_t current_minute)
{
    json points = json::array();
    for (auto minute = current_minute - long_window_minutes + 1;
         minute <= current_minute; ++minute)
    {
        const auto row = counts.find(minute);
        const auto sum = row == counts.end() ? minute_counts{} : row->second;
        points.push_back(
            burn_rate(sum.unavailable, sum.requests, 1 - goal.availability));
    }
    return points;
}

void write_plot(std::ostream& out, const json& points)
{
    constexpr double step = 10;
    constexpr double height = 80;
    double max_rate = 1;
    for (const auto& point : points)
        max_rate = std::max(max_rate, point.get<double>());
    out << "<svg width=\"620\" height=\"90\"><rect width=\"600\" "
           "height=\"82\" fill=\"#f4f4f4\"/><polyline fill=\"none\" "
           "stroke=\"#a03050\" points=\"";
    double x = 0;
    for (const auto& point : points)
    {
        out << x << ',' << height - point.get<double>() / max_rate * height + 1
            << ' ';
        x += step;
    }
    out << "\"/></svg>";
}

std::string to_html(const json& report)
{
    std::ostringstream out;
    out << "<!doctype html><meta charset=\"utf-8\"><title>Service-level "
           "burn</title><style>body{font-family:sans-serif}td,th{padding:"
           "4px 12px;text-align:right}</style><h1>Service-level burn</h1>"
           "<p>1 means that the error budget is used up exactly as fast as "
           "the objective allows.</p>";
    for (const auto& [name, row] : report.items())
    {
        out << "<h2>" << name << "</h2><table><tr><th>window<th>requests"
            << "<th>availability<th>first token<th>between tokens</tr>";
        for (const char* const window : {"short", "long"})
        {
            const auto& values = row[window];
            out << "<tr><td>" << window << "<td>" << values["requests"]
                << "<td>" << values["availability"] << "<td>"
                << values["first_token"] << "<td>" << values["between_tokens"]
                << "</tr>";
        }
        out << "</table><p>availability burn by minute, the last hour</p>";
        write_plot(out, row["by_minute"]);
    }
    return out.str();
}

void print(std::ostream& out, const json& report)
{
    for (const auto& [name, row] : report.items())
        for (const char* const window : {"short", "long"})
            out << name << " (" << window
                << " window): " << row[window]["requests"]
                << " requests, burn: availability "
                << row[window]["availability"] << ", first token "
                << row[window]["first_token"] << ", between tokens "
                << row[window]["between_tokens"] << '\n';
}

} // namespace

command_exit report_burn(const command_context& context)
{
    auto api = make_platform_client(context.options);
    const auto set = read_published(api);
    if (!set)
        return fail(context, set.error());
    std::map<std::string, minutes_t> counts;
    for (const auto& address : context.options.routers)
    {
        const auto page = read_admin(address, "/objectives");
        if (!page)
            return fail(context, page.error());
        add_counts(counts, json::parse(*page, nullptr, false));
    }
    const auto current_minute = minute_now();
    json report = json::object();
    for (const auto& [name, goal] : set->objects.objectives)
        report[name] = {
            {"short",
             burn_rates(goal,
                        sum_since(counts[name],
                                  current_minute - short_window_minutes + 1))},
            {"long", burn_rates(goal, sum_since(counts[name],
                                                current_minute -
                                                    long_window_minutes + 1))},
            {"by_minute", plot_points(goal, counts[name], current_minute)}};
    if (!context.options.html.empty())
        std::ofstream(context.options.html) << to_html(report);
    if (context.options.json)
        context.out << report.dump() << '\n';
    else
        print(context.out, report);
    return command_exit::done;
}

} // namespace rhubarbgrade
