#pragma once

#include <chrono>  // milliseconds, steady_clock, system_clock
#include <compare> // strong_ordering
#include <cstdint> // uint64_t
#include <string>  // string

namespace rhubarbgrade
{

/// @brief A number of model tokens, the unit of budgets and bills.
using token_count_t = std::uint64_t;

/// @brief A time on the monotonic clock of this host.
using time_point_t = std::chrono::steady_clock::time_point;

/// @brief Wall-clock time, for schedules that several hosts share.
using wall_time_t = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;

/// @brief The number of a published configuration; increases with each one.
using generation_t = std::uint64_t;

/// @brief Identifies a ledger by its host and one incarnation of that host.
struct ledger_id
{
    std::string host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ledger_id&) const = default; // NOLINT
};

/// @brief Formats @a id as "host.incarnation".
std::string to_string(const ledger_id& id);

/// @brief Parses the text of @ref to_string.
/// @return the id; its host is empty if the text is malformed
ledger_id parse_ledger_id(std::string_view text);

} // namespace rhubarbgrade
