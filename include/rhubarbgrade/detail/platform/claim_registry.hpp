#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/error.hpp>         // result
#include <rhubarbgrade/detail/base/types.hpp>         // milliseconds
#include <rhubarbgrade/detail/control/claim_call.hpp> // claim_answer

namespace rhubarbgrade
{

/// @brief Claims on idempotency keys that callers chose, kept by the platform.
///
/// Each call opens a connection of its own; any thread may call.
class claim_registry
{
public:
    /// @param[in] address  "ip:port" of the platform
    /// @param[in] timeout  for one call
    claim_registry(std::string address, milliseconds timeout);

    /// @brief Claims a key for a request, by a conditional create.
    claim_answer claim(const std::string& key, const std::string& request);

    /// @brief Keeps the first answer for a repeat of the key.
    void answer(const std::string& key, const std::string& request,
                const claim_answer& first);

    /// @brief Frees a key whose request was not dispatched.
    void drop(const std::string& key, const std::string& request);

private:
    std::string m_address;
    milliseconds m_timeout;
};

} // namespace rhubarbgrade
