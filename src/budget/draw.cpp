#include <rhubarbgrade/detail/budget/draw.hpp>

#include <algorithm> // clamp, max, min
#include <chrono>    // duration
#include <cmath>     // exp

namespace rhubarbgrade
{
namespace
{

/// Time over which the average of the demand decays to 1/e, seconds.
constexpr double demand_decay_s = 120;

/// A host that gives tokens away keeps its own demand of this long, seconds.
constexpr double kept_back_s = 30;

/// A holding above this many targets is given back in part.
constexpr token_count_t surplus_factor = 4;

/// A draw ahead of need below this part of the smallest one is not worth it.
constexpr token_count_t least_part = 8;

token_count_t target(const draw_policy& policy, const draw_state& state)
{
    const double ahead =
        state.demand * static_cast<double>(policy.horizon.count());
    return std::max(policy.smallest, static_cast<token_count_t>(ahead));
}

} // namespace

token_count_t draw_amount(const draw_policy& policy, const draw_state& state)
{
    const auto wanted = std::max(target(policy, state), state.needed);
    const bool enough = state.held >= state.needed && state.held * 2 >= wanted;
    if (enough || state.free == 0)
        return 0;
    const auto missing = wanted > state.held ? wanted - state.held : 0;
    const auto fair =
        state.free / (2 * std::max<std::size_t>(1, state.holders));
    const auto urgent =
        state.needed > state.held ? state.needed - state.held : 0;
    auto ahead = std::min(missing, fair);
    if (ahead < policy.smallest / least_part)
        ahead = 0;
    const auto amount = std::max(urgent, ahead);
    return std::min(amount, state.free);
}

token_count_t spare_amount(const draw_policy& policy, const draw_state& state)
{
    // A request that waits now goes before those that may come here.
    const auto now = std::min(state.needed, state.held);
    const auto kept = static_cast<token_count_t>(state.demand * kept_back_s);
    const auto spare = state.held > kept ? state.held - kept : 0;
    return std::max(now, std::min(spare / 2, policy.smallest));
}

token_count_t surplus_amount(const draw_policy& policy, const draw_state& state)
{
    const auto kept = target(policy, state);
    if (state.held <= surplus_factor * kept)
        return 0;
    return state.held - kept;
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
