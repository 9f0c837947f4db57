#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint32_t, uint64_t
#include <functional>  // function
#include <optional>    // optional
#include <span>        // span
#include <string_view> // string_view

namespace rhubarbgrade
{

/// @brief A source of random 64-bit numbers; passed in, so that decisions are
///        reproducible in tests.
using random_source_t = std::function<std::uint64_t()>;

/// @brief An endpoint that a request may be sent to, with its load.
struct candidate
{
    std::string_view zone;
    std::uint32_t in_flight = 0; ///< this router's requests there, up to date
    std::uint32_t slots = 0;     ///< this router's share of the limit
    std::uint32_t reported = 0;  ///< requests of all routers, as last reported
    std::uint32_t limit = 1;     ///< requests that it can run at once
    bool usable = true;          ///< neither draining, ejected nor excluded
};

/// @brief Chooses the least loaded of a few sampled endpoints with a free slot.
///
/// Endpoints of other zones are considered only if none in the router's own
/// zone has a free slot.
/// @param[in] candidates  the endpoints of one version
/// @param[in] zone        the router's zone
/// @param[in] random      source of randomness for the sample
/// @return index of the choice, or nothing if no slot is free
std::optional<std::size_t> choose(std::span<const candidate> candidates,
                                  std::string_view zone,
                                  const random_source_t& random);

} // namespace rhubarbgrade
