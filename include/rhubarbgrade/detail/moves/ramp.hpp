#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp>     // wall_time_t
#include <rhubarbgrade/detail/config/objects.hpp> // move
#include <rhubarbgrade/detail/moves/judge.hpp>    // verdict

namespace rhubarbgrade
{

/// @brief Where a move stands.
enum class move_state
{
    pending,    ///< before its start
    ramping,    ///< traffic is moving
    late,       ///< past its deadline without the evidence to finish
    done,       ///< all traffic goes to the new version; final
    taken_back, ///< none does, for a fault; final
};

/// @brief The name of a state in status and messages.
const char* to_string(move_state state);

/// @brief Progress of one move on one router.
struct move_progress
{
    move_state state = move_state::pending;
    double share = 0;      ///< of the service's requests to the new version
    wall_time_t stepped{}; ///< when the share last rose
    std::string reason;    ///< why it was taken back
};

/// @brief Advances a move by one tick.
///
/// The unproved version receives at most its cap. A proved one doubles its
/// share from step to step, so that each load is seen before the next, up to
/// the line that ends well before the deadline.
/// @param[in] plan   the move
/// @param[in] before its progress; done and taken back are kept
/// @param[in] found  the judgement of the pooled evidence
/// @param[in] now    the time of day
/// @return its progress now
move_progress advance(const move& plan, const move_progress& before,
                      const judgement& found, wall_time_t now);

/// @brief Merges what another router knows: taken back wins over everything,
///        done over all else.
void merge(move_progress& mine, move_state theirs, const std::string& reason);

/// @brief Names a move together with its content: an edited move is another.
std::string move_key(const move& plan);

} // namespace rhubarbgrade
