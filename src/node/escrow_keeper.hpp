#pragma once

#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <string>     // string

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <rhubarbgrade/detail/escrow/escrow.hpp> // escrow_book, token_map_t

#include "../gateway/wallet_table.hpp" // budget_news_t, wallet_states_t
#include "../store/http_link.hpp"      // call_result

namespace rhubarbgrade
{

class store_client;
class witness_keeper;

/// @brief Who this process is, to the store and to peers.
struct node_identity
{
    process_id process;
    std::string address; ///< where peers ask for its state
    std::string zone;    ///< availability zone
};

/// @brief What the keeper tells the traffic thread.
struct escrow_listener
{
    /// New holdings; never more than the store has confirmed.
    std::function<void(budget_news_t)> news;
    /// Holdings to give back; answered by @ref escrow_keeper::note_lowered.
    std::function<void(token_map_t)> lower;
    /// The account has been seen; it names the hosts of the fleet.
    std::function<void(const escrow_book&)> seen;
};

/// @brief Draws tokens out of the shared account and gives them back.
///
/// The account is one object that changes by conditional writes only. A write
/// whose answer was lost may still take effect while the object keeps the
/// revision that it names, so both outcomes are allowed for until it moves.
class escrow_keeper
{
public:
    escrow_keeper(const boost::asio::any_io_executor& executor,
                  store_client& store, witness_keeper& witnesses,
                  node_identity identity, escrow_listener listener);

    /// @brief Takes over the budgets of a configuration.
    void set_budgets(token_map_t budgets);

    /// @brief Takes over what the traffic thread holds and needs.
    void note_states(wallet_states_t states);

    /// @brief The traffic thread has lowered its holdings to these.
    void note_lowered(const token_map_t& holdings);

    /// @brief A witness has confirmed more.
    void note_confirmed();

    /// @brief Draws and gives back for as long as the program runs.
    boost::asio::awaitable<void> run();

    /// @brief Gives back all that isn't used, once before the end.
    boost::asio::awaitable<void> close(wallet_states_t last);

private:
    enum class write_end
    {
        done,
        lost_race, ///< the book has changed; the newer one is known
        failed,
    };

    struct pending_write
    {
        std::uint64_t revision = 0; ///< that the write names
        token_map_t drawn;
        process_id witness;
    };

    boost::asio::awaitable<void> refresh(bool stale_allowed);
    void note_rates();
    void note_call(bool answered);
    boost::asio::awaitable<write_end> write(escrow_book wanted);
    boost::asio::awaitable<milliseconds> step();
    boost::asio::awaitable<void> create();
    void take_over(const std::string& body);
    void confirm();
    void tell();
    wallet_states_t states() const;
    bool give_back(escrow_book& wanted);
    std::optional<escrow_book> plan();
    void ask_to_lower(const token_map_t& targets);
    bool adopted() const;
    token_count_t limit_of(const std::string& customer) const;
    process_id registered() const;
    void look_after_witness();
    bool candidate_ready() const;
    void drop_candidate();

    store_client& m_store;
    witness_keeper& m_witnesses;
    node_identity m_identity;
    escrow_listener m_listener;
    boost::asio::steady_timer m_wake;
    escrow_policy m_policy;
    token_map_t m_budgets;
    wallet_states_t m_states;
    escrow_book m_book;
    std::uint64_t m_revision = 0; ///< of the book; 0 before the first read
    std::optional<pending_write> m_pending;
    token_map_t m_usable;     ///< what the traffic thread may use
    token_map_t m_lowering;   ///< asked back, not answered yet
    time_point_t m_read_at{}; ///< when the book was last seen
    time_point_t m_adopted_at{};
    process_id m_candidate;    ///< to be this host's next witness
    std::uint64_t m_round = 0; ///< of the news, grows when they lower a limit
    bool m_limited = false;    ///< by the candidate, before it is registered

    struct fleet_use
    {
        token_count_t used = 0;
        time_point_t at{};
        double rate = 0;
    };

    std::map<std::string, fleet_use, std::less<>> m_fleet;
    bool m_failing = false; ///< a need isn't met sooner by calling again
    int m_failures = 0;     ///< calls failed in turn
    bool m_running = false;
    bool m_closing = false;
    bool m_stale = true; ///< read the book before the next plan
};

} // namespace rhubarbgrade
