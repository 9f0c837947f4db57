#include "crash_pool.hpp"

#include <chrono>  // seconds
#include <utility> // move

namespace rhubarbgrade
{

namespace
{

/// Crashes, summed over all hosts, at which a request is quarantined.
constexpr std::uint32_t quarantine_threshold = 3;

/// Time since a request's last crash after which its local count is dropped.
constexpr std::chrono::seconds crash_retention{60};

} // namespace

bool crash_pool::update_quarantine()
{
    crash_counts_t sums;
    for (const auto& [fingerprint, each] : m_local_counts)
        sums[fingerprint] += each.count;
    for (const auto& [peer, counts] : m_peer_counts)
        for (const auto& [fingerprint, count] : counts)
            sums[fingerprint] += count;
    std::set<std::uint64_t> over_threshold;
    for (const auto& [fingerprint, count] : sums)
        if (count >= quarantine_threshold)
            over_threshold.insert(fingerprint);
    if (over_threshold == m_quarantined)
        return false;
    m_quarantined = std::move(over_threshold);
    return true;
}

bool crash_pool::note(std::uint64_t fingerprint, time_point_t now)
{
    auto& entry = m_local_counts[fingerprint];
    ++entry.count;
    entry.last_crash = now;
    return update_quarantine();
}

bool crash_pool::set_peer_counts(const std::string& peer,
                                 const crash_counts_t& counts, time_point_t now)
{
    static_cast<void>(own(now)); // discards expired local counts
    auto& stored = m_peer_counts[peer];
    if (stored == counts)
        return false;
    stored = counts;
    return update_quarantine();
}

crash_counts_t crash_pool::own(time_point_t now)
{
    std::erase_if(m_local_counts,
                  [now](const auto& each)
                  {
                      return now - each.second.last_crash > crash_retention;
                  });
    crash_counts_t counts;
    for (const auto& [fingerprint, each] : m_local_counts)
        counts[fingerprint] = each.count;
    return counts;
}

} // namespace rhubarbgrade
