#pragma once

#include <chrono>  // milliseconds, steady_clock, system_clock
#include <compare> // strong_ordering
#include <cstdint> // uint64_t
#include <string>  // string

namespace rhubarbgrade
{

/// @brief A number of tokens, the unit of budgets and bills.
using token_count_t = std::uint64_t;

/// @brief A time on the monotonic clock of this process.
using time_point_t = std::chrono::steady_clock::time_point;

/// @brief A time of day, for schedules that several hosts share.
using wall_time_t = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;

/// @brief The number of a published configuration; only ever grows.
using generation_t = std::uint64_t;

/// @brief Names one ledger: a host and one of its incarnations.
struct ledger_id
{
    std::string host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ledger_id&) const = default; // NOLINT
};

/// @brief Writes @a id as "host.incarnation".
std::string to_string(const ledger_id& id);

/// @brief Reads what @ref to_string wrote; an empty host if it can't be read.
ledger_id parse_ledger_id(std::string_view text);

} // namespace rhubarbgrade
