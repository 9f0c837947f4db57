#include <rhubarbgrade/detail/routing/departure.hpp>

#include <algorithm> // max, min
#include <cstddef>   // size_t

namespace rhubarbgrade
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// Ends that are kept of one process, in time and number.
constexpr milliseconds end_lifetime{1000};
constexpr std::size_t max_ends = 1024;

/// Connections that have ended so shortly before an answer may have ended with
/// it. The kernel closes those of one process in any order.
constexpr microseconds same_moment{5000};

/// Time that a process lives on after an answer if it exits because that was
/// the last one. A kernel that isn't interrupted closes the next connection
/// within some tens of microseconds.
constexpr microseconds shortest_exit{150};

/// Longer than a kernel takes to close the connections of a process on a
/// machine that is busy with others.
constexpr microseconds longest_crash{25000};

/// Share of the usual pause between two reads of an answer, and time, within
/// which its end follows its last bytes at once.
constexpr std::uint64_t tail_divisor = 50;
constexpr microseconds max_tail{2000};

} // namespace

connection_end connection_ends::record(time_point_t at, bool follows_bytes)
{
    if (m_latest.size() >= max_ends)
        m_latest.erase(m_latest.begin());
    std::erase_if(m_latest,
                  [at](const auto& each)
                  {
                      return at - each.at > end_lifetime;
                  });
    m_latest.push_back({++m_count, at, follows_bytes});
    return m_latest.back();
}

departure_signs find_signs(const departure_news& news,
                           const connection_ends& ends,
                           const connection_end& end)
{
    departure_signs signs;
    signs.leaving = news.leaving_since().has_value();
    signs.entry_removed = news.draining_at && *news.draining_at <= end.at &&
                          news.removed_at && *news.removed_at > end.at;
    signs.follows_bytes = end.follows_bytes;
    for (const auto& each : ends.latest())
    {
        // Another answer may end by itself at the same moment.
        if (each.number == end.number || each.follows_bytes)
            continue;
        const auto later = duration_cast<microseconds>(each.at - end.at);
        if (later >= -same_moment &&
            (!signs.outlived || later < *signs.outlived))
            signs.outlived = later;
    }
    return signs;
}

bool has_departed(const departure_signs& signs)
{
    if (!signs.leaving)
        return false;
    if (signs.outlived && *signs.outlived >= longest_crash)
        return true;
    const bool lived_on = signs.outlived && *signs.outlived >= shortest_exit;
    const int found = (signs.entry_removed ? 1 : 0) +
                      (signs.follows_bytes ? 1 : 0) + (lived_on ? 1 : 0);
    return found >= 2;
}

bool may_have_departed(const departure_signs& signs, const departure_news& news,
                       const connection_end& end)
{
    auto later = signs;
    later.leaving = true;
    later.entry_removed =
        signs.entry_removed ||
        (news.draining_at && *news.draining_at <= end.at && !news.removed_at);
    return has_departed(later);
}

microseconds longest_tail(time_point_t::duration duration, std::uint64_t reads)
{
    const auto pause = duration / std::max<std::uint64_t>(1, reads);
    return std::min(max_tail,
                    duration_cast<microseconds>(pause / tail_divisor));
}

} // namespace rhubarbgrade
