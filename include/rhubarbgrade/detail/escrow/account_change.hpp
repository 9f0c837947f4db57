#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp>     // token_count_t
#include <rhubarbgrade/detail/escrow/escrow.hpp>  // escrow_book
#include <rhubarbgrade/detail/escrow/witness.hpp> // process_id, token_map_t

namespace rhubarbgrade
{

/// @brief A process's change to its host's holding in the escrow account.
///
/// The owner sends it to the host that writes the account, which may apply the
/// changes of many owners in one conditional write. A change may arrive late,
/// repeatedly or at several writers: the holding records the sequence number of
/// the last change, so each one is applied once at most, and never after a
/// later one.
struct account_change
{
    process_id owner;
    std::string address; ///< of the owner, for the holding and the answer
    std::string zone;    ///< availability zone of the owner
    double capacity = 0; ///< of the owner's host; see escrow_holding
    std::uint64_t sequence = 0; ///< greater than that of any earlier change
    /// Incarnation whose holding the owner takes over if the holding is not its
    /// own; a change that names another one than the account is refused.
    std::string replaces;
    process_id witness; ///< to be registered; none: the witness stays
    token_map_t drawn;  ///< requested totals, lower or higher than drawn so far
    token_map_t used;   ///< spent by the owner so far
    /// Ceilings that the owner, as witness, confirmed to processes that have
    /// ended.
    std::map<process_id, token_map_t> closed;
    bool urgent = false; ///< requests of callers wait for it
    /// Era of the store in whose repair the change declares the owner's whole
    /// holding; 0 if it doesn't. Then "closed" has the ceilings that the owner
    /// confirmed to processes that may have ended.
    std::uint64_t declares = 0;
};

/// @brief What became of a change.
enum class change_result
{
    applied,
    known,   ///< was applied before
    refused, ///< the holding belongs to another process
    failed,  ///< the account could not be written
};

/// @brief A writer's answer to a change.
struct account_answer
{
    process_id owner;
    std::uint64_t sequence = 0; ///< of the change
    change_result result = change_result::failed;
    std::string writer;         ///< host that answers
    std::uint64_t era = 0;      ///< of the store that has the account
    std::uint64_t revision = 0; ///< of the account that has the change
    std::size_t hosts = 0;      ///< in the account
    process_id witness;         ///< registered in the account
    token_map_t drawn;          ///< totals of the customers in the change
    budget_totals_t totals;     ///< of the customers in the change
};

/// @brief Applies a change to the account.
///
/// Higher totals are limited by the undrawn tokens of the budget.
/// @param[in] budgets     prepaid tokens by customer
/// @param[in,out] totals  of @a book
change_result apply_change(escrow_book& book, budget_totals_t& totals,
                           const token_map_t& budgets,
                           const account_change& change);

/// @brief Makes the answer to a change from the account that has it.
account_answer make_answer(const escrow_book& book,
                           const budget_totals_t& totals,
                           const account_change& change, change_result result,
                           std::uint64_t revision);

} // namespace rhubarbgrade
