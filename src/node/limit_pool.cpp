#include "limit_pool.hpp"

#include <algorithm> // max, nth_element
#include <chrono>    // duration_cast, seconds
#include <utility>   // move

#include <spdlog/spdlog.h> // info

namespace rhubarbgrade
{

namespace
{

/// Time for which the end of a limit is published, in case that heartbeats are
/// lost.
constexpr std::chrono::seconds end_report_time{5};

/// Most limits published at a time, the last observed ones; they take 13 KB of
/// a heartbeat.
constexpr std::size_t max_shared = 400;

std::optional<milliseconds> age_of(time_point_t at, time_point_t now)
{
    if (at == time_point_t{})
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(
        std::max(now - at, time_point_t::duration::zero()));
}

/// Age of what was observed last.
milliseconds newest_age(const shared_limit& limit)
{
    auto newest = milliseconds::max();
    for (const auto& age :
         {limit.named_age, limit.unnamed_age, limit.rejected_age})
        if (age && *age < newest)
            newest = *age;
    return newest;
}

void keep_newest(std::vector<shared_limit>& limits)
{
    if (limits.size() <= max_shared)
        return;
    std::nth_element(limits.begin(), limits.begin() + max_shared, limits.end(),
                     [](const auto& left, const auto& right)
                     {
                         return newest_age(left) < newest_age(right);
                     });
    limits.resize(max_shared);
}

} // namespace

limit_pool::limit_pool(std::string host) : m_host(std::move(host))
{
}

void limit_pool::observe(const limit_observation& observation)
{
    auto& known = m_known[observation.process];
    const bool was_in_force = in_force(known);
    for (auto* each : {&m_observed[observation.process], &known})
    {
        if (observation.turned_away)
            each->rejected_at =
                std::max(each->rejected_at, observation.answered_at);
        if (observation.per_s)
            record_named(*each, *observation.per_s, observation.sent_at,
                         observation.answered_at);
        else
            record_unnamed(*each, observation.sent_at);
    }
    if (in_force(known) != was_in_force)
        spdlog::info("event={} process={:016x} per_s={} in_force={}",
                     observation.kind == limit_kind::requests
                         ? "request_limit"
                         : "brittle_endpoint",
                     observation.process, known.per_s, in_force(known));
}

void limit_pool::merge(std::span<const shared_limit> known, time_point_t now)
{
    for (const auto& each : known)
    {
        request_limit other{each.per_s, {}, {}, {}};
        if (each.rejected_age)
            other.rejected_at = now - *each.rejected_age;
        if (each.named_age)
            other.named_at = now - *each.named_age;
        if (each.unnamed_age)
            other.unnamed_at = now - *each.unnamed_age;
        rhubarbgrade::merge(m_known[each.process], other);
    }
}

std::vector<shared_limit> limit_pool::shared(time_point_t now) const
{
    std::vector<shared_limit> all;
    for (const auto& [process, limit] : m_observed)
        if (in_force(m_known.at(process)) ||
            now - limit.unnamed_at < end_report_time)
            all.push_back({process, limit.per_s, age_of(limit.named_at, now),
                           age_of(limit.unnamed_at, now),
                           age_of(limit.rejected_at, now)});
    keep_newest(all);
    return all;
}

void limit_pool::retain(const std::set<std::uint64_t>& processes)
{
    for (auto* limits : {&m_observed, &m_known})
        std::erase_if(*limits,
                      [&](const auto& each)
                      {
                          return !processes.contains(each.first);
                      });
}

std::map<std::uint64_t, request_limit> limit_pool::limits_in_force() const
{
    auto limits = m_known;
    std::erase_if(limits,
                  [](const auto& each)
                  {
                      return !in_force(each.second);
                  });
    return limits;
}

std::map<std::uint64_t, request_share>
limit_pool::shares(std::span<const std::string> live_hosts,
                   std::size_t all_hosts) const
{
    std::map<std::uint64_t, request_share> shares;
    for (const auto& [process, limit] : m_known)
        if (in_force(limit))
            shares[process] = share_of_limit(limit.per_s, process, m_host,
                                             live_hosts, all_hosts);
    return shares;
}

} // namespace rhubarbgrade
