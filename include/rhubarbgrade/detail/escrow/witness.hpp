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

/// @brief One incarnation of a host's process.
struct process_id
{
    std::string host;
    std::string incarnation;

    /// @brief Whether this names no process.
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

/// @brief A request to confirm spending ceilings, and its answer.
///
/// A witness is a process of another host that records how much the owner may
/// spend of each budget. The owner spends no more than its witness has
/// confirmed, so if it dies, the witness knows the most that it can have spent.
struct witness_message
{
    process_id owner;       ///< spends the tokens; sends the request
    process_id witness;     ///< records the ceilings; sends the answer
    token_map_t ceilings;   ///< total tokens that the owner may spend
    bool confirmed = false; ///< false in the request, true in the answer
};

/// @brief The witness's side: ceilings that it has confirmed.
struct witness_record
{
    std::map<process_id, token_map_t> ceilings; ///< by owner
    std::set<process_id> closed; ///< owners that get no further confirmations
};

/// @brief Records the ceilings of a request; recorded ones are never lowered.
/// @return whether the request may be confirmed; false once the owner is closed
bool record_ceilings(witness_record& memory, const witness_message& request);

/// @brief Stops confirming to an owner, whose process has ended.
/// @return the confirmed ceilings: the most that it can have spent of each
///         budget; budgets without an entry were not spent from
token_map_t close_owner(witness_record& memory, const process_id& owner);

/// @brief The owner's side: ceilings that it requests and those confirmed.
struct owner_ceilings
{
    token_map_t wanted; ///< requested ceilings, never lowered
    std::map<process_id, token_map_t> confirmed; ///< ceilings by witness
};

/// @brief Raises the requested ceiling of a budget.
void request_ceiling(owner_ceilings& bond, const std::string& customer,
                     token_count_t ceiling);

/// @brief The requested ceilings that a witness has not confirmed yet.
token_map_t unconfirmed(const owner_ceilings& bond, const process_id& witness);

/// @brief Applies a witness's answer.
/// @return whether it raised a confirmed ceiling
bool apply_confirmation(owner_ceilings& bond, const witness_message& answer);

/// @brief The ceiling that a witness has confirmed for one budget, or 0.
token_count_t confirmed_ceiling(const owner_ceilings& bond,
                                const process_id& witness,
                                const std::string& customer);

/// @brief Whether @a successor has confirmed at least the ceilings of
///        @a current, so that it can replace it as the witness.
bool covers(const owner_ceilings& bond, const process_id& successor,
            const process_id& current);

} // namespace rhubarbgrade
