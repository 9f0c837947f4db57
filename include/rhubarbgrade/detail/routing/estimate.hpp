#pragma once

#include <cstddef> // size_t

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

/// @brief Inputs for the estimate of the wait for a slot.
struct queue_state
{
    std::size_t waiting = 0; ///< requests ahead in the queue
    std::size_t slots = 0;   ///< this router's slots for the service
    double service_ms = 0;   ///< mean time that a request holds a slot
};

/// @brief Estimates the wait of a new request for a slot; 0 without slots.
milliseconds expected_wait(const queue_state& state);

/// @brief Whether to refuse a request at once, because its estimated wait
///        exceeds @a limit.
bool refuse_early(const queue_state& state, milliseconds limit);

} // namespace rhubarbgrade
