#pragma once

#include <string>       // string
#include <system_error> // error_code

#include <tl/expected.hpp> // expected, unexpected

#include <rhubarbgrade/detail/base/errc.hpp> // errc

namespace rhubarbgrade
{

/// @brief An error with its context.
struct error
{
    std::error_code code;
    std::string step;   ///< operation that failed, such as "reserve"
    std::string peer;   ///< remote party, such as an endpoint's name; or empty
    std::string detail; ///< further information; or empty

    /// @brief Formats the error as one line: stable id, meaning, step, peer and
    ///        detail.
    std::string message() const;
};

/// @brief A value or an @ref error.
template <typename T>
using result = tl::expected<T, error>;

/// @brief Creates a @ref result that holds an error.
/// @param[in] code    the kind of error
/// @param[in] step    operation that failed
/// @param[in] peer    remote party, or empty
/// @param[in] detail  further information, or empty
inline tl::unexpected<error> failure(errc code, std::string step,
                                     std::string peer = {},
                                     std::string detail = {})
{
    return tl::unexpected<error>(
        error{code, std::move(step), std::move(peer), std::move(detail)});
}

} // namespace rhubarbgrade
