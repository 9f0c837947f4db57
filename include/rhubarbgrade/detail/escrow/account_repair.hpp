#pragma once

#include <cstdint> // uint64_t
#include <set>     // set
#include <string>  // string

#include <rhubarbgrade/detail/escrow/account_change.hpp> // account_change
#include <rhubarbgrade/detail/escrow/account_view.hpp>   // account_view
#include <rhubarbgrade/detail/escrow/escrow.hpp>         // escrow_book

namespace rhubarbgrade
{

// The store may come back from a copy some seconds old. Its era has risen then,
// and the account lacks the draws of these seconds. Before anything is drawn
// again, the hosts repair the account: it starts from the newest copy that any
// of them has read, and each host declares what it holds itself and what it
// has confirmed to others as their witness.

/// @brief Whether the account may be drawn on in an era of the store.
bool is_settled(const escrow_book& book, std::uint64_t era);

/// @brief Whether the copy that a host has read is newer than what the repair
///        of the account has started from.
/// @param[in] revision  of the account as it was read
bool has_newer_copy(const escrow_book& book, std::uint64_t revision,
                    const account_view& view);

/// @brief Starts the repair of an account, or starts it again from the newer
///        copy in @a view. What hosts have declared in this era stays.
/// @param[in,out] book  the account as it was read from the store
/// @param[in] revision  of the account as it was read
/// @param[in] era       of the store
void start_repair(escrow_book& book, std::uint64_t revision, std::uint64_t era,
                  const account_view& view);

/// @brief Makes a process's declaration of its holding.
/// @param[in] change     with the data of the process
/// @param[in] states     of its wallets
/// @param[in] confirmed  ceilings that it has confirmed as a witness
account_change make_declaration(account_change change, std::uint64_t era,
                                const account_view& view,
                                const wallet_states_t& states,
                                const witness_record& confirmed);

/// @brief Enters a declaration into an account in repair.
/// @return whether the account changed
bool apply_declaration(escrow_book& book, const account_change& declaration);

/// @brief Whether all of these hosts have declared their holdings.
bool all_declared(const escrow_book& book, const std::set<std::string>& hosts);

/// @brief Ends the repair. The holdings of processes that have not declared
///        them, and of those that have ended, count as spent in full once they
///        are closed: their witnesses may have been replaced in the writes that
///        were lost.
///
/// What witnesses confirmed to such processes beyond their holdings may have
/// been drawn in the lost writes. As far as the budgets cover it, it counts as
/// spent and is granted to nobody: the holding may be right.
/// @param[in] budgets  prepaid tokens by customer
void finish_repair(escrow_book& book, const token_map_t& budgets);

} // namespace rhubarbgrade
