#include <rhubarbgrade/detail/routing/quarantine.hpp>

#include <algorithm> // max
#include <chrono>    // hours
#include <string>    // string

namespace rhubarbgrade
{
namespace
{

constexpr std::chrono::hours quarantine_time{1};

} // namespace

bool record_endpoint_crash(quarantine& state, const std::string& fingerprint,
                           time_point_t now)
{
    auto& entry = state.entries[fingerprint];
    entry.crashes++;
    entry.last = now;
    return entry.crashes >= quarantine_crashes;
}

void mark_quarantined(quarantine& state, const std::string& fingerprint,
                      time_point_t now)
{
    auto& entry = state.entries[fingerprint];
    entry.crashes = std::max(entry.crashes, quarantine_crashes);
    entry.last = now;
}

bool quarantined(const quarantine& state, std::string_view fingerprint)
{
    const auto found = state.entries.find(fingerprint);
    return found != state.entries.end() &&
           found->second.crashes >= quarantine_crashes;
}

void expire(quarantine& state, time_point_t now)
{
    std::erase_if(state.entries,
                  [now](const auto& item)
                  {
                      return now - item.second.last > quarantine_time;
                  });
}

} // namespace rhubarbgrade
