#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp> // ledger_id

namespace rhubarbgrade
{

/// @brief Asks the owner of an issued idempotency key for the right to run.
struct claim_call
{
    ledger_id owner; ///< the ledger that issued the key
    std::string key;
    std::string request;
};

/// @brief What became of a claim.
enum class claim_status
{
    claimed,    ///< the caller of this may dispatch the request
    answered,   ///< it has run; the first answer is at hand
    pending,    ///< it may be running or have run; the outcome is unknown
    not_owner,  ///< the asked host does not own the key
    unavailable ///< the owner can't be reached or can't decide now
};

/// @brief A claim's status and, if answered, the first answer.
struct claim_answer
{
    claim_status status = claim_status::unavailable;
    int answer_status = 0;
    std::string content_type;
    std::string body; ///< empty if the answer is no longer kept
};

} // namespace rhubarbgrade
