#pragma once

#include <cstddef> // size_t

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

/// @brief How often each host writes bills and settles them, so that the
///        whole fleet stays within a fixed rate of writes.
struct write_pace
{
    milliseconds bills;  ///< between two batches of bills
    milliseconds settle; ///< between two rounds of settlement
};

/// @brief Works the pace out from the size of the fleet.
/// @param[in] hosts   hosts of the fleet
/// @param[in] shards  shards that a round of settlement writes
/// @param[in] least   the shortest time between two writes
write_pace pace_of(std::size_t hosts, std::size_t shards, milliseconds least);

} // namespace rhubarbgrade
