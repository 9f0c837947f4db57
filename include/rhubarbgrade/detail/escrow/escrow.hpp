#pragma once

#include <cstdint>     // uint64_t
#include <map>         // map
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/error.hpp>     // result
#include <rhubarbgrade/detail/base/types.hpp>     // token_count_t
#include <rhubarbgrade/detail/escrow/witness.hpp> // process_id, token_map_t

namespace rhubarbgrade
{

/// @brief What one host has taken out of the budgets.
struct escrow_holding
{
    std::string incarnation; ///< of the process that may spend it
    std::string address;     ///< where peers ask the host for its state
    std::string zone;        ///< availability zone
    process_id witness;      ///< who confirms what it may spend, if anyone
    token_map_t drawn;       ///< taken in all by this incarnation
    token_map_t used;        ///< spent, as far as it has said
};

/// @brief The holding of an incarnation that has ended; its witness can tell
///        how much of it was not spent.
struct ended_holding
{
    process_id owner;
    process_id witness;
    token_map_t drawn;
    token_map_t used;
};

/// @brief The shared account of all budgets; lies in the store as one object
///        that changes by conditional writes only.
struct escrow_book
{
    token_map_t closed;      ///< drawn by incarnations that have ended
    token_map_t closed_used; ///< the part of it that is known to be spent
    std::map<std::string, escrow_holding, std::less<>> hosts;
    std::vector<ended_holding> ended; ///< not closed by their witnesses yet
};

/// @brief Tokens of a budget that no one has drawn.
/// @note Complexity: the number of hosts.
token_count_t undrawn(const escrow_book& book, std::string_view customer,
                      token_count_t prepaid);

/// @brief Tokens that are certainly spent.
token_count_t known_used(const escrow_book& book, std::string_view customer);

/// @brief Starts a host's holding anew for its new incarnation. What the old
///        one drew counts as spent, until its witness proves less.
/// @return whether the book changed
bool adopt(escrow_book& book, const process_id& self, std::string_view address,
           std::string_view zone);

/// @brief Closes the ended holdings whose witness @a self is, so that only
///        what they may have spent stays drawn, and those whose witness has
///        ended as well, as spent.
/// @return whether the book changed
bool close_ended(escrow_book& book, const process_id& self,
                 witness_memory& memory);

/// @brief What a host has and uses of one budget.
struct wallet_state
{
    token_count_t drawn = 0;    ///< confirmed by the store
    token_count_t reserved = 0; ///< bound of the requests in flight
    token_count_t used = 0;     ///< by requests that have ended
    token_count_t waiting = 0;  ///< bound of requests that wait for tokens
    token_count_t largest = 0;  ///< largest bound of a request seen lately
    double rate = 0;            ///< tokens used a second
    double fleet_rate = 0;      ///< by all hosts; 0 if not known
    std::uint64_t round = 0;    ///< of the news that the holding comes from
};

/// @brief What a host has and uses, by customer.
using wallet_states_t = std::map<std::string, wallet_state, std::less<>>;

/// @brief How far ahead hosts draw.
struct escrow_policy
{
    double most_s = 14;        ///< never hold more than this much use
    double least_s = 3;        ///< nor less, while there is any
    double share_left = 0.35;  ///< of what is left, what all hosts may hold
    double low_part = 0.65;    ///< of the target, under which a draw is due
    double refill_part = 0.85; ///< under which a draw that is made anyway
                               ///< takes this customer along
    double high_part = 2.2;    ///< of the target, over which tokens go back
    double first_share = 0.05; ///< of the budget, over all hosts, at the start
    std::size_t hosts = 1;
};

/// @brief How many seconds of use a host should hold.
///
/// Holding more rides out a longer outage of the store; what a host that dies
/// holds is lost. So hosts hold more while plenty is left.
double target_seconds(const wallet_state& state, token_count_t left,
                      const escrow_policy& policy);

/// @brief What a host should have drawn in all: more, less or the same.
/// @param[in] state    the host's side
/// @param[in] left     undrawn tokens in the store
/// @param[in] prepaid  the budget
/// @param[in] part     of the target under which to draw
/// @return the new value for its holding; never under what is in use
token_count_t desired_draw(const wallet_state& state, token_count_t left,
                           token_count_t prepaid, const escrow_policy& policy,
                           double part);

/// @brief Draws for all customers of a host whose holding is low.
/// @param[in,out] book  the account as it is to be written; what a draw takes
///                      is no longer left for the next one
/// @param[in] budgets   prepaid tokens by customer
/// @param[in] states    the host's side; what it holds is taken from the book
/// @param[in] part      of the target under which to draw
/// @param[in] skipped   customers whose holding is being given back
/// @param[out] back     holdings that are too large, with the right size
/// @return whether anything was drawn
bool draw_tokens(escrow_book& book, std::string_view host,
                 const token_map_t& budgets, const wallet_states_t& states,
                 const escrow_policy& policy, double part,
                 const token_map_t& skipped, token_map_t& back);

/// @brief Whether a request can't fit into a budget, whoever holds the rest.
bool certainly_exhausted(const escrow_book& book, std::string_view customer,
                         token_count_t prepaid, token_count_t bound);

/// @brief The book as JSON text.
std::string encode_book(const escrow_book& book);

/// @brief Reads what @ref encode_book wrote.
result<escrow_book> decode_book(std::string_view text);

} // namespace rhubarbgrade
