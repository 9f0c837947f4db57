#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp>       // milliseconds
#include <rhubarbgrade/detail/fleet/move_order.hpp> // order_state
#include <rhubarbgrade/detail/moves/evidence.hpp>   // move_evidence_t

namespace rhubarbgrade
{

/// @brief How a trial of a new version is paced.
struct trial_policy
{
    double share = 0.03;       ///< of a service's requests, while on trial
    double first_share = 0.12; ///< until there are the first samples
    double first_samples = 20; ///< well under the slack that is allowed
    milliseconds switch_before{750}; ///< end of the limit at which all move
    milliseconds finish_before{400}; ///< at which the move is reported done
};

/// @brief What is to be done with a move now.
struct trial_step
{
    double target_share = 0;
    order_state state = order_state::running; ///< to be written if not running
    std::string reason;
};

/// @brief Decides the next step of a move.
///
/// A version may turn bad late or under load only, so it gets a small share
/// until shortly before the limit, then everything for a moment, and only
/// then is the move reported as done, which ends the old version.
/// @param[in] evidence  of all hosts
/// @param[in] elapsed   since the order was first seen
/// @param[in] limit     by when the order wants the move ended
trial_step decide_trial(const move_evidence_t& evidence, milliseconds elapsed,
                        milliseconds limit, const trial_policy& policy);

} // namespace rhubarbgrade
