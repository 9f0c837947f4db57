#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp>       // milliseconds
#include <rhubarbgrade/detail/fleet/move_order.hpp> // order_state
#include <rhubarbgrade/detail/moves/evidence.hpp>   // move_evidence_t

namespace rhubarbgrade
{

/// @brief Traffic shares and timing of a trial of a new version.
struct trial_policy
{
    double share = 0.03;        ///< of a service's requests, during the trial
    double warmup_share = 0.12; ///< until @a first_samples are collected
    double first_samples = 20;  ///< well below the bound on exposed requests
    milliseconds switch_before{750}; ///< before the limit: shift all traffic
    milliseconds finish_before{400}; ///< before the limit: report success
};

/// @brief The next step of a move.
struct trial_step
{
    double target_share = 0; ///< of requests to the new version
    order_state state = order_state::running; ///< to be stored if final
    std::string reason;                       ///< of a final state, else empty
};

/// @brief Decides the next step of a move.
///
/// Faults may appear late or only under load. So the new version gets a small
/// share until shortly before the limit, then all traffic for a moment, and
/// only then is success reported, after which the old version is shut down.
/// @param[in] evidence  merged evidence of all hosts
/// @param[in] elapsed   time since the order was first seen
/// @param[in] limit     time within which the move has to end
trial_step decide_trial(const move_evidence_t& evidence, milliseconds elapsed,
                        milliseconds limit, const trial_policy& policy);

} // namespace rhubarbgrade
