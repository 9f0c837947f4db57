#pragma once

#include <cstdint> // uint64_t
#include <string>  // string

#include <platform/store_calls.hpp> // event_page

namespace rhubarbgrade
{

/// @brief A watch of the store as others see it that check it.
struct waiting_watch
{
    std::string kind;
    std::uint64_t revision = 0; ///< changes after it are awaited
    std::string target;         ///< of the call that waits; empty: none does
    /// Whether a response that allows no old data has shown, since the watch
    /// last failed, that it has missed nothing.
    bool proven = false;
    bool overtaken = false;       ///< a check has received changes before it
    platform::event_page changes; ///< these changes, if it is overtaken
};

} // namespace rhubarbgrade
