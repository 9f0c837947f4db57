#pragma once

#include <cstdint> // uint64_t
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

/// @brief State of a move in the store.
enum class order_state
{
    running,
    succeeded, ///< all traffic goes to the target; final
    reverted,  ///< rolled back; final
};

/// @brief An order in the store to move a service's traffic to another version.
struct move_order
{
    std::string service;
    std::string target;    ///< the version to move to
    milliseconds limit{0}; ///< time within which the move must end
    order_state state = order_state::running;
    std::uint64_t revision = 0; ///< of the object, for conditional writes
    std::uint64_t created = 0;  ///< revision at which the order was created
};

} // namespace rhubarbgrade
