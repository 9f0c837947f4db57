#include "revision_times.hpp"

#include <algorithm> // any_of, find_if, upper_bound
#include <cstddef>   // size_t
#include <iterator>  // prev

namespace rhubarbgrade
{

namespace
{

/// Shortest time between two entries that are kept.
constexpr milliseconds min_spacing{50};

/// Entries that are kept; with the spacing, at least the last three seconds.
constexpr std::size_t max_entries = 64;

} // namespace

void revision_times::record(std::uint64_t revision, time_point_t began)
{
    const bool known =
        std::any_of(m_entries.begin(), m_entries.end(),
                    [&](const auto& each)
                    {
                        return each.at >= began && each.revision <= revision;
                    });
    if (known)
        return;
    std::erase_if(m_entries,
                  [&](const auto& each)
                  {
                      return each.at <= began && each.revision >= revision;
                  });
    const auto next =
        std::upper_bound(m_entries.begin(), m_entries.end(), began,
                         [](time_point_t at, const entry& each)
                         {
                             return at < each.at;
                         });
    if (next != m_entries.begin() && began - std::prev(next)->at < min_spacing)
        return;
    m_entries.insert(next, {began, revision});
    if (m_entries.size() > max_entries)
        m_entries.erase(m_entries.begin());
}

std::optional<time_point_t>
revision_times::complete_until(std::uint64_t revision) const
{
    const auto found = std::find_if(m_entries.rbegin(), m_entries.rend(),
                                    [revision](const auto& each)
                                    {
                                        return each.revision <= revision;
                                    });
    if (found == m_entries.rend())
        return std::nullopt;
    return found->at;
}

std::optional<time_point_t> revision_times::latest() const
{
    if (m_entries.empty())
        return std::nullopt;
    return m_entries.back().at;
}

void revision_times::clear()
{
    m_entries.clear();
}

} // namespace rhubarbgrade
