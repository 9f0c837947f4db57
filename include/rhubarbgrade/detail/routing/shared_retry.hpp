#pragma once

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // uint32_t

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief The retry limit that all hosts share.
struct shared_retry_limit
{
    double ratio = 0.2;         ///< retries allowed per request
    double slack = 50;          ///< retries of all hosts allowed on top of it
    milliseconds window{10000}; ///< sliding window of the counts
    std::size_t hosts = 1;      ///< hosts that share the slack equally
};

/// @brief Requests and retries of one service in a sliding window.
struct retry_counts
{
    /// @brief Number of slices that the window is divided into.
    static constexpr std::size_t slices = 20;

    /// @brief Counts of one slice of the window.
    struct slice
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    std::array<slice, slices> ring{};
    std::int64_t newest = 0; ///< newest slice, counted from the clock's epoch
};

/// @brief Counts the first attempt of a request.
void count_first_attempt(retry_counts& counts, const shared_retry_limit& limit,
                         time_point_t now);

/// @brief Counts a retry if this host's share of the limit allows it.
/// @return whether the retry is allowed
bool acquire_retry(retry_counts& counts, const shared_retry_limit& limit,
                   time_point_t now);

} // namespace rhubarbgrade
