#pragma once

#include <cstddef> // size_t

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

/// @brief Intervals between the writes of one host, chosen so that the whole
///        fleet stays within a fixed rate of writes.
struct write_pace
{
    milliseconds bills;  ///< between batches of bills
    milliseconds settle; ///< between rounds of settlement
};

/// @brief Computes the intervals from the size of the fleet.
/// @param[in] hosts    number of hosts in the fleet
/// @param[in] shards   number of shards that a round of settlement writes
/// @param[in] minimum  shortest interval to return
write_pace pace_of(std::size_t hosts, std::size_t shards, milliseconds minimum);

} // namespace rhubarbgrade
