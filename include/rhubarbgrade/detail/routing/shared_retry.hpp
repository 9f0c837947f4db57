#pragma once

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // uint32_t

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief The bound on retries that all hosts share, and this host's part.
struct shared_retry_limit
{
    double ratio = 0.2;         ///< retries for each request
    double slack = 50;          ///< retries of all hosts beside the ratio
    milliseconds window{10000}; ///< sliding span in which they are counted
    std::size_t hosts = 1;      ///< that share the slack
};

/// @brief Requests and retries of one service in a sliding window.
struct retry_counts
{
    static constexpr std::size_t slices = 20;

    struct slice
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    std::array<slice, slices> ring{};
    std::int64_t newest = 0; ///< number of the newest slice
};

/// @brief Counts a first attempt.
void note_first(retry_counts& counts, const shared_retry_limit& limit,
                time_point_t now);

/// @brief Takes one retry if the host's part of the limit allows it.
/// @return whether the request may be sent once more
bool take_retry(retry_counts& counts, const shared_retry_limit& limit,
                time_point_t now);

} // namespace rhubarbgrade
