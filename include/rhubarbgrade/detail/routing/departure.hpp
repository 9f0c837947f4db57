#pragma once

#include <chrono>   // microseconds
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <vector>   // vector

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief What this host knows, by an endpoint's entry in the host list, of its
///        leaving.
struct departure_news
{
    /// When this host learnt that the endpoint is draining.
    std::optional<time_point_t> draining_at;
    /// When this host learnt that the entry was removed.
    std::optional<time_point_t> removed_at;

    /// When this host learnt that it leaves; empty if it has not.
    std::optional<time_point_t> leaving_since() const
    {
        return draining_at ? draining_at : removed_at;
    }
};

/// @brief The end of a connection to an endpoint, by its process or with it.
struct connection_end
{
    std::uint64_t number = 0; ///< unique for an endpoint
    time_point_t at{};        ///< when this host saw it
    /// It followed the last bytes of an answer at once, as when a process has
    /// sent all of it.
    bool follows_bytes = false;
};

/// @brief The latest ends of connections to one process.
class connection_ends
{
public:
    /// @brief Records an end, and forgets those of more than a second before.
    connection_end record(time_point_t at, bool follows_bytes);

    const std::vector<connection_end>& latest() const
    {
        return m_latest;
    }

private:
    std::vector<connection_end> m_latest;
    std::uint64_t m_count = 0;
};

/// @brief Signs that tell a process that has left from one that has crashed.
///
/// A refused connection shows that a process is gone, but not why.
struct departure_signs
{
    bool leaving = false; ///< its entry says so
    /// The entry said that it drains, and was removed after the answer's end.
    /// The entry of a crashed process lapses after some reports only.
    bool entry_removed = false;
    bool follows_bytes = false; ///< see connection_end
    /// Time from the answer's end to the next end of a connection to the
    /// process; below 0 if one had just ended before, empty if none has ended
    /// since. A process that leaves closes the connection of an answer before
    /// it exits; a crash closes all at one moment.
    std::optional<std::chrono::microseconds> outlived;
};

/// @brief Sums up what is known of the process whose connection has ended.
departure_signs find_signs(const departure_news& news,
                           const connection_ends& ends,
                           const connection_end& end);

/// @brief Whether the process had finished the answer, and then has left.
///
/// A process that isn't leaving has not. Else each sign alone may mislead: an
/// entry may have been removed, or may lapse, just as the process crashes; a
/// crash may hit the moment after an event; the kernel may be interrupted as it
/// closes the connections. So two of them are needed, or a time that no such
/// interruption takes.
bool has_departed(const departure_signs& signs);

/// @brief Whether later news of the endpoint's entry could still show that the
///        process has left.
bool may_have_departed(const departure_signs& signs, const departure_news& news,
                       const connection_end& end);

/// @brief Longest pause between the last bytes of an answer and the end of its
///        connection for the end to follow the bytes at once.
/// @param[in] duration  from the request to the last bytes
/// @param[in] reads     in which the bytes came
std::chrono::microseconds longest_tail(time_point_t::duration duration,
                                       std::uint64_t reads);

} // namespace rhubarbgrade
