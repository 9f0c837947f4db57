#include "pool_endpoint.hpp"

#include <chrono> // seconds

namespace rhubarbgrade
{

namespace
{

/// Prompt parts stored per endpoint; about as many as an engine caches.
constexpr std::size_t max_parts = 256;

/// Time after which an engine has probably evicted a part from its cache.
constexpr std::chrono::seconds part_lifetime{20};

} // namespace

void recent_prompt_parts::record(std::uint64_t part, time_point_t now)
{
    const auto found = m_entries.find(part);
    if (found != m_entries.end())
    {
        m_order.splice(m_order.begin(), m_order, found->second.position);
        found->second.last_read = now;
        return;
    }
    m_order.push_front(part);
    m_entries[part] = {now, m_order.begin()};
    if (m_entries.size() > max_parts)
    {
        m_entries.erase(m_order.back());
        m_order.pop_back();
    }
}

bool recent_prompt_parts::contains(std::uint64_t part, time_point_t now) const
{
    const auto found = m_entries.find(part);
    return found != m_entries.end() &&
           now - found->second.last_read < part_lifetime;
}

} // namespace rhubarbgrade
