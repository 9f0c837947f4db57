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

/// @brief Outcome and latencies of one request as its caller saw them.
struct served_request
{
    std::string customer;
    std::string service;
    bool good = false;            ///< answered in full, without an error
    double first_token_s = -1;    ///< below 0 if there was none
    double between_tokens_s = -1; ///< mean; below 0 if there were too few
};

/// @brief Requests of one minute under one objective, and those among them that
///        missed a target of it.
struct minute_counts
{
    std::uint64_t requests = 0;
    std::uint64_t unavailable = 0; ///< no answer in full, or an error
    std::uint64_t first_token_late = 0;
    std::uint64_t between_tokens_late = 0;
};

/// @brief Counts requests and missed targets for each objective and minute.
///
/// Keeps the last six hours. Thread-safe.
class objective_log
{
public:
    /// @brief Counts a request under every objective that covers it.
    void note(const object_set& objects, const served_request& request,
              wall_time_t now);

    /// @brief All counts as JSON text: by objective and minute since 1970, an
    ///        array of the fields of @ref minute_counts in their order.
    std::string text() const;

private:
    using minutes_t = std::map<std::int64_t, minute_counts>;

    mutable std::mutex m_mutex;
    std::map<std::string, minutes_t> m_counts;
};

} // namespace rhubarbgrade
