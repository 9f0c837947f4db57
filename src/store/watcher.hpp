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

/// @brief Who is told what a watch finds.
struct watch_listener
{
    /// All objects of the kind, after the start and after lost history.
    std::function<void(std::vector<platform::stored_object>)> snapshot;
    /// One change.
    std::function<void(const platform::object_event&)> changed;
    /// Whether the store answered; called after each call.
    std::function<void(bool)> answered;
};

/// @brief Follows one kind of object for as long as the program runs.
///
/// Lists the kind, then waits for changes from that revision on; lists again
/// when the store has dropped that part of its history.
boost::asio::awaitable<void> follow(store_client& store, std::string kind,
                                    watch_listener listener);

} // namespace rhubarbgrade
