#pragma once

#include <string> // string

#include <rhubarbgrade/detail/config/objects.hpp> // move
#include <rhubarbgrade/detail/moves/evidence.hpp> // move_evidence_t

namespace rhubarbgrade
{

/// @brief What the evidence says of a new version.
enum class verdict
{
    unproved,
    good,
    bad
};

/// @brief A verdict and, if bad, why.
struct judgement
{
    verdict is = verdict::unproved;
    std::string reason;
};

/// @brief Judges the new version of a move on each route.
///
/// Errors are judged by a sequential probability ratio test against the old
/// version's error rate, latencies by Welch's test on their logarithms. Bad on
/// one route is bad; good is good over all routes together.
/// @param[in] plan      the move, for its tolerances
/// @param[in] evidence  pooled evidence
judgement judge(const move& plan, const move_evidence_t& evidence);

} // namespace rhubarbgrade
