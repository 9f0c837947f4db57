#pragma once

#include <map>    // map
#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief Requests, by fingerprint, whose endpoints died while running them.
struct quarantine
{
    struct entry
    {
        int crashes = 0;
        time_point_t last{};
    };

    std::map<std::string, entry, std::less<>> entries;
};

/// @brief Crashes after which a request is not run again.
constexpr int quarantine_crashes = 2;

/// @brief Notes that an endpoint died while it ran a request.
/// @return whether the request is quarantined from now on
bool note_crash(quarantine& known, const std::string& fingerprint,
                time_point_t now);

/// @brief Takes over a peer's word that a request is quarantined.
void note_quarantined(quarantine& known, const std::string& fingerprint,
                      time_point_t now);

/// @brief Whether the request must not run.
bool quarantined(const quarantine& known, std::string_view fingerprint);

/// @brief Drops entries whose last crash is long past.
void expire(quarantine& known, time_point_t now);

} // namespace rhubarbgrade
