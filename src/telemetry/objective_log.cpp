#include <rhubarbgrade/detail/telemetry/objective_log.hpp>

#include <chrono> // duration, duration_cast, minutes
#include <mutex>  // lock_guard
#include <string> // string, to_string

#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/config/objects.hpp> // object_set

namespace rhubarbgrade
{
namespace
{

constexpr std::int64_t retention_minutes = 360;

double seconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

bool applies_to(const objective& goal, const served_request& request)
{
    return goal.service == request.service &&
           (goal.customer.empty() || goal.customer == request.customer);
}

void add_request(minute_counts& counts, const objective& goal,
                 const served_request& request)
{
    counts.requests++;
    counts.unavailable += request.good ? 0 : 1;
    if (request.first_token_s > seconds(goal.first_token))
        counts.first_token_late++;
    if (request.between_tokens_s > seconds(goal.between_tokens))
        counts.between_tokens_late++;
}

} // namespace

void objective_log::note(const object_set& objects,
                         const served_request& request, wall_time_t now)
{
    const auto minute =
        std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch())
            .count();
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, goal] : objects.objectives)
    {
        if (!applies_to(goal, request))
            continue;
        auto& by_minute = m_counts[name];
        add_request(by_minute[minute], goal, request);
        by_minute.erase(by_minute.begin(),
                        by_minute.lower_bound(minute - retention_minutes));
    }
}

std::string objective_log::text() const
{
    nlohmann::json document = nlohmann::json::object();
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, by_minute] : m_counts)
        for (const auto& [minute, counts] : by_minute)
            document[name][std::to_string(minute)] = {
                counts.requests, counts.unavailable, counts.first_token_late,
                counts.between_tokens_late};
    return document.dump();
}

} // namespace rhubarbgrade
