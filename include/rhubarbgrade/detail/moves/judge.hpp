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
/// verdict bad, and so do all routes together, where each is compared with
/// itself: a verdict takes as many requests on many routes as on one. A good
/// verdict is reached over all routes together.
/// @param[in] plan      the move, for its tolerances
/// @param[in] evidence  merged evidence of all hosts
judgement judge(const move& plan, const move_evidence_t& evidence);

/// @brief Error rate to expect of a version that fails as often on each route
///        as the old one, weighted by the new version's requests.
/// @param[in] evidence  merged evidence of all hosts
/// @param[in] side      the sums of the new version that give the weights
double expected_error_rate(const move_evidence_t& evidence,
                           sample_sums route_evidence::*side);

} // namespace rhubarbgrade
