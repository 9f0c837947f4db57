#pragma once

#include <cstdint>       // uint32_t, uint64_t
#include <list>          // list
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include <rhubarbgrade/detail/base/types.hpp>           // time_point_t
#include <rhubarbgrade/detail/fleet/endpoint_entry.hpp> // endpoint_entry

#include "endpoint_link.hpp" // endpoint_link

namespace rhubarbgrade
{

/// @brief Prompt parts that an endpoint has read lately, oldest out first.
class read_parts
{
public:
    void note(std::uint64_t part, time_point_t now);

    /// Whether the endpoint probably still keeps the part.
    bool has(std::uint64_t part, time_point_t now) const;

private:
    struct entry
    {
        time_point_t read;
        std::list<std::uint64_t>::iterator place;
    };

    std::list<std::uint64_t> m_order; ///< newest first
    std::unordered_map<std::uint64_t, entry> m_entries;
};

/// @brief What a host knows of one endpoint from its own requests.
struct pool_endpoint
{
    endpoint_entry entry;
    std::uint64_t identity = 0; ///< hash of the id
    bool listed = true;         ///< still named by the host list
    std::vector<endpoint_link_ptr_t> idle;
    std::uint32_t in_flight = 0;
    token_count_t prompt_tokens_waiting = 0;
    double failure_rate = 0;
    int failures_in_turn = 0;
    time_point_t ejected_until{};
    double reported_load = 0; ///< part of the slots in use
    time_point_t reported_at{};
    read_parts parts;

    /// A request that was running when its connection broke.
    struct broken_run
    {
        std::uint64_t fingerprint = 0;
        time_point_t at{};
    };

    std::vector<broken_run> broken;
};

} // namespace rhubarbgrade
