#include <rhubarbgrade/detail/routing/estimate.hpp>

#include <chrono> // milliseconds

namespace rhubarbgrade
{

milliseconds expected_wait(const queue_state& state)
{
    if (state.slots == 0)
        return milliseconds(0);
    const double service_rounds = static_cast<double>(state.waiting + 1) /
                                  static_cast<double>(state.slots);
    return milliseconds(static_cast<long>(service_rounds * state.service_ms));
}

bool refuse_early(const queue_state& state, milliseconds limit)
{
    return expected_wait(state) > limit;
}

} // namespace rhubarbgrade
