#pragma once

#include <cstdint> // uint64_t

namespace rhubarbgrade
{

/// @brief What a call of its own tells of a watch that waits for its response.
struct watch_check
{
    bool changes = false;       ///< the watch should have reported some
    std::uint64_t revision = 0; ///< of the store's copy that answered
    std::uint64_t known = 0; ///< revision that the store has reached, at least
};

/// @brief What becomes of a watch.
enum class watch_verdict
{
    stands,    ///< nothing was lost, up to the revision of the copy
    overtaken, ///< its response was lost, or is later than that of the check
    unknown,   ///< the copy is older than what this host knows of
};

/// @brief Judges whether the response to a watch was lost.
///
/// A connection on which a response is lost stays open and returns nothing
/// further, and calls on other connections say nothing of it. The revision of
/// the store says nothing either: it counts changes of all kinds.
watch_verdict judge_watch(const watch_check& check);

} // namespace rhubarbgrade
