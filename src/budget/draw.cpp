#include <rhubarbgrade/detail/budget/draw.hpp>

#include <algorithm> // clamp, max, min
#include <chrono>    // duration
#include <cmath>     // exp

namespace rhubarbgrade
{
namespace
{

/// Time in which the average of the demand decays to 1/e, seconds.
constexpr double demand_decay_s = 120;

/// Time for which a host that gives tokens away keeps its own demand, seconds.
constexpr double own_reserve_s = 30;

/// Multiple of the target above which a holding is reduced to the target.
constexpr token_count_t surplus_factor = 4;

/// Divisor of the smallest draw: a draw in advance below the quotient is not
/// worth a write.
constexpr token_count_t min_draw_divisor = 8;

token_count_t target(const draw_policy& policy, const draw_state& state)
{
    const double ahead =
        state.demand * static_cast<double>(policy.horizon.count());
    return std::max(policy.smallest_draw, static_cast<token_count_t>(ahead));
}

} // namespace

token_count_t draw_amount(const draw_policy& policy, const draw_state& state)
{
    const auto target_holding = std::max(target(policy, state), state.needed);
    const bool enough =
        state.held >= state.needed && state.held * 2 >= target_holding;
    if (enough || state.free == 0)
        return 0;
    const auto missing =
        target_holding > state.held ? target_holding - state.held : 0;
    const auto fair_share =
        state.free / (2 * std::max<std::size_t>(1, state.holders));
    const auto urgent =
        state.needed > state.held ? state.needed - state.held : 0;
    auto ahead = std::min(missing, fair_share);
    if (ahead < policy.smallest_draw / min_draw_divisor)
        ahead = 0;
    const auto amount = std::max(urgent, ahead);
    return std::min(amount, state.free);
}

token_count_t spare_amount(const draw_policy& policy, const draw_state& state)
{
    // A waiting request of the other host has priority over future requests of
    // this one.
    const auto requested = std::min(state.needed, state.held);
    const auto own_reserve =
        static_cast<token_count_t>(state.demand * own_reserve_s);
    const auto spare = state.held > own_reserve ? state.held - own_reserve : 0;
    return std::max(requested, std::min(spare / 2, policy.smallest_draw));
}

token_count_t surplus_amount(const draw_policy& policy, const draw_state& state)
{
    const auto target_tokens = target(policy, state);
    if (state.held <= surplus_factor * target_tokens)
        return 0;
    return state.held - target_tokens;
}

void update(demand_rate& rate, token_count_t tokens, time_point_t now)
{
    if (rate.updated == time_point_t{})
        rate.updated = now;
    const std::chrono::duration<double> passed = now - rate.updated;
    rate.per_second *= std::exp(-passed.count() / demand_decay_s);
    rate.per_second += static_cast<double>(tokens) / demand_decay_s;
    rate.updated = now;
}

} // namespace rhubarbgrade
