#pragma once

#include <cstdint>    // int64_t, uint64_t
#include <functional> // function
#include <map>        // map
#include <string>     // string
#include <vector>     // vector

#include <kj/async-io.h> // Timer
#include <kj/async.h>    // Promise, TaskSet

#include <rhubarbgrade/detail/base/error.hpp>  // result
#include <rhubarbgrade/detail/base/types.hpp>  // token_count_t
#include <rhubarbgrade/detail/budget/draw.hpp> // demand_rate, draw_policy

#include "ledger_owner.hpp" // ledger_owner

namespace rhubarbgrade
{

class peer_calls;

/// @brief Other hosts to which no call has failed recently.
struct reachable_peers
{
    std::vector<std::string> zone_hosts;   ///< live, of the own zone
    std::vector<std::string> remote_hosts; ///< of other zones
};

/// @brief Callbacks of @ref grant_manager.
struct grant_hooks
{
    std::function<reachable_peers()> peers;

    /// Starts a round of the platform worker without waiting for its timer.
    std::function<void()> wake_worker;
};

/// @brief Keeps enough tokens of each customer in this host's ledger to reserve
///        them for requests.
///
/// A customer's prepaid budget is split into the free balance on the platform
/// and the accounts in the ledgers of hosts. A draw moves tokens from the free
/// balance into this host's ledger, a return moves them back. This class
/// decides on both; the platform worker writes them to the platform in rounds.
///
/// When a reservation finds too few tokens, a search for tokens starts, one at
/// a time for each customer: it draws from the platform, then asks hosts of the
/// zone for tokens, then has hosts of other zones return tokens to the platform
/// and draws again.
///
/// Used on the control thread only.
class grant_manager : private kj::TaskSet::ErrorHandler
{
public:
    grant_manager(const draw_policy& policy, ledger_owner& owner,
                  peer_calls& peers, kj::Timer& timer, grant_hooks hooks);

    /// @brief Reserves tokens for a request, after a search for tokens if the
    ///        ledger holds too few.
    kj::Promise<result<void>> reserve_tokens(const std::string& request,
                                             const std::string& customer,
                                             token_count_t tokens);

    /// @brief Adds the tokens used by a request to the customer's demand rate.
    void record_usage(const std::string& customer, token_count_t tokens);

    /// @brief Transfers spare tokens to another host of the zone.
    /// @param[in] customer   owner of the tokens
    /// @param[in] tokens     number of tokens requested
    /// @param[in] requester  ledger that receives the tokens
    /// @param[in] number     sequence number of the call; a repeated call gets
    ///                       the same result, an older one gets 0
    /// @return number of tokens debited here, 0 for none
    kj::Promise<token_count_t> give(const std::string& customer,
                                    token_count_t tokens,
                                    const ledger_id& requester,
                                    std::uint64_t number);

    /// @brief Returns spare tokens to the platform at the request of a host of
    ///        another zone, which then draws them.
    /// @return number of tokens debited here, resolved when the next round of
    ///         the platform worker ends or times out
    kj::Promise<token_count_t> hand_back(const std::string& customer,
                                         token_count_t tokens);

    /// @brief Debits all free shared tokens to return them to the platform
    ///        because this host leaves.
    void return_all();

    /// @brief Customers for whom the platform worker should try a draw.
    ///
    /// Called at the start of a round: searches that began before it are
    /// resumed by the next @ref finish_round.
    /// @param[in] holders  number of hosts that may draw on the budgets
    std::map<std::string, draw_state> draw_states(std::size_t holders);

    /// @brief Moves out the tokens that are debited from the ledger and not yet
    ///        returned to the platform, by customer.
    std::map<std::string, token_count_t> extract_returns();

    /// @brief Adds drawn tokens to the ledger and refills the solo pools.
    /// @param[in] drawn  change of this host's grant by customer; amounts that
    ///                   are not positive are ignored
    void credit_drawn(const std::map<std::string, std::int64_t>& drawn);

    /// @brief Stores a customer's free balance as just read from the platform.
    void record_free_balance(const std::string& customer, token_count_t free);

    /// @brief Called when a new configuration is in force: cached balances
    ///        become invalid, and draws ahead of demand begin for each customer
    ///        unless there are too many customers.
    void update_customers(const std::vector<std::string>& customers);

    /// @brief Called at the end of a round of the platform worker.
    /// @param[in] reachable  whether the platform responded
    void finish_round(bool reachable);

private:
    using waiters_t = std::vector<kj::Own<kj::PromiseFulfiller<void>>>;

    struct customer_state
    {
        demand_rate demand;
        token_count_t needed = 0; ///< by all waiting requests, tokens
        token_count_t free = 0;   ///< last known free balance on the platform
        bool free_known = false;
        time_point_t exhausted_until{}; ///< no new search before this time
    };

    /// The last call of @ref give from one requester for one customer.
    struct last_transfer
    {
        std::uint64_t number = 0;
        token_count_t tokens = 0;
    };

    void taskFailed(kj::Exception&& reason) override;
    bool try_reserve(const std::string& request, const std::string& customer,
                     token_count_t tokens);
    /// Moves solo tokens to the shared pool if the shared tokens are fewer than
    /// @a tokens and both pools together are enough.
    void move_solo_to_shared(const std::string& customer, token_count_t tokens);
    /// Whether the tokens that may be reserved at present are enough.
    bool can_cover(const std::string& customer, token_count_t tokens) const;
    kj::Promise<result<void>> reserve_after_search(const std::string& request,
                                                   const std::string& customer,
                                                   token_count_t tokens,
                                                   int searches);
    /// Waits for the customer's search that is running, or starts one.
    kj::Promise<void> join_search(const std::string& customer);
    kj::Promise<void> search(const std::string& customer);
    void finish_search(const std::string& customer);
    /// Waits for a whole round of the platform worker that begins after this
    /// call. After a timeout the platform counts as unreachable.
    kj::Promise<void> next_round();
    kj::Promise<void> request_from_zone(const std::string& customer);
    kj::Promise<void> request_remote_returns(const std::string& customer);
    /// Debits the tokens that this host can spare.
    kj::Promise<token_count_t> debit_spare(const std::string& customer,
                                           token_count_t requested);
    draw_state draw_state_of(const std::string& customer) const;
    error shortage_error(const std::string& customer) const;
    /// Raises the solo pool to its configured share of the free tokens.
    void refill_solo(const std::string& customer);

    draw_policy m_policy;
    ledger_owner& m_owner;
    peer_calls& m_peers;
    kj::Timer& m_timer;
    grant_hooks m_hooks;
    std::map<std::string, customer_state> m_customers;
    /// Tokens debited from the ledger and not yet returned, by customer.
    std::map<std::string, token_count_t> m_returns;
    /// Requests that wait for a search, by customer; a search is running for
    /// each customer in the map.
    std::map<std::string, waiters_t> m_search_waiters;
    std::map<std::string, last_transfer>
        m_transfers;                      ///< by customer and requester
    waiters_t m_round_waiters;            ///< of the round that is running
    waiters_t m_next_round_waiters;       ///< of the round after it
    std::uint64_t m_last_give_number = 0; ///< of the calls to other hosts
    bool m_platform_reachable = false;
    kj::TaskSet m_tasks;
};

} // namespace rhubarbgrade
