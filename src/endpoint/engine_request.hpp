#pragma once

#include <optional> // optional
#include <string>   // string

#include <httplib.h> // Client, Request

#include <rhubarbgrade/detail/endpoint/engine_call.hpp> // engine_call
#include <rhubarbgrade/detail/routing/retry.hpp>        // attempt_outcome

namespace rhubarbgrade
{

/// @brief Creates an HTTP client for an endpoint.
/// @param[in] call          address and write timeout
/// @param[in] read_timeout  maximum wait for the next bytes
httplib::Client make_client(const engine_call& call, milliseconds read_timeout);

/// @brief Creates the POST request that starts a run.
httplib::Request make_request(const engine_call& call);

/// @brief Classifies an attempt that failed without a response.
attempt_outcome classify_error(httplib::Error transport_error);

/// @brief Classifies an attempt by the error status of its response.
attempt_outcome classify_status(int status);

/// @brief Whether only the end of its connection delimits a response's body.
///
/// The kernel ends the connections of a crashed process in an orderly way, so
/// such a body is whole only if its endpoint is still alive.
bool is_close_delimited(const httplib::Request& request,
                        const httplib::Response& response);

/// @brief Result of probing an endpoint on a new connection.
enum class liveness
{
    alive,
    dead,   ///< refuses the connection, or closes it without a response
    silent, ///< no response in time: slow, frozen or partitioned
};

/// @brief Probes an endpoint on a new connection.
liveness probe_liveness(const engine_call& call);

/// @brief Extracts the token usage of a run from an engine's response.
/// @return the tokens used, or nothing if the run has not ended or is unknown
std::optional<token_count_t> parse_usage(int status, const std::string& body);

} // namespace rhubarbgrade
