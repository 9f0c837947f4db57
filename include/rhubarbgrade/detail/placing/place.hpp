#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <span>        // span
#include <string_view> // string_view

#include <rhubarbgrade/detail/base/types.hpp>     // token_count_t
#include <rhubarbgrade/detail/routing/choose.hpp> // random_source_t

namespace rhubarbgrade
{

/// @brief The queue of an engine, as far as a host can tell.
struct engine_queue
{
    double waiting = 0;   ///< requests without a slot or memory, as reported
    milliseconds wait{0}; ///< of this host's requests for their first byte
};

/// @brief An endpoint that a request may be sent to, with its load.
struct placing_candidate
{
    std::uint64_t identity = 0; ///< hash of its id, equal on all hosts
    bool same_zone = false;
    std::uint32_t in_flight = 0; ///< this host's requests there
    std::uint32_t limit = 1;     ///< limit of this host's requests there
    double reported_load = 0;    ///< share of its slots in use, as reported
    double failure_rate = 0;     ///< 0 to 1, of its recent answers
    engine_queue queue;          ///< empty for plain services
    /// Prompt tokens of this host's requests that are not answered yet.
    token_count_t prompt_tokens_waiting = 0;
    /// Tokens of this prompt that the endpoint's prefix cache should hold.
    token_count_t cached_tokens = 0;
    bool usable = true; ///< neither ejected nor tried for this request
};

/// @brief The properties of a request that its placement depends on.
struct placing_request
{
    std::uint64_t affinity = 0; ///< hash of the shared prompt parts; 0: none
    token_count_t prompt_tokens = 0;
    token_count_t shared_tokens = 0; ///< tokens of the shared prompt parts
    milliseconds objective = milliseconds::max(); ///< of its latency
};

/// @brief Weights of the cost of an endpoint, which is the expected wait of the
///        caller in milliseconds.
struct placing_costs
{
    double tokens_per_ms = 50; ///< prompt tokens processed per millisecond
    double load_ms = 120;      ///< wait if all slots are in use
    double in_flight_ms = 60;  ///< wait if this host's limit is in use
    double failure_ms = 1500;  ///< wait if every request fails
    double other_zone_ms = 8;  ///< traffic between zones is billed
    double hosts = 1;          ///< hosts assumed to send as many prompts
};

/// @brief Whether an engine has so long a queue that another request would be
///        given up before it is answered, and slow down the others.
/// @param[in] objective  of the request's latency
bool is_saturated(const engine_queue& queue, milliseconds objective);

/// @brief Chooses the endpoint with the lowest expected wait.
///
/// Compares the cost of a few endpoints only. For a request with shared prompt
/// parts, these are the endpoints that rendezvous hashing assigns to the parts,
/// so that all hosts send them to the same prefix caches, and some chosen at
/// random. Other requests compare random endpoints, so that hosts with the same
/// load reports don't all choose the same one.
/// @return index of the choice, or nothing if no endpoint has a free slot and
///         is not saturated
/// @note Complexity: linear in the number of candidates.
std::optional<std::size_t> place(std::span<const placing_candidate> candidates,
                                 const placing_request& request,
                                 const placing_costs& costs,
                                 const random_source_t& random);

} // namespace rhubarbgrade
