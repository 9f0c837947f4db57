#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp>     // wall_time_t
#include <rhubarbgrade/detail/config/objects.hpp> // move
#include <rhubarbgrade/detail/moves/judge.hpp>    // verdict

namespace rhubarbgrade
{

/// @brief State of a move, the gradual shift of traffic to a new version.
enum class move_state
{
    pending,    ///< before its start
    ramping,    ///< traffic is being shifted
    late,       ///< past its deadline, without the evidence to finish
    done,       ///< all traffic goes to the new version; final
    taken_back, ///< rolled back after a fault; final
};

/// @brief The name of a state in status reports and messages.
const char* to_string(move_state state);

/// @brief Progress of one move on one router.
struct move_progress
{
    move_state state = move_state::pending;
    double share = 0;        ///< share of requests sent to the new version
    wall_time_t last_step{}; ///< when the share last rose
    std::string reason;      ///< reason for a rollback, else empty
};

/// @brief Advances a move; called periodically.
///
/// Without a good verdict, the new version receives at most
/// move::unproved_share. With one, its share at most doubles from step to step,
/// so that each load is observed before the next, and stays below a linear ramp
/// that reaches all traffic well before the deadline.
/// @param[in] plan    the move
/// @param[in] before  its progress so far; final states are kept
/// @param[in] judged  the judgement of the merged evidence
/// @param[in] now     the time of day
/// @return the new progress
move_progress advance(const move& plan, const move_progress& before,
                      const judgement& judged, wall_time_t now);

/// @brief Merges a final state that another host reports: rolled back takes
///        precedence over done, done over the states that are not final.
void merge(move_progress& mine, move_state reported, const std::string& reason);

/// @brief Identifies a move by its name and a hash of its content, so that an
///        edited move counts as a new one.
std::string move_key(const move& plan);

} // namespace rhubarbgrade
