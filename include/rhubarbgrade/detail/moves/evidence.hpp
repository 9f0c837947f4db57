#pragma once

#include <cstdint> // uint64_t
#include <map>     // map
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief Decaying sums over the requests that one version answered.
struct sample_sums
{
    double requests = 0;
    double errors = 0;
    double log_latency = 0;        ///< sum of the logarithms of seconds
    double log_latency_square = 0; ///< sum of their squares
    double timed = 0;              ///< requests with a latency

    sample_sums& operator+=(const sample_sums& other);
};

/// @brief Both sides of a move on one route.
struct route_evidence
{
    sample_sums from;
    sample_sums to;
    sample_sums to_all;    ///< of the new version, without decay
    sample_sums to_recent; ///< of the new version, over a few seconds
};

/// @brief Evidence of one router on one move, by route.
using move_evidence_t = std::map<std::string, route_evidence>;

/// @brief Adds one answered request.
/// @param[in,out] sums   the sums
/// @param[in] good       whether it was answered well
/// @param[in] latency_s  seconds to the first byte, below 0 if there was none
void add_sample(sample_sums& sums, bool good, double latency_s);

/// @brief Adds one answered request to a side.
/// @param[in,out] sides  both sides of the route
/// @param[in] to         whether the new version answered
void add_sample(route_evidence& sides, bool to, bool good, double latency_s);

/// @brief Lets time pass: old samples lose weight by a half-life of 30 s, the
///        recent ones by one of 3 s.
void decay(move_evidence_t& evidence, double seconds);

/// @brief Adds another router's evidence.
void merge(move_evidence_t& sum, const move_evidence_t& other);

} // namespace rhubarbgrade
