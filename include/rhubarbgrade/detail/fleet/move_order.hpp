#pragma once

#include <cstdint> // uint64_t
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

/// @brief How far a move has come, as it stands in the store.
enum class order_state
{
    running,
    succeeded,
    reverted,
};

/// @brief A request to move a service's traffic to another version.
struct move_order
{
    std::string service;
    std::string target; ///< the version to move to
    milliseconds limit{0};
    order_state state = order_state::running;
    std::uint64_t revision = 0; ///< of the object, for conditional writes
    std::uint64_t created = 0;  ///< revision at which the order was made
};

} // namespace rhubarbgrade
