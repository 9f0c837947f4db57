#include "crash_pool.hpp"

#include <chrono>  // seconds
#include <utility> // move

namespace rhubarbgrade
{

namespace
{

/// Crashes, seen by all hosts together, after which a request isn't run again.
constexpr std::uint32_t quarantine_crashes = 3;

/// How long a crash is remembered.
constexpr std::chrono::seconds memory{60};

} // namespace

bool crash_pool::update()
{
    crash_counts_t sums;
    for (const auto& [fingerprint, each] : m_own)
        sums[fingerprint] += each.count;
    for (const auto& [peer, counts] : m_peers)
        for (const auto& [fingerprint, count] : counts)
            sums[fingerprint] += count;
    std::set<std::uint64_t> found;
    for (const auto& [fingerprint, count] : sums)
        if (count >= quarantine_crashes)
            found.insert(fingerprint);
    if (found == m_quarantined)
        return false;
    m_quarantined = std::move(found);
    return true;
}

bool crash_pool::note(std::uint64_t fingerprint, time_point_t now)
{
    auto& mine = m_own[fingerprint];
    ++mine.count;
    mine.last = now;
    return update();
}

bool crash_pool::set_peer(const std::string& peer, const crash_counts_t& counts,
                          time_point_t now)
{
    static_cast<void>(own(now)); // drops what is long past
    auto& known = m_peers[peer];
    if (known == counts)
        return false;
    known = counts;
    return update();
}

crash_counts_t crash_pool::own(time_point_t now)
{
    std::erase_if(m_own,
                  [now](const auto& each)
                  {
                      return now - each.second.last > memory;
                  });
    crash_counts_t counts;
    for (const auto& [fingerprint, each] : m_own)
        counts[fingerprint] = each.count;
    return counts;
}

} // namespace rhubarbgrade
