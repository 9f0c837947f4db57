#pragma once

#include <cstdint>     // uint64_t
#include <deque>       // deque
#include <map>         // map
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/error.hpp>       // result
#include <rhubarbgrade/detail/base/types.hpp>       // ledger_id, token_count_t
#include <rhubarbgrade/detail/budget/operation.hpp> // operation, token_pool

namespace rhubarbgrade
{

/// @brief A customer's unreserved tokens in a ledger, by pool.
struct account
{
    token_count_t shared = 0; ///< see token_pool::shared
    token_count_t solo = 0;   ///< see token_pool::solo
};

/// @brief Tokens reserved for a request that may run.
struct reservation
{
    std::string customer;
    token_count_t tokens = 0; ///< upper bound of the cost
    std::string endpoint;     ///< empty until the request has an endpoint
    token_pool pool = token_pool::shared;
    ledger_id origin; ///< the ledger in which it was made
};

/// @brief The cost of one request; kept until the platform has stored it.
struct bill
{
    std::string request;
    std::string customer;
    token_count_t tokens = 0;
    std::string endpoint;
    token_pool pool = token_pool::shared;
};

/// @brief A claimed idempotency key with its request and, later, its answer.
struct claim
{
    std::string request;
    int status = 0; ///< HTTP status; 0 until there is an answer
    std::string content_type;
    std::string body;
};

/// @brief The tokens, bills and idempotency keys of one incarnation of a host.
///
/// Changed only by @ref apply_operation. The owner and the second host, which
/// holds a replica, apply the same operations in the same order.
struct ledger
{
    ledger_id id;
    std::uint64_t sequence = 0; ///< operations applied so far
    std::map<std::string, account, std::less<>> accounts;
    std::map<std::string, reservation, std::less<>> reservations;
    std::map<std::uint64_t, bill> bills; ///< by number, oldest first
    std::uint64_t last_bill = 0;         ///< number of the newest bill
    std::uint64_t batches = 0; ///< number of the last stored batch of bills
    std::uint64_t settled = 0; ///< last batch settled in all shards
    std::set<ledger_id>
        key_issuers; ///< ledgers whose issued keys this one owns
    std::map<std::string, claim, std::less<>> claims;
    std::map<std::string, std::string, std::less<>>
        recent;                           ///< endpoint by settled request
    std::deque<std::string> recent_order; ///< oldest first
    std::deque<std::string> answer_order; ///< keys with a body, oldest first
};

/// @brief Number of settled requests kept to answer retries of their key.
constexpr std::size_t recent_limit = 4096;

/// @brief Number of answers kept with their body to replay for their key.
constexpr std::size_t answer_limit = 1024;

/// @brief Applies one operation.
/// @param[in,out] book  the ledger; unchanged if the operation fails
/// @param[in] change    the operation
/// @return nothing, or @ref errc::bad_operation or
///         @ref errc::budget_exhausted with the reason
/// @note Complexity: logarithmic in the size of the ledger; @ref store_bills is
///       linear in the number of bills removed.
/// @sa to_operations
result<void> apply_operation(ledger& book, const operation& change);

/// @brief The operations that rebuild @a book from an empty ledger.
std::vector<operation> to_operations(const ledger& book);

/// @brief A customer's tokens in a ledger: unreserved, reserved and billed.
token_count_t total(const ledger& book, std::string_view customer);

/// @brief Finds the endpoint that a request was sent to, among the reservations
///        and the last @ref recent_limit settled requests.
/// @return the endpoint, or null if the request is not known
const std::string* find_request(const ledger& book, std::string_view request);

/// @brief Asserts the invariants: no empty request id, no reservation of a
///        customer without an account, no bill above the newest number.
void assert_invariants(const ledger& book);

} // namespace rhubarbgrade
