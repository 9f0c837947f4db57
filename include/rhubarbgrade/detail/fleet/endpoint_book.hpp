#pragma once

#include <map>    // map
#include <set>    // set
#include <string> // string
#include <vector> // vector

#include <rhubarbgrade/detail/base/types.hpp>           // time_point_t
#include <rhubarbgrade/detail/fleet/endpoint_entry.hpp> // endpoint_entry
#include <rhubarbgrade/detail/fleet/move_order.hpp>     // move_order

namespace rhubarbgrade
{

/// @brief One endpoint of the host list and what is known about its entry.
struct listed_endpoint
{
    endpoint_entry entry;
    time_point_t seen{}; ///< when it first appeared
    bool gone = false;   ///< its entry has been removed
    bool lapsed = false; ///< removed around an outage of the store; may return
    time_point_t gone_at{};
};

/// @brief The host list as this host knows it, with the store's outages.
struct endpoint_book
{
    std::map<std::string, listed_endpoint, std::less<>> endpoints;
    time_point_t last_failure{}; ///< of a call to the store
    time_point_t back_since{};   ///< first answer after it
    bool reachable = false;
};

/// How long after the store's return a lapsed entry may still come back.
constexpr milliseconds lapse_grace{2000};

/// @brief Notes whether a call to the store was answered.
void note_store(endpoint_book& book, bool answered, time_point_t now);

/// @brief Takes over one entry.
void put_endpoint(endpoint_book& book, const endpoint_entry& entry,
                  time_point_t now);

/// @brief Notes that an entry was removed.
void remove_endpoint(endpoint_book& book, std::string_view id,
                     time_point_t now);

/// @brief Takes over the whole list; entries that aren't in it are removed.
void replace_endpoints(endpoint_book& book,
                       const std::vector<endpoint_entry>& entries,
                       time_point_t now);

/// @brief The endpoints that may get requests.
std::vector<endpoint_entry> usable_endpoints(endpoint_book& book,
                                             time_point_t now);

} // namespace rhubarbgrade
