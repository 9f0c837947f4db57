#pragma once

#include <cstddef> // size_t
#include <utility> // exchange

namespace rhubarbgrade
{

/// @brief Bounds the lines that a log gets of events that others cause.
class log_quota
{
public:
    explicit log_quota(std::size_t lines) : m_lines(lines)
    {
    }

    /// @brief Counts an event.
    /// @return whether it may be logged
    bool take()
    {
        return ++m_events <= m_lines;
    }

    /// @brief Begins another period.
    /// @return events of the last one that were not logged
    std::size_t renew()
    {
        const auto events = std::exchange(m_events, 0);
        return events > m_lines ? events - m_lines : 0;
    }

private:
    std::size_t m_lines;
    std::size_t m_events = 0;
};

} // namespace rhubarbgrade
