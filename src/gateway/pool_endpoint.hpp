#pragma once

#include <cstdint>       // uint32_t, uint64_t
#include <list>          // list
#include <memory>        // weak_ptr
#include <optional>      // optional
#include <set>           // multiset
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include <rhubarbgrade/detail/base/types.hpp>            // time_point_t
#include <rhubarbgrade/detail/fleet/endpoint_entry.hpp>  // endpoint_entry
#include <rhubarbgrade/detail/placing/endpoint_load.hpp> // endpoint_load
#include <rhubarbgrade/detail/routing/departure.hpp>     // connection_ends
#include <rhubarbgrade/detail/routing/request_limit.hpp> // request_share
#include <rhubarbgrade/detail/routing/slot_share.hpp>    // slot_share

#include "endpoint_link.hpp" // endpoint_link

namespace rhubarbgrade
{

class process_monitor;

/// @brief Prompt parts that an endpoint has processed recently, as an estimate
///        of its prompt cache. Evicts the least recently used part.
class recent_prompt_parts
{
public:
    void record(std::uint64_t part, time_point_t now);

    /// Whether the endpoint probably still has the part in its cache.
    bool contains(std::uint64_t part, time_point_t now) const;

private:
    struct entry
    {
        time_point_t last_read;
        std::list<std::uint64_t>::iterator position;
    };

    std::list<std::uint64_t> m_order; ///< most recently used first
    std::unordered_map<std::uint64_t, entry> m_entries;
};

/// @brief What this host uses of a rate that all hosts share.
struct limited_use
{
    std::optional<request_share> share; ///< empty: no limit
    request_bucket bucket;
};

/// @brief One endpoint with its state as observed by this host.
struct pool_endpoint
{
    endpoint_entry entry;
    std::uint64_t identity = 0; ///< hash of the id
    bool listed = true;         ///< in the latest view of the fleet
    bool evacuated = false;     ///< its zone is, in that view
    std::vector<endpoint_link_ptr_t> idle;
    std::uint32_t in_flight = 0;
    token_count_t prompt_tokens_waiting = 0; ///< of the requests in flight
    double failure_rate = 0;                 ///< moving average, 0 to 1
    int consecutive_failures = 0;
    time_point_t ejected_until{};
    endpoint_load load; ///< as reported
    /// When requests were sent that have no answer yet.
    std::multiset<time_point_t> unanswered;
    milliseconds last_wait{0}; ///< of the last request to get one or to end
    time_point_t last_wait_at{};
    recent_prompt_parts recent_parts;
    limited_use limit;     ///< of its request limit, if it has one
    limited_use cold_rate; ///< of what it takes while it is cold
    /// This host's part of the slots if the endpoint is brittle.
    std::optional<slot_share> slots_here;
    time_point_t rejected_at{}; ///< a request, for want of room
    departure_news news;        ///< of its entry, while requests are in flight
    connection_ends ends;
    std::weak_ptr<process_monitor> monitor; ///< while one is needed
};

} // namespace rhubarbgrade
