#pragma once

#include <string> // string

#include <rhubarbgrade/detail/config/objects.hpp> // move
#include <rhubarbgrade/detail/moves/evidence.hpp> // move_evidence_t

namespace rhubarbgrade
{

/// @brief The conclusion from the evidence on a new version.
enum class verdict
{
    inconclusive, ///< not enough evidence
    good,         ///< no worse than the old version, within the tolerances
    bad           ///< worse than the old version
};

/// @brief A verdict with its reason.
struct judgement
{
    verdict conclusion = verdict::inconclusive;
    std::string reason; ///< empty unless the verdict is bad
};

/// @brief Compares the new version of a move with the old one.
///
/// The error rates are compared by a sequential probability ratio test, the
/// latencies by Welch's t-test on their logarithms. One bad route makes the
/// verdict bad; a good verdict is reached over all routes together.
/// @param[in] plan      the move, for its tolerances
/// @param[in] evidence  merged evidence of all hosts
judgement judge(const move& plan, const move_evidence_t& evidence);

} // namespace rhubarbgrade
