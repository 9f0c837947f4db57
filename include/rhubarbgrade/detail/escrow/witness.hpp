#pragma once

#include <map>    // map
#include <set>    // set
#include <string> // string
#include <tuple>  // tie

#include <rhubarbgrade/detail/base/types.hpp> // token_count_t

namespace rhubarbgrade
{

/// @brief Tokens by customer.
using token_map_t = std::map<std::string, token_count_t, std::less<>>;

/// @brief One life of a host's process; an empty host means none.
struct process_id
{
    std::string host;
    std::string incarnation;

    bool none() const
    {
        return host.empty();
    }

    bool operator==(const process_id&) const = default;

    bool operator<(const process_id& other) const
    {
        return std::tie(host, incarnation) <
               std::tie(other.host, other.incarnation);
    }
};

/// @brief What a host asks its witness to remember, and the answer to it.
///
/// A host spends no more of a budget than its witness has confirmed. If the
/// host dies, the witness knows how much it may have spent at the most.
struct witness_message
{
    process_id owner;
    process_id witness;
    token_map_t ceilings; ///< tokens in all that the owner may spend
    bool confirmed = false;
};

/// @brief The ceilings that this process has confirmed to others.
struct witness_memory
{
    std::map<process_id, token_map_t> ceilings; ///< by owner
    std::set<process_id> closed; ///< owners that get no more confirmations
};

/// @brief Remembers ceilings and confirms them.
/// @return whether the message may be answered; what is closed stays so
bool remember(witness_memory& memory, const witness_message& asked);

/// @brief Ends the confirmations to an owner, which is dead.
/// @return what it may have spent of each budget; nothing of others
token_map_t close_owner(witness_memory& memory, const process_id& owner);

/// @brief The owner's side: what it wants to have and has confirmed.
struct witness_bond
{
    token_map_t wanted; ///< ceilings, never lowered
    std::map<process_id, token_map_t> confirmed;
};

/// @brief Raises the wanted ceiling of a budget.
void want_ceiling(witness_bond& bond, const std::string& customer,
                  token_count_t ceiling);

/// @brief The wanted ceilings that a witness has not confirmed yet.
token_map_t unconfirmed(const witness_bond& bond, const process_id& witness);

/// @brief Takes a confirmation.
/// @return whether it raised anything
bool take_confirmation(witness_bond& bond, const witness_message& answer);

/// @brief What a witness has confirmed of one budget.
token_count_t confirmed_ceiling(const witness_bond& bond,
                                const process_id& witness,
                                const std::string& customer);

/// @brief Whether a second witness has confirmed at least what a first one
///        has, so that it may take the first one's place.
bool covers(const witness_bond& bond, const process_id& second,
            const process_id& first);

} // namespace rhubarbgrade
