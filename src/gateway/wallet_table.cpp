#include "wallet_table.hpp"

#include <algorithm> // max, min
#include <chrono>    // duration
#include <cmath>     // exp
#include <string>    // string

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// Time constant, in seconds, of the moving average of the rate of use; bursts
/// of a customer last a few seconds.
constexpr double rate_time_constant_s = 4;

/// Whether @a max_tokens more can be reserved.
bool fits(const wallet_state& state, token_count_t max_tokens)
{
    // The sum may exceed the range of numbers.
    return max_tokens <= state.drawn &&
           state.reserved + state.used <= state.drawn - max_tokens;
}

/// Whether the rest of a budget is certainly too small for @a max_tokens.
bool exceeds(const budget_status& budget, token_count_t max_tokens)
{
    return max_tokens > budget.prepaid ||
           budget.known_used > budget.prepaid - max_tokens;
}

reserve_result cause_of_shortage(const budget_status& budget)
{
    if (budget.can_extend)
        return reserve_result::unconfirmed;
    return budget.can_draw ? reserve_result::undrawn : reserve_result::no_draws;
}

reserve_result count_shortage(shortage_counts& counts, reserve_result cause)
{
    counts.undrawn += cause == reserve_result::undrawn ? 1 : 0;
    counts.unconfirmed += cause == reserve_result::unconfirmed ? 1 : 0;
    counts.no_draws += cause == reserve_result::no_draws ? 1 : 0;
    return cause;
}

} // namespace

wallet_table::wallet_table(asio::any_io_executor executor,
                           std::function<void()> on_tokens_needed)
    : m_executor(std::move(executor)),
      m_on_tokens_needed(std::move(on_tokens_needed))
{
}

wallet_table::wallet& wallet_table::find_or_create(std::string_view customer)
{
    const auto found = m_wallets.find(customer);
    if (found != m_wallets.end())
        return found->second;
    auto& created = m_wallets[std::string(customer)];
    created.update_timer =
        std::make_unique<asio::steady_timer>(m_executor, time_point_t::max());
    return created;
}

asio::awaitable<reserve_result> wallet_table::reserve(std::string customer,
                                                      token_count_t max_tokens,
                                                      time_point_t until)
{
    auto& account = find_or_create(customer);
    account.state.largest = std::max(account.state.largest, max_tokens);
    while (!fits(account.state, max_tokens))
    {
        if (account.budget_known && exceeds(account.budget, max_tokens))
            co_return reserve_result::exhausted;
        const auto now = time_point_t::clock::now();
        const bool refill_possible =
            !account.budget_known || account.budget.can_extend ||
            (account.budget.undrawn != 0 && account.budget.can_draw);
        const auto wait_end = std::min(until, m_latest_wait_end);
        if (now >= wait_end || !refill_possible)
            co_return count_shortage(account.state.refused,
                                     cause_of_shortage(account.budget));
        account.state.waiting += max_tokens;
        m_on_tokens_needed();
        // All waiting requests share update_timer; an update of the budget
        // cancels it as well.
        asio::steady_timer deadline_timer(m_executor, wait_end);
        deadline_timer.async_wait(
            [&account](auto fault)
            {
                if (!fault)
                    account.update_timer->cancel();
            });
        co_await account.update_timer->async_wait(
            asio::as_tuple(asio::use_awaitable));
        account.state.waiting -= max_tokens;
    }
    account.state.reserved += max_tokens;
    co_return reserve_result::reserved;
}

void wallet_table::end_waits_by(time_point_t latest_end)
{
    m_latest_wait_end = latest_end;
    for (auto& [customer, account] : m_wallets)
        account.update_timer->cancel();
}

void wallet_table::settle(std::string_view customer, token_count_t max_tokens,
                          token_count_t used)
{
    auto& account = find_or_create(customer);
    account.state.reserved -= std::min(account.state.reserved, max_tokens);
    account.state.used += std::min(used, max_tokens);
}

void wallet_table::update(const budget_statuses_t& budgets)
{
    if (m_frozen)
        return;
    for (const auto& [customer, each] : budgets)
    {
        auto& account = find_or_create(customer);
        account.budget_known = true;
        account.budget = each;
        account.state.drawn = each.drawn;
        account.state.round = each.round;
        account.update_timer->cancel();
    }
}

token_map_t wallet_table::lower(const token_map_t& holdings)
{
    token_map_t remaining;
    for (const auto& [customer, tokens] : holdings)
    {
        auto& state = find_or_create(customer).state;
        const auto in_use = state.reserved + state.used;
        state.drawn = std::min(state.drawn, std::max(tokens, in_use));
        remaining[customer] = state.drawn;
    }
    return remaining;
}

void wallet_table::freeze()
{
    m_frozen = true;
    for (auto& [customer, account] : m_wallets)
        account.state.drawn = account.state.reserved + account.state.used;
}

wallet_states_t wallet_table::states(time_point_t now)
{
    wallet_states_t all;
    for (auto& [customer, account] : m_wallets)
    {
        const auto total = account.state.used + account.state.reserved;
        const std::chrono::duration<double> elapsed =
            now - account.rate_updated_at;
        if (elapsed.count() > 0)
        {
            const auto increase =
                total > account.total_at_rate_update
                    ? static_cast<double>(total - account.total_at_rate_update)
                    : 0.0;
            const auto weight =
                1 - std::exp(-elapsed.count() / rate_time_constant_s);
            account.state.rate +=
                weight * (increase / elapsed.count() - account.state.rate);
            account.total_at_rate_update =
                std::max(account.total_at_rate_update, total);
            account.rate_updated_at = now;
        }
        all[customer] = account.state;
    }
    return all;
}

} // namespace rhubarbgrade
