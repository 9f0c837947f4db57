#pragma once

#include <cstddef> // size_t

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

/// @brief What the wait for a slot is estimated from.
struct queue_state
{
    std::size_t waiting = 0; ///< requests ahead in the queue
    std::size_t slots = 0;   ///< this router's slots for the service
    double service_ms = 0;   ///< mean time a request holds a slot
};

/// @brief Estimates the wait for a slot.
milliseconds expected_wait(const queue_state& state);

/// @brief Whether to refuse at once, since the wait would pass its limit.
bool refuse_early(const queue_state& state, milliseconds limit);

} // namespace rhubarbgrade
