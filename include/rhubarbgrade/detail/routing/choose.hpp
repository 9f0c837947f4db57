#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint32_t, uint64_t
#include <functional>  // function
#include <optional>    // optional
#include <span>        // span
#include <string_view> // string_view

namespace rhubarbgrade
{

/// @brief A source of random 64-bit numbers, given to decisions.
using random_source_t = std::function<std::uint64_t()>;

/// @brief What the choice of an endpoint looks at.
struct candidate
{
    std::string_view zone;
    std::uint32_t in_flight = 0; ///< this router's own, always current
    std::uint32_t slots = 0;     ///< this router's part of the limit
    std::uint32_t reported = 0;  ///< running in all, as last reported
    std::uint32_t limit = 1;     ///< requests that it carries in all
    bool usable = true;          ///< not leaving, not ejected, not excluded
};

/// @brief Chooses the least loaded of a few endpoints with a free slot.
///
/// Endpoints of the router's own zone come first; others are taken when none
/// at home has a free slot.
/// @param[in] candidates  the endpoints of one version
/// @param[in] zone        the router's zone
/// @param[in] random      source for the sample
/// @return index of the choice, or nothing if no slot is free
std::optional<std::size_t> choose(std::span<const candidate> candidates,
                                  std::string_view zone,
                                  const random_source_t& random);

} // namespace rhubarbgrade
