#pragma once

#include <map>    // map
#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief Crash counts of requests, by fingerprint.
struct quarantine
{
    /// @brief Endpoint crashes while running one request.
    struct entry
    {
        int crashes = 0;
        time_point_t last{};
    };

    std::map<std::string, entry, std::less<>> entries;
};

/// @brief Number of crashes after which a request is not run again.
constexpr int quarantine_crashes = 2;

/// @brief Records that an endpoint crashed while it ran a request.
/// @return whether the request is quarantined
bool record_endpoint_crash(quarantine& state, const std::string& fingerprint,
                           time_point_t now);

/// @brief Quarantines a request that a peer has quarantined.
void mark_quarantined(quarantine& state, const std::string& fingerprint,
                      time_point_t now);

/// @brief Whether the request must not be run.
bool quarantined(const quarantine& state, std::string_view fingerprint);

/// @brief Removes entries whose last crash is more than an hour old.
void expire(quarantine& state, time_point_t now);

} // namespace rhubarbgrade
