#pragma once

#include <system_error> // error_category, error_code, is_error_code_enum

namespace rhubarbgrade
{

/// @brief Error codes. The numbers are stable and appear in messages.
///
/// 1xx configuration and settings, 2xx budgets, 3xx requests, 4xx endpoints,
/// 5xx the platform, 6xx other routers.
enum class errc
{
    syntax = 101,            ///< a TOML file can't be parsed
    unknown_key = 102,       ///< a key that objects of this kind don't have
    wrong_type = 103,        ///< a value whose type does not fit its key
    out_of_range = 104,      ///< a value outside its range
    missing_key = 105,       ///< a required key is absent
    duplicate_name = 106,    ///< two objects of a kind with the same name
    unknown_reference = 107, ///< a reference to an object that does not exist
    clash = 108,             ///< objects or settings that contradict each other
    unreadable = 109,        ///< a file or folder can't be read

    budget_exhausted = 201,   ///< the budget does not cover a request
    tokens_unreachable = 202, ///< tokens remain, but can't be obtained now
    ledger_closed = 203,      ///< the second host has closed the ledger
    second_unreachable = 204, ///< no acknowledgement from the second host
    not_registered = 205,     ///< this router has no registered ledger yet
    bad_operation = 206,      ///< a ledger operation that does not apply

    bad_request = 301,       ///< a malformed request
    unauthorized = 302,      ///< missing or unknown API key
    not_found = 303,         ///< no such model or route
    overloaded = 304,        ///< no slot became free in time
    key_in_use = 305,        ///< an idempotency key whose outcome is unknown
    key_expired = 306,       ///< an idempotency key past its lifetime
    claim_unavailable = 307, ///< an idempotency key can't be claimed now
    quarantined = 308,       ///< a request that crashed endpoints
    too_large = 309,         ///< a body above the size limit

    connect_failed = 401,  ///< no connection to the endpoint
    endpoint_failed = 402, ///< the endpoint answered with an error
    outcome_unknown = 403, ///< the request may have run
    no_endpoint = 404,     ///< no usable endpoint for a service
    stream_broken = 405,   ///< a stream ended before its last event

    platform_unreachable = 501, ///< the platform does not answer
    conflict = 502,             ///< a concurrent change preceded the update
    absent = 503,               ///< no such object
    malformed = 504,            ///< a value that can't be decoded

    peer_unreachable = 601, ///< another router does not answer
    refused_by_peer = 602,  ///< another router refused a call
};

/// @brief The category of @ref errc, named "rhubarbgrade".
const std::error_category& rhubarbgrade_category() noexcept;

/// @brief Makes an error code of @a code; found by argument-dependent lookup.
std::error_code make_error_code(errc code) noexcept;

} // namespace rhubarbgrade

template <>
struct std::is_error_code_enum<rhubarbgrade::errc> : std::true_type
{
};
