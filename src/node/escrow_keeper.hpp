#pragma once

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <string>     // string

#include <boost/accumulators/accumulators.hpp>     // accumulator_set
#include <boost/accumulators/statistics/max.hpp>   // max
#include <boost/accumulators/statistics/mean.hpp>  // mean
#include <boost/accumulators/statistics/stats.hpp> // stats
#include <boost/asio/any_io_executor.hpp>          // any_io_executor
#include <boost/asio/awaitable.hpp>                // awaitable
#include <boost/asio/steady_timer.hpp>             // steady_timer

#include <rhubarbgrade/detail/escrow/escrow.hpp> // escrow_book, token_map_t

#include "../gateway/wallet_table.hpp" // budget_statuses_t, wallet_states_t
#include "../store/http_link.hpp"      // call_result

namespace rhubarbgrade
{

class store_client;
class witness_keeper;

/// @brief How this process identifies itself to the store and to peers.
struct node_identity
{
    process_id process;
    std::string address; ///< "ip:port" where it listens for peers
    std::string zone;    ///< availability zone
};

/// @brief Callbacks of @ref escrow_keeper; called on the control thread.
struct escrow_listener
{
    /// The state of each budget has changed. The holdings in it never exceed
    /// what the store has confirmed.
    std::function<void(budget_statuses_t)> budgets_changed;
    /// Asks the traffic thread to lower its holdings to these; the reply comes
    /// through @ref escrow_keeper::on_holdings_lowered.
    std::function<void(token_map_t)> lower_holdings;
    /// The account has been read; it lists the hosts of the fleet.
    std::function<void(const escrow_book&)> account_read;
};

/// @brief Draws tokens from the shared escrow account for this host and
///        returns those that it does not need.
///
/// The account (@ref escrow_book) is one object in the store and is changed by
/// conditional writes only. A write without a response may still be applied as
/// long as the object has the revision that the write names; until the
/// revision changes, both outcomes are assumed possible. All members run on
/// the control thread.
class escrow_keeper
{
public:
    escrow_keeper(const boost::asio::any_io_executor& executor,
                  store_client& store, witness_keeper& witnesses,
                  node_identity identity, escrow_listener listener);

    /// @brief Sets the prepaid tokens of each customer.
    void set_budgets(token_map_t budgets);

    /// @brief Stores the holdings and usage that the traffic thread reports;
    ///        starts a draw at once if requests wait for tokens.
    void update_wallet_states(wallet_states_t states);

    /// @brief The traffic thread has lowered its holdings to these.
    void on_holdings_lowered(const token_map_t& holdings);

    /// @brief A witness has confirmed a higher spending ceiling.
    void on_ceiling_confirmed();

    /// @brief Logs the calls on the account since the last call of this
    ///        function, and starts to count anew.
    void log_calls();

    /// @brief Adjusts the holdings to the usage until @ref close is called.
    boost::asio::awaitable<void> run();

    /// @brief Stops @ref run and returns all unused tokens to the account.
    /// @param[in] final_states  of the wallets when traffic has ended
    boost::asio::awaitable<void> close(wallet_states_t final_states);

private:
    enum class write_outcome
    {
        done,
        conflict, ///< revision has changed; the newer account was read
        failed,   ///< no response or an error; see m_pending
    };

    /// Calls on the account, for the log.
    struct call_statistics
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;    ///< applied
        std::uint64_t conflicts = 0; ///< refused: the revision had changed
        std::uint64_t failures = 0;  ///< reads and writes
        boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::mean,
                                               boost::accumulators::tag::max>>
            write_ms;
    };

    /// A write that has no response yet and may still be applied.
    struct pending_write
    {
        std::uint64_t revision = 0; ///< that the write is conditional on
        token_map_t drawn;
        process_id witness;
    };

    boost::asio::awaitable<void> refresh(bool stale_allowed);
    void update_fleet_rates();
    void record_call(bool answered);
    boost::asio::awaitable<write_outcome> write_account(escrow_book new_book);
    boost::asio::awaitable<milliseconds> step();
    boost::asio::awaitable<void> create_account();
    void apply_object(const std::string& body);
    void update_usable();
    void publish_budgets();
    wallet_states_t states_with_fleet_rates() const;
    bool return_unused(escrow_book& new_book);
    std::optional<escrow_book> plan_write();
    void request_lowering(const token_map_t& targets);
    bool owns_holding() const;
    token_count_t confirmed_limit(const std::string& customer) const;
    process_id registered_witness() const;
    void update_witness();
    bool candidate_ready() const;
    void drop_candidate();

    store_client& m_store;
    witness_keeper& m_witnesses;
    node_identity m_identity;
    escrow_listener m_listener;
    boost::asio::steady_timer m_wake_timer;
    escrow_policy m_policy;
    token_map_t m_budgets;
    wallet_states_t m_states;
    escrow_book m_book;
    std::uint64_t m_revision = 0; ///< of m_book; 0 before the first read
    std::optional<pending_write> m_pending;
    token_map_t m_usable;     ///< confirmed holdings of this process
    token_map_t m_lowering;   ///< targets requested and not yet reported
    time_point_t m_read_at{}; ///< last attempt to read the account
    time_point_t m_holding_since{};
    process_id m_candidate; ///< proposed as this host's next witness
    /// Version of the spending limits, sent with the budgets; increases when
    /// a limit may be lowered.
    std::uint64_t m_limit_round = 0;
    /// The candidate's confirmations limit spending before it is registered.
    bool m_candidate_limits = false;

    /// Tokens that all hosts use of one budget.
    struct fleet_usage
    {
        token_count_t used = 0;
        time_point_t measured_at{};
        double rate = 0; ///< tokens a second, smoothed
    };

    std::map<std::string, fleet_usage, std::less<>> m_fleet_usage;
    call_statistics m_calls;
    std::size_t m_account_bytes = 0; ///< as last read
    bool m_failing = false;          ///< the retry delay must not be cut short
    int m_consecutive_failures = 0;
    bool m_running = false;
    bool m_closing = false;
    bool m_stale = true; ///< the account must be read before the next write
};

} // namespace rhubarbgrade
