#include "pool_endpoint.hpp"

#include <chrono> // seconds

namespace rhubarbgrade
{

namespace
{

/// Parts remembered for each endpoint; about as many as an engine keeps.
constexpr std::size_t most_parts = 256;

/// After this time a part has probably yielded to others.
constexpr std::chrono::seconds part_lifetime{20};

} // namespace

void read_parts::note(std::uint64_t part, time_point_t now)
{
    const auto found = m_entries.find(part);
    if (found != m_entries.end())
    {
        m_order.splice(m_order.begin(), m_order, found->second.place);
        found->second.read = now;
        return;
    }
    m_order.push_front(part);
    m_entries[part] = {now, m_order.begin()};
    if (m_entries.size() > most_parts)
    {
        m_entries.erase(m_order.back());
        m_order.pop_back();
    }
}

bool read_parts::has(std::uint64_t part, time_point_t now) const
{
    const auto found = m_entries.find(part);
    return found != m_entries.end() && now - found->second.read < part_lifetime;
}

} // namespace rhubarbgrade
