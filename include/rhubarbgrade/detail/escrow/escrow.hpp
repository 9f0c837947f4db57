#pragma once

#include <cstdint>     // uint64_t
#include <map>         // map
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/error.hpp>     // errc, result
#include <rhubarbgrade/detail/base/types.hpp>     // token_count_t
#include <rhubarbgrade/detail/escrow/witness.hpp> // process_id, token_map_t

namespace rhubarbgrade
{

/// @brief The tokens that one host has drawn from the prepaid budgets.
struct escrow_holding
{
    std::string incarnation; ///< of the process that may spend them
    std::string address;     ///< "ip:port" at which peers query its state
    std::string zone;        ///< availability zone
    process_id witness;      ///< confirms its spending ceilings; may be none
    token_map_t drawn;       ///< total drawn by this incarnation
    token_map_t used;        ///< spent, as last reported by the host
    /// Sequence number of the incarnation's last change; see account_change.
    std::uint64_t sequence = 0;
    /// Cores times Mbit/s of the host; hosts with more write for the others.
    double capacity = 0;
};

/// @brief The holding of an incarnation that has ended.
///
/// It stays here until it is closed: the witness knows the highest amount that
/// the owner can have spent, and the rest returns to the budget.
struct ended_holding
{
    process_id owner;
    process_id witness;
    token_map_t drawn;
    token_map_t used;
};

/// @brief A repair of the account after the store came back from a copy.
struct account_repair
{
    std::uint64_t base_era = 0; ///< of the account that the repair started from
    std::uint64_t base_revision = 0; ///< in that era
    /// Incarnation by host of the processes that have declared their holdings.
    std::map<std::string, std::string, std::less<>> declared;
    /// Ceilings that processes have confirmed to others as their witnesses.
    std::map<process_id, token_map_t> ceilings;
};

/// @brief The escrow account of all prepaid budgets.
///
/// Kept as one object in the shared store; hosts change it by conditional
/// writes only.
struct escrow_book
{
    token_map_t closed;      ///< drawn in holdings that are closed
    token_map_t closed_used; ///< of these, known to be spent
    std::map<std::string, escrow_holding, std::less<>> hosts;
    std::vector<ended_holding> ended; ///< not closed yet
    /// Era of the store in which the account holds; see account_repair.hpp.
    std::uint64_t era = 0;
    std::optional<account_repair> repair; ///< until it has ended
};

/// @brief Tokens of one budget in the whole account.
struct budget_total
{
    token_count_t drawn = 0; ///< by all hosts, closed holdings included
    token_count_t used = 0;  ///< reported as spent; see known_used
};

/// @brief Totals by customer.
using budget_totals_t = std::map<std::string, budget_total, std::less<>>;

/// @brief The totals of all budgets in the account.
budget_totals_t totals_of(const escrow_book& book);

/// @brief Tokens of a budget that no host has drawn.
/// @param[in] prepaid  the whole budget
/// @note Complexity: linear in the number of hosts and of ended holdings.
token_count_t undrawn(const escrow_book& book, std::string_view customer,
                      token_count_t prepaid);

/// @brief Tokens of a budget that hosts have reported as spent; a lower bound
///        of the real use.
token_count_t known_used(const escrow_book& book, std::string_view customer);

/// @brief Starts an empty holding for a new incarnation of a host.
///
/// The previous incarnation's holding counts as spent until its witness closes
/// it; without a witness it is closed at once and counts as spent for good.
/// @return whether the book changed
bool adopt(escrow_book& book, const process_id& self, std::string_view address,
           std::string_view zone);

/// @brief Closes the ended holdings that can be closed by this process.
///
/// If @a self is the witness, only the confirmed ceilings stay drawn and the
/// rest returns to the budget. If the witness has ended as well, the holding
/// counts as spent in full.
/// @param[in,out] memory  ceilings confirmed by @a self; the owners of closed
///                        holdings get no further confirmations
/// @return whether the book changed
bool close_ended(escrow_book& book, const process_id& self,
                 witness_record& memory);

/// @brief Returns the ceilings that @a self, as witness, confirmed to owners
///        that have ended; they get no further confirmations.
std::map<process_id, token_map_t> ceilings_of_ended(const escrow_book& book,
                                                    const process_id& self,
                                                    witness_record& memory);

/// @brief Closes the ended holdings that @a self is the witness of and has
///        ceilings for, and those whose witness has ended as well.
/// @param[in] ceilings  as of @ref ceilings_of_ended
/// @return whether the book changed
bool close_ended(escrow_book& book, const process_id& self,
                 const std::map<process_id, token_map_t>& ceilings);

/// @brief Requests refused for want of tokens, by cause; see reserve_result.
struct shortage_counts
{
    std::uint64_t undrawn = 0;
    std::uint64_t unconfirmed = 0;
    std::uint64_t no_draws = 0;

    bool operator==(const shortage_counts&) const = default;
};

/// @brief A host's tokens of one customer's budget, and the demand for them.
struct wallet_state
{
    token_count_t drawn = 0;    ///< total drawn, confirmed by the store
    token_count_t reserved = 0; ///< upper bounds of requests in flight
    token_count_t used = 0;     ///< by requests that have ended
    token_count_t waiting = 0;  ///< upper bounds of requests queued for tokens
    token_count_t largest = 0;  ///< largest upper bound of a recent request
    double rate = 0;            ///< tokens per second used by this host
    double fleet_rate = 0;      ///< tokens per second of all hosts; 0: unknown
    std::uint64_t round = 0;    ///< version of the limits last applied
    shortage_counts refused;    ///< since the start
};

/// @brief The state of each budget on a host, by customer.
using wallet_states_t = std::map<std::string, wallet_state, std::less<>>;

/// @brief How many tokens a host draws ahead of its demand.
struct escrow_policy
{
    double max_holding_s = 14;   ///< upper bound of a holding, seconds of use
    double min_holding_s = 3;    ///< lower bound while the budget has tokens
    double undrawn_share = 0.35; ///< of the undrawn tokens; limit for all hosts
    double low_watermark = 0.65; ///< of the target; below it the host draws
    double refill_watermark = 0.85; ///< of the target; below it a customer is
                                    ///< included in a write that is made anyway
    double high_watermark = 2.2;    ///< of the target; above it tokens return
    double idle_share = 0.05;       ///< of the budget, held by all idle hosts
    std::size_t hosts = 1;          ///< that draw on the budgets
};

/// @brief The size of a holding, in seconds of the host's use.
///
/// A larger holding bridges a longer outage of the store, but is lost if the
/// host dies. So the size grows with the tokens left in the budget.
/// @param[in] left  undrawn tokens in the store
double target_seconds(const wallet_state& state, token_count_t left,
                      const escrow_policy& policy);

/// @brief The total that a host should have drawn of one budget.
/// @param[in] state       the host's tokens and demand
/// @param[in] left        undrawn tokens in the store
/// @param[in] prepaid     the whole budget
/// @param[in] draw_below  part of the target below which the host draws
/// @return the new value for its holding, higher, lower or unchanged; never
///         below the tokens in use
token_count_t desired_holding(const wallet_state& state, token_count_t left,
                              token_count_t prepaid,
                              const escrow_policy& policy, double draw_below);

/// @brief Draws for all customers of a host whose holding is low.
/// @param[in,out] book    the account as it is to be written, updated by each
///                        draw
/// @param[in] budgets     prepaid tokens by customer
/// @param[in] states      the host's demand; the holdings come from @a book
/// @param[in] draw_below  part of the target below which the host draws
/// @param[in] skipped     customers not to draw for: their holdings are being
///                        lowered
/// @param[out] excess     new totals of the holdings that are too large
/// @return whether anything was drawn
bool draw_tokens(escrow_book& book, std::string_view host,
                 const token_map_t& budgets, const wallet_states_t& states,
                 const escrow_policy& policy, double draw_below,
                 const token_map_t& skipped, token_map_t& excess);

/// @brief As above, for a host that knows its holding and the totals.
/// @param[in,out] drawn   the host's holding by customer
/// @param[in,out] totals  of the account
bool draw_tokens(token_map_t& drawn, budget_totals_t& totals,
                 const token_map_t& budgets, const wallet_states_t& states,
                 const escrow_policy& policy, double draw_below,
                 const token_map_t& skipped, token_map_t& excess);

/// @brief Whether the reported use alone leaves too few tokens for a request,
///        however the remaining tokens are spread over the hosts.
/// @param[in] bound  upper bound of the request's cost
bool certainly_exhausted(const escrow_book& book, std::string_view customer,
                         token_count_t prepaid, token_count_t bound);

/// @brief Encodes the account as JSON text.
std::string encode_escrow_book(const escrow_book& book);

/// @brief Decodes the JSON text of @ref encode_escrow_book.
/// @return the account, or @ref errc::malformed
result<escrow_book> decode_escrow_book(std::string_view text);

} // namespace rhubarbgrade
