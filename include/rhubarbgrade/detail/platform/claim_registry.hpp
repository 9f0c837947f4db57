#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/error.hpp>         // result
#include <rhubarbgrade/detail/base/types.hpp>         // milliseconds
#include <rhubarbgrade/detail/control/claim_call.hpp> // claim_answer

namespace rhubarbgrade
{

/// @brief Claims on idempotency keys that were chosen by callers, stored on
///        the platform.
///
/// Thread-safe: each call opens a connection of its own.
class claim_registry
{
public:
    /// @param[in] address  "ip:port" of the platform
    /// @param[in] timeout  limit for one call to the platform
    claim_registry(std::string address, milliseconds timeout);

    /// @brief Claims a key for a request by a conditional create; a released
    ///        key is claimed again by a conditional update.
    claim_answer claim(const std::string& key, const std::string& request);

    /// @brief Stores the first response for replay to requests with the same
    ///        key. Errors are ignored after a few attempts.
    void answer(const std::string& key, const std::string& request,
                const claim_answer& first_response);

    /// @brief Releases a key whose request was not dispatched. Failures are
    ///        ignored after three attempts.
    void drop(const std::string& key, const std::string& request);

private:
    std::string m_address;
    milliseconds m_timeout;
};

} // namespace rhubarbgrade
