#pragma once

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

#include <boost/asio/awaitable.hpp> // awaitable

#include <platform/store_calls.hpp> // object_event, stored_object

namespace rhubarbgrade
{

class store_client;
class watch_gate;

/// @brief What is known of a list once its objects have been reported.
struct list_summary
{
    std::uint64_t revision = 0; ///< of the store
    bool complete = false; ///< if not, objects that it lacks may still exist
};

/// @brief Callbacks of @ref list_and_watch.
struct watch_listener
{
    /// The kind is about to be listed, or the list has failed or isn't used:
    /// the objects that were reported by @c listed are obsolete.
    std::function<void()> list_reset;
    /// One object of the list. A listener keeps what it needs of it only: the
    /// list may be far larger than the memory of the host.
    std::function<void(const platform::stored_object&)> listed;
    /// All objects of the list have been reported, and are in force; called at
    /// the start and each time that the kind has been listed again.
    std::function<void(const list_summary&)> list_ended;
    /// One object has been created, changed or removed.
    std::function<void(const platform::object_event&)> changed;
    /// All changes up to a revision of the store have been reported.
    std::function<void(std::uint64_t)> reached;
    /// Whether the state is known from elsewhere already.
    std::function<bool()> known;
    /// Revision up to which changes are known from elsewhere, in the present
    /// era of the store; may be empty.
    std::function<std::uint64_t()> known_up_to;
    /// Called after each call to the store; false if it failed.
    std::function<void(bool)> answered;
};

/// @brief Lists the objects of one kind, then watches them for changes; never
///        returns.
///
/// The watch starts at the revision of the list and goes on while the gate is
/// open. While it is closed, the kind is listed only if the state isn't known,
/// by a cheaper call whose response may be seconds old. The kind is listed
/// again when the store has compacted the history from that revision on, and
/// after a change if it could not be read to its end.
boost::asio::awaitable<void> list_and_watch(store_client& store,
                                            watch_gate& gate, std::string kind,
                                            watch_listener listener);

} // namespace rhubarbgrade
