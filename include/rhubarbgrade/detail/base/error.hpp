#pragma once

#include <string>       // string
#include <system_error> // error_code

#include <tl/expected.hpp> // expected, unexpected

#include <rhubarbgrade/detail/base/errc.hpp> // errc

namespace rhubarbgrade
{

/// @brief A failure with the step and the peer at which it arose.
struct error
{
    std::error_code code;
    std::string step;   ///< what was being done, such as "reserve"
    std::string peer;   ///< whom it was done with, such as an endpoint's name
    std::string detail; ///< what else is known, may be empty

    /// @brief One line: stable id, meaning, step, peer and detail.
    std::string message() const;
};

/// @brief A value or the @ref error that took its place.
template <typename T>
using result = tl::expected<T, error>;

/// @brief Makes the failing side of a @ref result.
/// @param[in] code    what failed
/// @param[in] step    what was being done
/// @param[in] peer    whom it was done with
/// @param[in] detail  what else is known
inline tl::unexpected<error> failure(errc code, std::string step,
                                     std::string peer = {},
                                     std::string detail = {})
{
    return tl::unexpected<error>(
        error{code, std::move(step), std::move(peer), std::move(detail)});
}

} // namespace rhubarbgrade
