#pragma once

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

// Constants of the calls on the escrow account, for the files of escrow_keeper.

namespace rhubarbgrade::escrow_calls
{

constexpr const char* book_kind = "escrow";
constexpr const char* book_name = "main";

/// The store usually responds within 4 ms, and a holding covers at least 3 s
/// of usage.
constexpr milliseconds call_timeout{800};

/// Longest interval between two checks of the holdings. Each write is charged
/// for, so a draw covers several seconds of usage.
constexpr milliseconds max_check_interval{400};

/// Delay before a failed call is repeated; it doubles with each further one up
/// to a bound, since a store that refuses charges for the calls, too. Half of
/// it is random, so that hosts don't call at the same moment.
constexpr milliseconds retry_delay{150};
constexpr milliseconds max_retry_delay{2000};

} // namespace rhubarbgrade::escrow_calls
