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

/// @brief What control says of one budget.
struct budget_news
{
    token_count_t drawn = 0;      ///< confirmed holding of this host
    token_count_t left = 0;       ///< undrawn in the store
    token_count_t known_used = 0; ///< certainly spent, by all hosts
    token_count_t prepaid = 0;
    bool can_draw = true;    ///< the store takes draws now
    bool can_extend = false; ///< a witness will soon confirm more
    std::uint64_t round = 0; ///< grows when a limit may have been lowered
};

using budget_news_t = std::map<std::string, budget_news, std::less<>>;

/// @brief How a wish for tokens ended.
enum class reserve_end
{
    reserved,
    exhausted,   ///< the budget certainly doesn't cover the request
    unavailable, ///< tokens may be left, but not within reach now
};

/// @brief The tokens that this host may spend, by customer.
class wallet_table
{
public:
    /// @param[in] wanted  called when a request waits for tokens
    wallet_table(boost::asio::any_io_executor executor,
                 std::function<void()> wanted);

    /// @brief Takes tokens for a request, waiting for a draw if need be.
    boost::asio::awaitable<reserve_end>
    reserve(std::string customer, token_count_t bound, time_point_t until);

    /// @brief Ends a reservation.
    /// @param[in] used  tokens that the request did spend, at most @a bound
    void settle(std::string_view customer, token_count_t bound,
                token_count_t used);

    /// @brief Takes over what control knows and wakes those who wait.
    void update(const budget_news_t& news);

    /// @brief Lowers holdings as far as they are free.
    /// @return what this host still holds of each
    token_map_t lower(const token_map_t& holdings);

    /// @brief Ends the spending of this process: nothing beyond what is
    ///        reserved may be used from now on.
    void freeze();

    /// @brief The present state of all wallets, with rates brought up to now.
    wallet_states_t states(time_point_t now);

private:
    struct wallet
    {
        wallet_state state;
        budget_news news;
        bool known = false;
        token_count_t used_before = 0; ///< at the last look at the rate
        time_point_t looked{};
        std::unique_ptr<boost::asio::steady_timer> news_timer;
    };

    wallet& wallet_of(std::string_view customer);

    boost::asio::any_io_executor m_executor;
    std::function<void()> m_wanted;
    bool m_frozen = false;
    std::map<std::string, wallet, std::less<>> m_wallets;
};

} // namespace rhubarbgrade
