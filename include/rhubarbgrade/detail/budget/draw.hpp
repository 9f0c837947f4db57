#pragma once

#include <chrono>  // seconds
#include <cstddef> // size_t

#include <rhubarbgrade/detail/base/types.hpp> // token_count_t

namespace rhubarbgrade
{

/// @brief Bounds on the tokens that a host draws ahead of its demand.
struct draw_policy
{
    std::chrono::seconds horizon{4 * 3600}; ///< demand to cover in advance
    /// Tokens of the smallest draw in advance that is worth a write.
    token_count_t smallest_draw = 10000;
    double solo_share = 0.2; ///< share of a draw for the solo pool
};

/// @brief State of a customer's budget on this host, for decisions on draws.
struct draw_state
{
    token_count_t free = 0;   ///< not granted to any host, tokens
    token_count_t held = 0;   ///< unreserved in this host's ledger, tokens
    token_count_t needed = 0; ///< needed by a waiting request, tokens
    double demand = 0;        ///< recent use on this host, tokens per second
    std::size_t holders = 1;  ///< hosts that may draw on the budget
};

/// @brief Decides how much to draw from a customer's free balance.
///
/// The target is the demand over the horizon, at least the smallest draw. A
/// draw in advance takes at most a fair share of the free balance, so that no
/// host empties it. What a waiting request needs is drawn as far as the balance
/// covers it.
/// @return tokens to draw, 0 for none; never more than the free balance
token_count_t draw_amount(const draw_policy& policy, const draw_state& state);

/// @brief Decides how many tokens to give to another host that requests some.
/// @param[in] policy  bounds
/// @param[in] state   this host's state, with @a needed from the other host
/// @return tokens to give: what the other host needs as far as it is held here,
///         and a share of what this host won't need within the next seconds
token_count_t spare_amount(const draw_policy& policy, const draw_state& state);

/// @brief Decides how many unused tokens to return to the free balance.
/// @return the tokens above the target, or 0 unless the holding is several
///         times the target
token_count_t surplus_amount(const draw_policy& policy,
                             const draw_state& state);

/// @brief An exponentially decaying average of token use.
struct demand_rate
{
    double per_second = 0;  ///< tokens per second
    time_point_t updated{}; ///< of the last update
};

/// @brief Decays the average by the time since its last update and adds use.
/// @param[in,out] rate  the average
/// @param[in] tokens    tokens used, 0 for decay only
/// @param[in] now       the time
void update(demand_rate& rate, token_count_t tokens, time_point_t now);

} // namespace rhubarbgrade
