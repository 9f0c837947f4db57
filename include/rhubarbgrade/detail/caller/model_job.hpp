#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/error.hpp>       // result
#include <rhubarbgrade/detail/base/types.hpp>       // token_count_t
#include <rhubarbgrade/detail/control/snapshot.hpp> // routing_snapshot

namespace httplib
{
struct Request;
}

namespace rhubarbgrade
{

/// @brief A model request, parsed and validated.
struct model_job
{
    std::string request; ///< id; derived from the idempotency key if given
    std::string customer;
    std::string service;
    std::string path;
    std::string body;        ///< as sent to the engine
    std::string fingerprint; ///< digest of the caller's body, for quarantine
    token_count_t max_tokens = 0;
    token_count_t reserved_tokens = 0; ///< upper bound of the cost of a run
    milliseconds timeout{0};
    int priority = 5;
    bool has_idempotency_key = false;
    bool stream = false;
};

/// @brief Finds the customer of a request by its bearer token.
/// @return the customer's name, or @ref errc::unauthorized
result<std::string> authenticate(const routing_snapshot& routing,
                                 const httplib::Request& request);

/// @brief Authenticates, parses and validates a model request.
/// @return the job, or @ref errc::unauthorized, @ref errc::bad_request or
///         @ref errc::not_found
result<model_job> parse_model_job(const routing_snapshot& routing,
                                  const httplib::Request& request);

} // namespace rhubarbgrade
