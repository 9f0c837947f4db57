#pragma once

#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <boost/asio/awaitable.hpp> // awaitable

#include <platform/store_calls.hpp> // event_page, stored_object

namespace rhubarbgrade
{

class store_client;

/// @brief Callbacks of @ref list_and_watch.
struct watch_listener
{
    /// All objects of the kind; called at the start and each time that the
    /// kind has been listed again.
    std::function<void(std::vector<platform::stored_object>)> snapshot;
    /// One object has been created, changed or removed.
    std::function<void(const platform::object_event&)> changed;
    /// Called after each call to the store; false if it failed.
    std::function<void(bool)> answered;
};

/// @brief Lists the objects of one kind, then watches them for changes; never
///        returns.
///
/// The watch starts at the revision of the list. The kind is listed again when
/// the store has compacted the history from that revision on.
boost::asio::awaitable<void>
list_and_watch(store_client& store, std::string kind, watch_listener listener);

} // namespace rhubarbgrade
