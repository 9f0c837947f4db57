#pragma once

#include <cstdint> // uint64_t
#include <string>  // string
#include <variant> // variant
#include <vector>  // vector

#include <rhubarbgrade/detail/base/types.hpp> // ledger_id, token_count_t

namespace rhubarbgrade
{

/// @brief The pools of a host's tokens that a reservation can be taken from.
enum class token_pool
{
    /// Spent only after the second host has acknowledged the reservation.
    shared,
    /// Set aside for the ledger's owner, which spends them without an
    /// acknowledgement; no other host returns them.
    solo
};

/// @brief Adds shared tokens drawn from the platform or received from a peer.
struct credit
{
    std::string customer;
    token_count_t tokens = 0;
};

/// @brief Removes shared tokens before they are returned to the platform or
///        sent to a peer.
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

/// @brief Moves solo tokens to the shared pool.
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

/// @brief Sets the endpoint that is about to run a request.
struct assign
{
    std::string request;
    std::string endpoint;
};

/// @brief Bills the tokens that a request used and releases the rest of its
///        reservation.
struct settle
{
    std::string request;
    token_count_t tokens = 0;
};

/// @brief Releases a reservation without a bill: the request did not run.
struct release
{
    std::string request;
};

/// @brief Removes the bills up to a number, which the platform has stored.
struct store_bills
{
    std::uint64_t batch = 0;   ///< number of the batch they were stored in
    std::uint64_t through = 0; ///< number of the last bill in the batch
};

/// @brief Records that all batches up to a number are settled in all shards.
struct mark_settled
{
    std::uint64_t batch = 0;
};

/// @brief Takes over a reservation and its tokens from another ledger.
struct adopt_reservation
{
    std::string request;
    std::string customer;
    token_count_t tokens = 0;
    std::string endpoint;
    token_pool pool = token_pool::shared;
    ledger_id origin; ///< the ledger in which it was made
};

/// @brief Takes over a bill that the platform has not stored yet.
struct adopt_bill
{
    std::string request;
    std::string customer;
    token_count_t tokens = 0;
    std::string endpoint;
    token_pool pool = token_pool::shared;
    std::uint64_t number = 0; ///< its number, 0: the next free one
};

/// @brief Records the endpoint of a request whose bill the platform has stored.
struct recall_request
{
    std::string request;
    std::string endpoint;
};

/// @brief Takes over the idempotency keys that @a origin issued.
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

/// @brief Releases a claimed key whose request was not dispatched.
struct drop_claim
{
    std::string key;
};

/// @brief Stores the answer to a claimed key, to replay it for later requests
///        with the key.
struct answer_key
{
    std::string key;
    int status = 0;
    std::string content_type;
    std::string body;
};

/// @brief A change to a ledger, replicated from its owner to the second host.
using operation =
    std::variant<credit, debit, set_aside, put_back, reserve, assign, settle,
                 release, store_bills, mark_settled, adopt_reservation,
                 adopt_bill, recall_request, adopt_keys, claim_key, drop_claim,
                 answer_key>;

} // namespace rhubarbgrade
