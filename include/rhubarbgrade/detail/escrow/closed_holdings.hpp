#pragma once

#include <vector> // vector

#include <rhubarbgrade/detail/escrow/escrow.hpp> // escrow_book, ended_holding

namespace rhubarbgrade
{

/// @brief Why a holding was closed at a certain amount.
enum class closing_reason
{
    confirmed,     ///< at the ceilings that its witness had confirmed
    witness_ended, ///< as spent in full: owner and witness have ended
    no_witness     ///< as spent in full: it had no witness yet
};

/// @brief A holding that a change of the account closes.
struct closed_holding
{
    ended_holding holding;
    closing_reason reason = closing_reason::no_witness;
};

/// @brief What a change of the account closes.
struct closed_holdings
{
    std::vector<closed_holding> holdings;
    budget_totals_t totals; ///< drawn: counted as spent from now on
};

/// @brief Finds the holdings that are closed in @a after and were not in
///        @a before, an earlier state of the same account.
closed_holdings find_closed(const escrow_book& before,
                            const escrow_book& after);

/// @brief Name of a reason, for logs.
const char* name_of(closing_reason reason);

} // namespace rhubarbgrade
