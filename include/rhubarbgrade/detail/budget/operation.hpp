#pragma once

#include <cstdint> // uint64_t
#include <string>  // string
#include <variant> // variant
#include <vector>  // vector

#include <rhubarbgrade/detail/base/types.hpp> // ledger_id, token_count_t

namespace rhubarbgrade
{

/// @brief Which of a host's tokens a reservation is taken from.
enum class token_pool
{
    shared, ///< spent only with the acknowledgement of the second host
    solo    ///< set aside: spent by the holder alone, returned by nobody else
};

/// @brief Adds tokens that were drawn from the platform or sent by a peer.
struct credit
{
    std::string customer;
    token_count_t tokens = 0;
};

/// @brief Takes tokens out before they are returned or sent to a peer.
struct debit
{
    std::string customer;
    token_count_t tokens = 0;
};

/// @brief Moves shared tokens to the solo pool.
struct set_aside
{
    std::string customer;
    token_count_t tokens = 0;
};

/// @brief Moves solo tokens to the shared ones.
struct put_back
{
    std::string customer;
    token_count_t tokens = 0;
};

/// @brief Reserves the upper bound of a request's cost before its dispatch.
struct reserve
{
    std::string request;
    std::string customer;
    token_count_t tokens = 0;
    std::string endpoint; ///< empty until the request has an endpoint
    token_pool pool = token_pool::shared;
};

/// @brief Names the endpoint that is about to run a reserved request.
struct assign
{
    std::string request;
    std::string endpoint;
};

/// @brief Bills what a reserved request used and frees the rest.
struct settle
{
    std::string request;
    token_count_t tokens = 0;
};

/// @brief Frees a reservation whose request did not run; no bill.
struct release
{
    std::string request;
};

/// @brief Drops the bills up to a number: the platform holds them.
struct store_bills
{
    std::uint64_t batch = 0;   ///< number of the batch that holds them
    std::uint64_t through = 0; ///< number of the last bill in the batch
};

/// @brief Notes that every batch up to a number is settled in all shards.
struct mark_settled
{
    std::uint64_t batch = 0;
};

/// @brief Takes over a reservation together with its tokens.
struct adopt_reservation
{
    std::string request;
    std::string customer;
    token_count_t tokens = 0;
    std::string endpoint;
    token_pool pool = token_pool::shared;
    ledger_id origin; ///< the ledger in which it was made
};

/// @brief Takes over a bill that the platform does not hold yet.
struct adopt_bill
{
    std::string request;
    std::string customer;
    token_count_t tokens = 0;
    std::string endpoint;
    token_pool pool = token_pool::shared;
    std::uint64_t number = 0; ///< its number in the ledger, 0: the next one
};

/// @brief Remembers where a request ran whose bill the platform holds.
struct recall_request
{
    std::string request;
    std::string endpoint;
};

/// @brief Becomes the owner of the keys that @a origin issued.
struct adopt_keys
{
    ledger_id origin;
};

/// @brief Claims an idempotency key before its request is dispatched.
struct claim_key
{
    std::string key;
    std::string request;
};

/// @brief Frees a claimed key whose request was not dispatched.
struct drop_claim
{
    std::string key;
};

/// @brief Keeps the first answer to a claimed key for a repeat of it.
struct answer_key
{
    std::string key;
    int status = 0;
    std::string content_type;
    std::string body;
};

/// @brief One step of a ledger, applied alike by its owner and second host.
using operation =
    std::variant<credit, debit, set_aside, put_back, reserve, assign, settle,
                 release, store_bills, mark_settled, adopt_reservation,
                 adopt_bill, recall_request, adopt_keys, claim_key, drop_claim,
                 answer_key>;

} // namespace rhubarbgrade
