#pragma once

#include <chrono>  // minutes
#include <cstdint> // int64_t
#include <map>     // map
#include <mutex>   // mutex
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp> // wall_time_t

namespace rhubarbgrade
{

struct object_set;

/// @brief What one request was like for its caller.
struct served_request
{
    std::string customer;
    std::string service;
    bool good = false;            ///< answered well
    double first_token_s = -1;    ///< below 0 if there was none
    double between_tokens_s = -1; ///< mean; below 0 if there were too few
};

/// @brief Requests of one minute under an objective.
struct minute_counts
{
    std::uint64_t requests = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t first_token_late = 0;
    std::uint64_t between_tokens_late = 0;
};

/// @brief Counts, for each objective and minute, the requests that met it.
///
/// Keeps the last six hours. May be used from any thread.
class objective_log
{
public:
    /// @brief Counts a request under every objective that covers it.
    void note(const object_set& objects, const served_request& request,
              wall_time_t now);

    /// @brief All counts as JSON text: objective, minute since 1970, counts.
    std::string text() const;

private:
    using minutes_t = std::map<std::int64_t, minute_counts>;

    mutable std::mutex m_mutex;
    std::map<std::string, minutes_t> m_counts;
};

} // namespace rhubarbgrade
