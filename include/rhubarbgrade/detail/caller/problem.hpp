#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/error.hpp> // error

namespace httplib
{
struct Response;
}

namespace rhubarbgrade
{

/// @brief Whether a refused or failed request ran on an endpoint.
enum class run_state
{
    no,     ///< certainly not
    yes,    ///< certainly
    unknown ///< it may have
};

/// @brief The HTTP status for an error.
int status_of(const error& what);

/// @brief Answers with application/problem+json (RFC 9457).
///
/// The body's "ran" says whether the request ran. Retry-After is set where a
/// later try may succeed.
/// @param[out] response  the answer
/// @param[in] what       the error
/// @param[in] ran        whether the request ran
/// @param[in] request    id of the request, may be empty
void write_problem(httplib::Response& response, const error& what,
                   run_state ran, const std::string& request);

} // namespace rhubarbgrade
