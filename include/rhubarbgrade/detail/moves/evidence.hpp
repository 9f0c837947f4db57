#pragma once

#include <cstddef> // size_t
#include <map>     // map
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief Sums over the requests that one version answered.
struct sample_sums
{
    double requests = 0;
    double errors = 0;
    double log_latency = 0;        ///< sum of ln(latency in seconds)
    double log_latency_square = 0; ///< sum of their squares
    double timed = 0;              ///< requests with a measured latency

    sample_sums& operator+=(const sample_sums& other);
};

/// @brief Samples of the old and the new version of a move on one route.
///
/// A move is a gradual shift of a service's traffic to another version.
struct route_evidence
{
    sample_sums from;      ///< old version, half-life 30 s
    sample_sums to;        ///< new version, half-life 30 s
    sample_sums to_all;    ///< new version, without decay
    sample_sums to_recent; ///< new version, half-life 3 s
};

/// @brief Evidence of one host on one move, by route.
using move_evidence_t = std::map<std::string, route_evidence>;

/// @brief Name of the sum of those routes that @ref limit_routes leaves out.
inline constexpr const char* other_routes = "other routes";

/// @brief Adds one answered request to the sums.
/// @param[in,out] sums   the sums
/// @param[in] good       whether it was answered without an error
/// @param[in] latency_s  seconds to the first byte, negative if none came
void add_sample(sample_sums& sums, bool good, double latency_s);

/// @brief Adds one answered request to the sums of the version that answered.
/// @param[in,out] sides    the evidence of the route
/// @param[in] new_version  whether the new version answered
void add_sample(route_evidence& sides, bool new_version, bool good,
                double latency_s);

/// @brief Reduces the weight of the samples by the decay of @a seconds.
void decay(move_evidence_t& evidence, double seconds);

/// @brief Adds another host's evidence.
void merge(move_evidence_t& sum, const move_evidence_t& other);

/// @brief The sums over all routes.
route_evidence total(const move_evidence_t& evidence);

/// @brief Keeps the routes with most requests and sums the others up as
///        @ref other_routes, so that no sample is lost.
///
/// Which routes are kept depends on the number of their requests only; a choice
/// by errors would bias the error rate of the sum over several hosts.
/// @param[in,out] evidence  the evidence of one host or of several
/// @param[in] max_bytes     approximate size of the result in a message
void limit_routes(move_evidence_t& evidence, std::size_t max_bytes);

} // namespace rhubarbgrade
