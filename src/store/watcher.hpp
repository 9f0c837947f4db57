#pragma once

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

#include <boost/asio/awaitable.hpp> // awaitable

#include <platform/store_calls.hpp> // object_event, object_page

namespace rhubarbgrade
{

class store_client;
class watch_gate;

/// @brief Callbacks of @ref list_and_watch.
struct watch_listener
{
    /// All objects of the kind and the store's revision; called at the start
    /// and each time that the kind has been listed again. If @c more is set,
    /// the list could not be read to its end: the objects that it lacks may
    /// still exist.
    std::function<void(const platform::object_page&)> snapshot;
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
