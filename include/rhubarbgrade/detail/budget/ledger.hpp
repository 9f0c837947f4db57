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

/// @brief What a host holds of one customer's budget and has not reserved.
struct account
{
    token_count_t shared = 0;
    token_count_t solo = 0;
};

/// @brief Tokens set apart for a request that may run.
struct reservation
{
    std::string customer;
    token_count_t tokens = 0;
    std::string endpoint;
    token_pool pool = token_pool::shared;
    ledger_id origin;
};

/// @brief What one request cost; kept until the platform holds it.
struct bill
{
    std::string request;
    std::string customer;
    token_count_t tokens = 0;
    std::string endpoint;
    token_pool pool = token_pool::shared;
};

/// @brief A claimed idempotency key and, once there is one, its answer.
struct claim
{
    std::string request;
    int status = 0; ///< 0 while the outcome is not known
    std::string content_type;
    std::string body;
};

/// @brief The escrow of one incarnation of a host.
///
/// Changed by @ref apply_operation only, in the same order by its owner and by
/// the second host that holds a replica of it.
struct ledger
{
    ledger_id id;
    std::uint64_t sequence = 0; ///< operations applied so far
    std::map<std::string, account, std::less<>> accounts;
    std::map<std::string, reservation, std::less<>> reservations;
    std::map<std::uint64_t, bill> bills; ///< by number, oldest first
    std::uint64_t last_bill = 0;         ///< number of the newest bill
    std::uint64_t batches = 0;           ///< batches that the platform holds
    std::uint64_t settled = 0;           ///< batches settled in all shards
    std::set<ledger_id> keys_of;         ///< owner of the keys these issued
    std::map<std::string, claim, std::less<>> claims;
    std::map<std::string, std::string, std::less<>>
        recent;                           ///< request: endpoint
    std::deque<std::string> recent_order; ///< oldest first
    std::deque<std::string> answer_order; ///< keys with a body, oldest first
};

/// @brief Settled requests remembered for a retry of their key.
constexpr std::size_t recent_limit = 4096;

/// @brief Answers kept with their body for a repeat of their key.
constexpr std::size_t answer_limit = 1024;

/// @brief Applies one operation.
/// @param[in,out] book  the ledger; unchanged if the operation does not apply
/// @param[in] step      the operation
/// @return nothing, or @ref errc::bad_operation or
///         @ref errc::budget_exhausted with the reason
/// @note Complexity: logarithmic in the size of the ledger, but for
///       store_bills, linear in the bills dropped.
/// @sa to_operations
result<void> apply_operation(ledger& book, const operation& step);

/// @brief The operations that rebuild @a book on an empty ledger.
std::vector<operation> to_operations(const ledger& book);

/// @brief All tokens in @a book of @a customer: free, reserved and billed.
token_count_t total(const ledger& book, std::string_view customer);

/// @brief Finds where a request was sent, also for a while after its bill.
/// @return the endpoint, or nothing if the request is not known
const std::string* find_request(const ledger& book, std::string_view request);

/// @brief Asserts the invariants: no empty request id, no reservation of a
///        customer without an account, no bill above the newest number.
void assert_invariants(const ledger& book);

} // namespace rhubarbgrade
