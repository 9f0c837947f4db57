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

/// @brief What placing looks at in one endpoint.
struct placing_candidate
{
    std::uint64_t identity = 0; ///< hash of its id, the same on all hosts
    bool same_zone = false;
    std::uint32_t in_flight = 0; ///< this host's requests there
    std::uint32_t limit = 1;     ///< most requests of this host there
    double reported_load = 0;    ///< part of its slots in use, as last said
    double failure_rate = 0;     ///< 0 to 1, of its last answers
    token_count_t prompt_tokens_waiting = 0; ///< sent by this host, no answer
    token_count_t kept_tokens = 0; ///< of this prompt, read there before
    bool usable = true; ///< not ejected, not tried before for this request
};

/// @brief What placing looks at in a request.
struct placing_request
{
    std::uint64_t affinity = 0; ///< hash of the parts it shares; 0 for none
    token_count_t prompt_tokens = 0;
    token_count_t shared_tokens = 0; ///< of the parts that others share
};

/// @brief Costs of a choice, in milliseconds that a caller may wait.
struct placing_costs
{
    double tokens_per_ms = 50; ///< prompt tokens read in a millisecond
    double load_ms = 120;      ///< at an endpoint with all slots in use
    double in_flight_ms = 60;  ///< at an endpoint with our limit in use
    double failure_ms = 1500;  ///< at an endpoint that fails all requests
    double other_zone_ms = 8;  ///< bytes between zones are paid for
    double hosts = 1;          ///< that send prompts as this one does
};

/// @brief Chooses an endpoint by the least expected wait.
///
/// Requests with shared parts look first at the endpoints that rendezvous
/// hashing names for these parts, so that all hosts agree on where a part is
/// read; others look at a few endpoints at random, so that hosts with the
/// same reports don't herd on one.
/// @return index of the choice, or nothing if none can take the request
/// @note Complexity: the number of candidates.
std::optional<std::size_t> place(std::span<const placing_candidate> candidates,
                                 const placing_request& request,
                                 const placing_costs& costs,
                                 const random_source_t& random);

} // namespace rhubarbgrade
