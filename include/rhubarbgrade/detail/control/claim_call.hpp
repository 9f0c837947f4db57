#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp> // ledger_id

namespace rhubarbgrade
{

/// @brief Arguments of a claim: a request may be dispatched under an issued
///        idempotency key only after the owner of the key granted the claim.
struct claim_call
{
    ledger_id owner;     ///< ledger that issued the key
    std::string key;     ///< idempotency key
    std::string request; ///< id of the request that claims the key
};

/// @brief Outcome of a claim.
enum class claim_status
{
    claimed,    ///< granted: the caller may dispatch the request
    answered,   ///< the request has run; its first answer is stored
    pending,    ///< claimed before; whether the request ran is unknown
    not_owner,  ///< the called host does not own the key
    unavailable ///< the owner is unreachable or can't replicate the claim
};

/// @brief Status of a claim and, if it is @ref claim_status::answered, the
///        stored answer.
struct claim_answer
{
    claim_status status = claim_status::unavailable;
    int answer_status = 0; ///< HTTP status, 0 without a stored answer
    std::string content_type;
    std::string body; ///< empty if the body is no longer stored
};

} // namespace rhubarbgrade
