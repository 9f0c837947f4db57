#pragma once

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string

#include <rhubarbgrade/detail/escrow/account_change.hpp> // account_change
#include <rhubarbgrade/detail/escrow/escrow.hpp>         // escrow_book

namespace rhubarbgrade
{

/// @brief An account that has to be repaired before it can be drawn on; see
///        account_repair.hpp.
struct restored_account
{
    escrow_book book;
    std::uint64_t revision = 0;
    std::uint64_t era = 0; ///< of the store
};

/// @brief What a process knows of the escrow account.
///
/// Revisions are comparable within one era of the store only. The whole account
/// is read now and then; answers of writers are newer for the process's own
/// holding and for the budgets that it draws on.
struct account_view
{
    escrow_book book;
    std::uint64_t era = 0;          ///< of the store that had the book
    std::uint64_t revision = 0;     ///< of the book; 0 before the first read
    std::uint64_t own_revision = 0; ///< of the own holding in the book
    budget_totals_t totals;
    std::size_t hosts = 0; ///< that draw on the budgets
    /// The last change, until the own holding is known to have it; it may be
    /// applied at any time.
    std::optional<account_change> pending;
    std::uint64_t last_sequence = 0; ///< of the changes made so far
    bool joined = false;             ///< has owned the holding
    /// Set while the account of the current era is in repair; the book is then
    /// one of an earlier era, or empty.
    std::optional<restored_account> restored;
};

/// @brief Whether the host's holding belongs to @a self.
bool owns_holding(const account_view& view, const process_id& self);

/// @brief Whether another process has taken over the holding of @a self, which
///        must not draw any more.
bool replaced(const account_view& view, const process_id& self);

/// @brief Applies an account that was read.
/// @param[in] era  of the store that had it
/// @return false if it is older than the one that is known
bool apply_read(account_view& view, const process_id& self, escrow_book book,
                std::uint64_t revision, std::uint64_t era = 0);

/// @brief The latest era of the store from which the process has an account.
std::uint64_t known_era(const account_view& view);

/// @brief Applies a writer's answer to the pending change or to one that the
///        pending change contains.
/// @return false if it is older than what is known, or the change was not
///         applied
bool apply_answer(account_view& view, const process_id& self,
                  const account_answer& answer);

/// @brief Drops the pending change, which was refused, if that is safe.
///
/// A process that has joined keeps it: only the account shows whether the
/// process was replaced, and until then the change may still lower its holding.
void apply_refusal(account_view& view, const process_id& self);

/// @brief Total that @a self may spend of a budget, whatever becomes of the
///        pending change.
token_count_t certain_total(const account_view& view, const process_id& self,
                            const std::string& customer);

/// @brief Makes @a change the pending one, with the next sequence number.
///
/// An unsettled change is replaced by one that contains it: the earlier one may
/// still be applied, so its totals stay, and only ones that it raises may be
/// raised further.
void set_pending(account_view& view, account_change change);

} // namespace rhubarbgrade
