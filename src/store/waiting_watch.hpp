#pragma once

#include <algorithm> // max
#include <cstdint>   // uint64_t
#include <optional>  // optional
#include <string>    // string

#include <platform/store_calls.hpp>           // event_page
#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

#include "revision_times.hpp" // revision_times

namespace rhubarbgrade
{

/// @brief A watch of the store as others see it that check it.
struct waiting_watch
{
    std::string kind;
    std::uint64_t era = 0; ///< of the store when the kind was listed
    /// All changes of the kind up to it have been reported.
    std::uint64_t revision = 0;
    std::string target; ///< of the call that waits; empty: none does
    /// All changes that the store had accepted before have been reported, as a
    /// response has shown; empty: none has since the watch began. It doesn't
    /// matter whether the watch still stands.
    std::optional<time_point_t> complete_until;
    bool outdated = false;  ///< a check has shown that its history is gone
    bool overtaken = false; ///< a check has received changes before it
    platform::event_page changes; ///< these changes, if it is overtaken
    /// The same as complete_until once the changes have been reported.
    std::optional<time_point_t> complete_with_changes;
};

/// @brief Time up to which a watch is complete, as its responses show or the
///        revision that it has reached; empty if no response has shown any.
inline std::optional<time_point_t>
complete_until(const waiting_watch& watch, const revision_times& revisions)
{
    if (!watch.complete_until)
        return std::nullopt;
    return std::max(watch.complete_until,
                    revisions.complete_until(watch.revision));
}

} // namespace rhubarbgrade
