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

/// Time constant of the mean rate of use, seconds: bursts of a customer last
/// some seconds.
constexpr double rate_memory_s = 4;

bool fits(const wallet_state& state, token_count_t bound)
{
    return state.reserved + state.used + bound <= state.drawn;
}

} // namespace

wallet_table::wallet_table(asio::any_io_executor executor,
                           std::function<void()> wanted)
    : m_executor(std::move(executor)), m_wanted(std::move(wanted))
{
}

wallet_table::wallet& wallet_table::wallet_of(std::string_view customer)
{
    const auto found = m_wallets.find(customer);
    if (found != m_wallets.end())
        return found->second;
    auto& made = m_wallets[std::string(customer)];
    made.news_timer =
        std::make_unique<asio::steady_timer>(m_executor, time_point_t::max());
    return made;
}

asio::awaitable<reserve_end> wallet_table::reserve(std::string customer,
                                                   token_count_t bound,
                                                   time_point_t until)
{
    auto& mine = wallet_of(customer);
    mine.state.largest = std::max(mine.state.largest, bound);
    while (!fits(mine.state, bound))
    {
        if (mine.known && mine.news.known_used + bound > mine.news.prepaid)
            co_return reserve_end::exhausted;
        const auto now = time_point_t::clock::now();
        const bool drawable = !mine.known || mine.news.can_extend ||
                              (mine.news.left != 0 && mine.news.can_draw);
        if (now >= until || !drawable)
            co_return reserve_end::unavailable;
        mine.state.waiting += bound;
        m_wanted();
        // All who wait share the timer; the wait ends early at news.
        asio::steady_timer limit(m_executor, until);
        limit.async_wait(
            [&mine](auto fault)
            {
                if (!fault)
                    mine.news_timer->cancel();
            });
        co_await mine.news_timer->async_wait(
            asio::as_tuple(asio::use_awaitable));
        mine.state.waiting -= bound;
    }
    mine.state.reserved += bound;
    co_return reserve_end::reserved;
}

void wallet_table::settle(std::string_view customer, token_count_t bound,
                          token_count_t used)
{
    auto& mine = wallet_of(customer);
    mine.state.reserved -= std::min(mine.state.reserved, bound);
    mine.state.used += std::min(used, bound);
}

void wallet_table::update(const budget_news_t& news)
{
    if (m_frozen)
        return;
    for (const auto& [customer, each] : news)
    {
        auto& mine = wallet_of(customer);
        mine.known = true;
        mine.news = each;
        mine.state.drawn = each.drawn;
        mine.state.round = each.round;
        mine.news_timer->cancel();
    }
}

token_map_t wallet_table::lower(const token_map_t& holdings)
{
    token_map_t held;
    for (const auto& [customer, tokens] : holdings)
    {
        auto& state = wallet_of(customer).state;
        const auto in_use = state.reserved + state.used;
        state.drawn = std::min(state.drawn, std::max(tokens, in_use));
        held[customer] = state.drawn;
    }
    return held;
}

void wallet_table::freeze()
{
    m_frozen = true;
    for (auto& [customer, mine] : m_wallets)
        mine.state.drawn = mine.state.reserved + mine.state.used;
}

wallet_states_t wallet_table::states(time_point_t now)
{
    wallet_states_t all;
    for (auto& [customer, mine] : m_wallets)
    {
        const auto total = mine.state.used + mine.state.reserved;
        const std::chrono::duration<double> passed = now - mine.looked;
        if (passed.count() > 0)
        {
            const auto grown =
                total > mine.used_before
                    ? static_cast<double>(total - mine.used_before)
                    : 0.0;
            const auto weight = 1 - std::exp(-passed.count() / rate_memory_s);
            mine.state.rate +=
                weight * (grown / passed.count() - mine.state.rate);
            mine.used_before = std::max(mine.used_before, total);
            mine.looked = now;
        }
        all[customer] = mine.state;
    }
    return all;
}

} // namespace rhubarbgrade
