#pragma once

#include <functional>  // function
#include <map>         // map
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <rhubarbgrade/detail/escrow/escrow.hpp> // wallet_state

namespace rhubarbgrade
{

/// @brief State of one prepaid budget, as published by the control thread.
struct budget_status
{
    token_count_t drawn = 0;   ///< confirmed for this host, used ones included
    token_count_t undrawn = 0; ///< tokens in the store that no host has drawn
    token_count_t known_used = 0; ///< certainly spent, by all hosts
    token_count_t prepaid = 0;    ///< the whole budget
    bool can_draw = true;         ///< the store accepts draws at present
    bool can_extend = false;      ///< a witness is expected to confirm more
    std::uint64_t round = 0;      ///< grows when a limit may have been lowered
};

using budget_statuses_t = std::map<std::string, budget_status, std::less<>>;

/// @brief Result of a reservation of tokens.
enum class reserve_result
{
    reserved,
    exhausted,   ///< the rest of the budget is certainly too small
    undrawn,     ///< this host could not draw enough tokens in time
    unconfirmed, ///< its witness did not confirm enough tokens in time
    no_draws,    ///< the holding is too small and the store takes no draws
};

/// @brief The wallets of this host: for each customer, the tokens that the host
///        has drawn from the prepaid budget, and their use.
///
/// Used by the traffic thread only.
class wallet_table
{
public:
    /// @param[in] on_tokens_needed  called when a request starts to wait for
    ///                              tokens, so that control draws more
    wallet_table(boost::asio::any_io_executor executor,
                 std::function<void()> on_tokens_needed);

    /// @brief Reserves tokens for a request; waits for a draw if necessary.
    /// @param[in] max_tokens  most tokens that the request can use
    /// @param[in] until       when to give up waiting
    boost::asio::awaitable<reserve_result>
    reserve(std::string customer, token_count_t max_tokens, time_point_t until);

    /// @brief Ends all waits for draws by then, also those that have begun.
    void end_waits_by(time_point_t latest_end);

    /// @brief Releases a reservation and charges the tokens used.
    /// @param[in] max_tokens  as reserved
    /// @param[in] used        tokens used; capped at @a max_tokens
    void settle(std::string_view customer, token_count_t max_tokens,
                token_count_t used);

    /// @brief Applies the state published by control and wakes the waiting
    ///        requests; does nothing once the table is frozen.
    void update(const budget_statuses_t& budgets);

    /// @brief Lowers holdings to the given values, but not below the tokens
    ///        that are used or reserved.
    /// @return the holdings that remain
    token_map_t lower(const token_map_t& holdings);

    /// @brief Prevents further reservations, for the shutdown: lowers each
    ///        holding to the tokens used and reserved.
    void freeze();

    /// @brief Updates the rates of use and returns the state of all wallets.
    wallet_states_t states(time_point_t now);

private:
    struct wallet
    {
        wallet_state state;
        budget_status budget;
        bool budget_known = false;
        token_count_t total_at_rate_update = 0; ///< used and reserved then
        time_point_t rate_updated_at{};
        std::unique_ptr<boost::asio::steady_timer> update_timer;
    };

    wallet& find_or_create(std::string_view customer);

    boost::asio::any_io_executor m_executor;
    std::function<void()> m_on_tokens_needed;
    time_point_t m_latest_wait_end = time_point_t::max();
    bool m_frozen = false;
    std::map<std::string, wallet, std::less<>> m_wallets;
};

} // namespace rhubarbgrade
