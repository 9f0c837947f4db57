#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/error.hpp> // error

namespace httplib
{
struct Response;
}

namespace rhubarbgrade
{

/// @brief Whether a refused or failed request was executed by an endpoint.
enum class run_state
{
    no,     ///< not executed
    yes,    ///< executed
    unknown ///< possibly executed
};

/// @brief Maps an error to an HTTP status.
int status_of(const error& cause);

/// @brief Writes an application/problem+json response (RFC 9457).
///
/// The member "ran" of the body tells whether the request was executed.
/// Retry-After is set for status 503, where a retry may succeed.
/// @param[out] response  the response
/// @param[in] cause      the error
/// @param[in] ran        whether the request was executed
/// @param[in] request    id of the request, may be empty
void write_problem(httplib::Response& response, const error& cause,
                   run_state ran, const std::string& request);

} // namespace rhubarbgrade
