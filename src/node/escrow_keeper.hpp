#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <map>         // map
#include <optional>    // optional
#include <random>      // minstd_rand
#include <string>      // string
#include <string_view> // string_view

#include <boost/accumulators/accumulators.hpp>     // accumulator_set
#include <boost/accumulators/statistics/max.hpp>   // max
#include <boost/accumulators/statistics/mean.hpp>  // mean
#include <boost/accumulators/statistics/stats.hpp> // stats
#include <boost/asio/any_io_executor.hpp>          // any_io_executor
#include <boost/asio/awaitable.hpp>                // awaitable
#include <boost/asio/steady_timer.hpp>             // steady_timer

#include <rhubarbgrade/detail/escrow/account_change.hpp> // account_change
#include <rhubarbgrade/detail/escrow/account_view.hpp>   // account_view
#include <rhubarbgrade/detail/escrow/escrow.hpp>         // escrow_book
#include <rhubarbgrade/detail/escrow/writer_choice.hpp>  // host_contacts_t

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
    double capacity = 0; ///< of the host; see escrow_holding
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
    /// Sends this host's change to the peer at an "ip:port"; it may be lost.
    std::function<void(const std::string&, const account_change&)> send_change;
    /// Sends the answer to a peer's change to an "ip:port"; it may be lost.
    std::function<void(const std::string&, const account_answer&)> send_answer;
};

/// @brief Draws tokens from the shared escrow account for this host and
///        returns those that it does not need.
///
/// The account (@ref escrow_book) is one object in the store and is changed by
/// conditional writes only. If each host wrote it, most writes would fail,
/// because another one had come first. So a host sends its change to the host
/// that @ref choose_writer names, which applies the changes of all hosts in one
/// write; it writes by itself if it is that host or no writer answers. A change
/// without an answer may still be applied; until its outcome is known, both are
/// assumed possible. All members run on the control thread.
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

    /// @brief Takes a peer's change, to be written with the next write.
    void handle_change(account_change change);

    /// @brief Handles the answer to this host's change.
    void handle_answer(const account_answer& reply);

    /// @brief Another host has found that the store answers again, or has
    ///        begun another era.
    void on_store_back();

    /// @brief Records a heartbeat of a host.
    /// @param[in] writable  whether the host can write the account
    void record_heartbeat(const std::string& host, bool writable);

    /// @brief Whether this host can write the account now, as far as it knows.
    bool can_write() const;

    /// @brief Logs the calls on the account since the last call of this
    ///        function, and starts to count anew.
    void log_calls();

    /// @brief Adjusts the holdings to the usage until @ref close is called.
    boost::asio::awaitable<void> run();

    /// @brief Stops @ref run and returns all unused tokens to the account.
    /// @param[in] final_states  of the wallets when traffic has ended
    boost::asio::awaitable<void> close(wallet_states_t final_states);

private:
    using changes_t = std::map<process_id, account_change>;

    /// Calls on the account, for the log.
    struct call_statistics
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;    ///< applied
        std::uint64_t conflicts = 0; ///< refused: the revision had changed
        std::uint64_t failures = 0;  ///< reads, writes and silent writers
        std::uint64_t sent = 0;      ///< own changes sent to a writer
        std::uint64_t answered = 0;  ///< of these, applied
        std::uint64_t for_peers = 0; ///< changes of peers that were written
        boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::mean,
                                               boost::accumulators::tag::max>>
            write_ms;
    };

    /// The account as it is to be written, and what becomes of each change.
    struct planned_write
    {
        escrow_book book;
        std::map<process_id, change_result> results;
        bool changed = false;
        bool any_refused = false;
    };

    planned_write apply_all(const changes_t& changes) const;
    milliseconds fail_all(const changes_t& changes);
    void log_closed(const escrow_book& before, const escrow_book& after);
    void log_shortages();
    boost::asio::awaitable<void> refresh(bool stale_allowed);
    boost::asio::awaitable<void> create_account();
    boost::asio::awaitable<milliseconds> step();
    boost::asio::awaitable<milliseconds> write_changes(bool paced);
    boost::asio::awaitable<call_result> put_account(const escrow_book& book,
                                                    std::uint64_t revision);
    milliseconds send_pending(const std::string& writer);
    milliseconds conflict_pause();
    milliseconds failure_pause();
    void answer_all(const changes_t& changes, const escrow_book& book,
                    const std::map<process_id, change_result>& results);
    void answer(const account_change& change, account_answer reply);
    void avoid(const std::string& host, std::string_view reason);
    void record_own_answer();
    std::string choose_writer_now();
    void update_fleet_rates();
    void record_call(bool answered);
    void record_outcome(bool answered);
    bool apply_object(const std::string& body, std::uint64_t era);
    void apply_view();
    bool in_repair() const;
    boost::asio::awaitable<milliseconds>
    repair_account(restored_account restored);
    account_change declaration(const restored_account& restored);
    bool enter_declarations(escrow_book& book, const account_change& own);
    bool repair_complete(const escrow_book& book) const;
    boost::asio::awaitable<void> write_repair(const escrow_book& book,
                                              std::uint64_t revision);
    void update_usable();
    void publish_budgets();
    wallet_states_t states_with_fleet_rates() const;
    void add_returns(account_change& change);
    void plan_join();
    const account_change* pending_change() const;
    void replace_pending(account_change change);
    void plan_change();
    account_change make_change() const;
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
    account_view m_view;
    changes_t m_received; ///< changes of peers that are not written yet
    host_contacts_t m_contacts;
    time_point_t m_started;
    std::string m_writer;        ///< to which the pending change was sent
    time_point_t m_sent_since{}; ///< first time to m_writer
    time_point_t m_sent_at{};    ///< last time
    std::uint64_t m_sent_sequence = 0;
    /// Last sequence of a change that was sent, and when it was at first.
    std::uint64_t m_first_sent_sequence = 0;
    time_point_t m_first_sent_at{};
    int m_failed_writers = 0;    ///< for the pending change
    time_point_t m_written_at{}; ///< begin of the last write that was applied
    int m_consecutive_conflicts = 0;
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
    std::optional<account_change> m_declaration; ///< of the repair in progress
    time_point_t m_repair_since{}; ///< when this host learned of it
    time_point_t m_declared_at{};  ///< last time that it was sent
    std::minstd_rand m_random{std::random_device{}()};
    call_statistics m_calls;
    /// Refusals that have been logged, by customer.
    std::map<std::string, shortage_counts, std::less<>> m_logged_refusals;
    /// Tokens of closed holdings that count as spent but were not reported as
    /// used, over all writes of this process.
    token_count_t m_stranded = 0;
    std::size_t m_account_bytes = 0; ///< as last read
    bool m_failing = false; ///< the current pause must not be cut short
    milliseconds m_next_failure_pause; ///< after a call that fails next
    int m_consecutive_failures = 0;
    bool m_store_reachable = true; ///< the store answered the last call
    time_point_t m_reachable_since{};
    bool m_running = false;
    bool m_closing = false;
    bool m_stale = true; ///< the account must be read before the next write
};

} // namespace rhubarbgrade
