#pragma once

#include <optional> // optional
#include <string>   // string

#include <httplib.h> // Client, Request

#include <rhubarbgrade/detail/endpoint/engine_call.hpp> // engine_call
#include <rhubarbgrade/detail/routing/retry.hpp>        // attempt_end

namespace rhubarbgrade
{

/// @brief A client of an endpoint, with its time limits.
httplib::Client make_client(const engine_call& call, milliseconds read_limit);

/// @brief The POST of a call.
httplib::Request make_request(const engine_call& call);

/// @brief How far an attempt got that had no answer.
attempt_end end_of(httplib::Error problem);

/// @brief How far an attempt got that was answered with a failing status.
attempt_end end_of_status(int status);

/// @brief What a question on a new connection tells of an endpoint.
enum class liveness
{
    alive,
    dead,   ///< takes no connection, or closes it without an answer
    silent, ///< no answer in time: slow, frozen or cut off
};

/// @brief Asks an endpoint on a new connection whether it answers now.
liveness liveness_of(const engine_call& call);

/// @brief What a run used, from an engine's answer about it.
std::optional<token_count_t> used_of(int status, const std::string& body);

} // namespace rhubarbgrade
