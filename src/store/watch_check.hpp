#pragma once

#include <optional> // optional

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief What a call of its own tells of a watch that waits for its response.
struct watch_check
{
    bool changes = false; ///< the watch should have reported some
    /// The store's copy that answered has all changes that the store had
    /// accepted before; empty if that isn't known.
    std::optional<time_point_t> complete_until;
    time_point_t needed{}; ///< time up to which the state has to be complete
};

/// @brief What becomes of a watch.
enum class watch_verdict
{
    stands,    ///< nothing was lost up to the time needed
    overtaken, ///< its response was lost, or is later than that of the check
    unknown,   ///< the copy may be too old
};

/// @brief Judges whether the response to a watch was lost.
///
/// A connection on which a response is lost stays open and returns nothing
/// further, and calls on other connections say nothing of it. The revision of
/// the store says nothing either: it counts changes of all kinds.
watch_verdict judge_watch(const watch_check& check);

/// @brief Whether a call that allows old data can show that a watch has missed
///        nothing up to a time.
/// @param[in] known  latest time of which the store's revision is known. An
///                   old copy can't be told from the present by a later one.
bool may_allow_old_data(const std::optional<time_point_t>& known,
                        time_point_t needed);

/// @brief Time up to which the state of a reader has to be complete now, so
///        that it isn't too old before the next check.
/// @param[in] max_age   greatest age of the state
/// @param[in] interval  between two checks
time_point_t needed_completeness(time_point_t now, milliseconds max_age,
                                 milliseconds interval);

} // namespace rhubarbgrade
