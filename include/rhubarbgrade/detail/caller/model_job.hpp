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

/// @brief A model request, understood and checked.
struct model_job
{
    std::string request; ///< id; the same for each try with the same key
    std::string customer;
    std::string service;
    std::string path;
    std::string body;        ///< as it goes to the engine
    std::string fingerprint; ///< of what is asked, for quarantine
    token_count_t max_tokens = 0;
    token_count_t reserved = 0; ///< no run can cost more
    milliseconds timeout{0};
    int priority = 5;
    bool keyed = false; ///< the caller gave an idempotency key
    bool stream = false;
};

/// @brief Finds the customer of a request by its bearer key.
result<std::string> authenticate(const routing_snapshot& routing,
                                 const httplib::Request& request);

/// @brief Reads a model request.
/// @return the job, or @ref errc::unauthorized, @ref errc::bad_request or
///         @ref errc::not_found
result<model_job> parse_model_job(const routing_snapshot& routing,
                                  const httplib::Request& request);

} // namespace rhubarbgrade
