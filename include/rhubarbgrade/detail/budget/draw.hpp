#pragma once

#include <chrono>  // seconds
#include <cstddef> // size_t

#include <rhubarbgrade/detail/base/types.hpp> // token_count_t

namespace rhubarbgrade
{

/// @brief What bounds the tokens that a host holds ahead of its demand.
struct draw_policy
{
    std::chrono::seconds horizon{4 * 3600}; ///< demand to be held ahead
    token_count_t smallest = 10000;         ///< least worth a write, tokens
    double solo_share = 0.2; ///< part of a draw that the holder keeps alone
};

/// @brief What is known when a draw is decided.
struct draw_state
{
    token_count_t free = 0;   ///< not granted to any host, tokens
    token_count_t held = 0;   ///< free in this host's ledger, tokens
    token_count_t needed = 0; ///< asked for by a waiting request, tokens
    double demand = 0;        ///< recent use on this host, tokens a second
    std::size_t holders = 1;  ///< hosts that may draw on the budget
};

/// @brief Decides how much to draw from a customer's free balance.
///
/// The target is the demand over the horizon, at least the smallest draw; a
/// draw takes at most a fair part of the free balance, so that no host empties
/// it, but always what a waiting request needs if the balance covers it.
/// @return tokens to draw, 0 for none; never more than the free balance
token_count_t draw_amount(const draw_policy& policy, const draw_state& state);

/// @brief Decides how much of a holding may go to a host that asks.
/// @param[in] policy  bounds
/// @param[in] state   this host's view of the account; `needed` is the asker's
/// @return tokens to give up: what the asker needs as far as it is held, and a
///         part of what this host will not need itself in the next seconds
token_count_t spare_amount(const draw_policy& policy, const draw_state& state);

/// @brief Decides how many tokens to give back because nobody here uses them.
/// @return the part of the holding above twice the target, else 0
token_count_t surplus_amount(const draw_policy& policy,
                             const draw_state& state);

/// @brief A decaying average of a rate.
struct demand_rate
{
    double per_second = 0;
    time_point_t updated{};
};

/// @brief Adds use to a rate and lets it decay by the time since its update.
/// @param[in,out] rate  the average
/// @param[in] tokens    use, 0 to let time pass only
/// @param[in] now       the time
void update(demand_rate& rate, token_count_t tokens, time_point_t now);

} // namespace rhubarbgrade
