#include "crash_pool.hpp"

#include <algorithm> // all_of, max, min
#include <chrono>    // duration_cast, hours, seconds
#include <utility>   // move

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

#include <spdlog/spdlog.h> // info, warn

namespace rhubarbgrade
{

namespace
{

/// Time for which a crash counts.
constexpr std::chrono::seconds crash_retention{60};

/// Time after which a quarantine ends, whatever its trials have shown.
constexpr std::chrono::hours quarantine_time{1};

/// Time for which a release is published, so that all peers receive it.
constexpr std::chrono::seconds release_retention{60};

/// Time in which the reports of other hosts on a crash arrive.
constexpr milliseconds settle_time{200};

/// Time in which they arrive even if two heartbeats are lost. A release ends a
/// quarantine at all hosts, so it takes more certainty than a quarantine.
constexpr milliseconds confirm_time{1500};

/// Time for which an observation is published, in case that heartbeats are
/// lost.
constexpr std::chrono::seconds report_time{5};

/// Tolerance for the times of the same event at two hosts.
constexpr std::chrono::seconds clock_tolerance{1};

/// Most suspects published at a time, which take about 6 KB.
constexpr std::size_t max_shared_suspects = 256;

milliseconds age_of(time_point_t at, time_point_t now)
{
    return std::chrono::duration_cast<milliseconds>(
        std::max(now - at, time_point_t::duration::zero()));
}

} // namespace

crash_pool::crash_pool(std::string host) : m_host(std::move(host))
{
}

std::set<std::uint64_t> crash_pool::in_quarantine() const
{
    std::set<std::uint64_t> ids;
    for (const auto& [id, each] : m_quarantine)
        if (!each.released)
            ids.insert(id);
    return ids;
}

crash_records_t crash_pool::crashes_before(time_point_t latest) const
{
    auto crashes = m_crashes;
    std::erase_if(crashes,
                  [latest](const auto& each)
                  {
                      return each.second.at > latest;
                  });
    return crashes;
}

void crash_pool::update_quarantine(time_point_t now)
{
    // A quarantine that rests on the reports of a few hosts can turn out wrong
    // when the others arrive. Later crashes may still charge the suspect: the
    // older ones alone may have another cause in common.
    const auto confirmed = crashes_before(now - confirm_time);
    const auto settled = crashes_before(now - settle_time);
    const auto confirmed_causes = find_crash_causes(confirmed, {});
    const auto settled_causes = find_crash_causes(settled, {});
    for (const auto id : in_quarantine())
        if (is_exonerated(id, confirmed, confirmed_causes) &&
            is_exonerated(id, settled, settled_causes))
            release(id, now);
    for (const auto id : find_crash_causes(settled, in_quarantine()))
    {
        m_quarantine[id] = {now, false, {}};
        spdlog::warn("event=quarantined suspect={:x} crashes={}", id,
                     m_crashes.size());
    }
}

void crash_pool::release(std::uint64_t suspect, time_point_t now)
{
    const auto found = m_quarantine.find(suspect);
    if (found == m_quarantine.end() || found->second.released)
        return;
    found->second.released = true;
    found->second.released_at = now;
    spdlog::info("event=quarantine_released suspect={:x} age_ms={}", suspect,
                 age_of(found->second.since, now).count());
}

void crash_pool::record_crash(std::uint64_t process,
                              const crash_suspects_t& suspects,
                              time_point_t now)
{
    auto [found, is_new] = m_crashes.try_emplace(process);
    if (is_new)
        found->second.at = now;
    for (const auto& [id, suspect] : suspects)
    {
        found->second.suspects.try_emplace(id, suspect);
        m_own_reports[{process, id}] = now;
    }
}

void crash_pool::clear_records(std::uint64_t suspect, time_point_t now)
{
    for (auto& [process, crash] : m_crashes)
    {
        const auto found = crash.suspects.find(suspect);
        if (found == crash.suspects.end() || found->second.cleared)
            continue;
        found->second.cleared = true;
        m_own_reports[{process, suspect}] = now;
    }
}

void crash_pool::clear(std::uint64_t suspect, time_point_t now)
{
    clear_records(suspect, now);
    release(suspect, now);
}

void crash_pool::merge_quarantine(const shared_quarantine& known,
                                  time_point_t now)
{
    const auto since = now - known.age;
    const auto found = m_quarantine.find(known.suspect);
    if (known.released)
    {
        if (found != m_quarantine.end() &&
            since + clock_tolerance >= found->second.since)
            release(known.suspect, now);
        return;
    }
    if (found != m_quarantine.end() &&
        (!found->second.released ||
         since < found->second.released_at + clock_tolerance))
        return;
    m_quarantine[known.suspect] = {since, false, {}};
}

void crash_pool::merge(const shared_crashes& known, time_point_t now)
{
    for (const auto& each : known.quarantined)
        merge_quarantine(each, now);
    for (const auto& each : known.crashes)
    {
        if (each.age > crash_retention || each.suspects.empty())
            continue;
        const auto at = now - each.age;
        auto [found, is_new] = m_crashes.try_emplace(each.process);
        auto& crash = found->second;
        crash.at = is_new ? at : std::min(crash.at, at);
        for (const auto& [id, suspect] : each.suspects)
            if (const auto [mine, added] =
                    crash.suspects.try_emplace(id, suspect);
                !added && suspect.cleared)
                mine->second.cleared = true;
    }
}

shared_crashes crash_pool::shared(time_point_t now) const
{
    shared_crashes all;
    for (const auto& [id, each] : m_quarantine)
        all.quarantined.push_back({id, age_of(each.since, now), each.released});
    std::map<std::uint64_t, shared_crash> reported;
    std::size_t suspects = 0;
    for (const auto& [key, at] : m_own_reports)
    {
        const auto& [process, id] = key;
        const auto found = m_crashes.find(process);
        if (found == m_crashes.end() || now - at > report_time)
            continue;
        // The record may have expired and come back from a peer.
        const auto suspect = found->second.suspects.find(id);
        if (suspect == found->second.suspects.end() ||
            ++suspects > max_shared_suspects)
            continue;
        auto& crash = reported[process];
        crash.process = process;
        crash.age = age_of(found->second.at, now);
        crash.suspects.insert(*suspect);
    }
    for (auto& [process, crash] : reported)
        all.crashes.push_back(std::move(crash));
    return all;
}

void crash_pool::update(time_point_t now)
{
    std::erase_if(m_crashes,
                  [now](const auto& each)
                  {
                      return now - each.second.at > crash_retention;
                  });
    std::erase_if(m_own_reports,
                  [now](const auto& each)
                  {
                      return now - each.second > report_time;
                  });
    std::erase_if(m_quarantine,
                  [now](const auto& each)
                  {
                      return each.second.released
                                 ? now - each.second.released_at >
                                       release_retention
                                 : now - each.second.since > quarantine_time;
                  });
    update_quarantine(now);
}

std::set<std::uint64_t> crash_pool::suspected() const
{
    auto ids = in_quarantine();
    for (const auto& [process, crash] : m_crashes)
        for (const auto& [id, suspect] : crash.suspects)
            if (!suspect.cleared)
                ids.insert(id);
    return ids;
}

bool crash_pool::makes_trial(std::uint64_t suspect,
                             std::span<const std::string> live_hosts) const
{
    const auto own = hash64(m_host, suspect);
    return std::all_of(live_hosts.begin(), live_hosts.end(),
                       [&](const auto& host)
                       {
                           return hash64(host, suspect) <= own;
                       });
}

std::map<std::uint64_t, int>
crash_pool::quarantined(std::span<const std::string> live_hosts,
                        time_point_t now) const
{
    std::map<std::uint64_t, int> trials;
    for (const auto id : in_quarantine())
    {
        const auto age = age_of(m_quarantine.at(id).since, now);
        trials[id] = makes_trial(id, live_hosts) ? quarantine_trials(age) : 0;
    }
    return trials;
}

} // namespace rhubarbgrade
