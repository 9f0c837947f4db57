#include "store_client.hpp"

#include <memory>  // make_shared
#include <string>  // string
#include <utility> // move

#include <spdlog/spdlog.h> // warn

namespace rhubarbgrade
{

namespace
{

/// Most idle connections: one for each watch and one for writes.
constexpr std::size_t max_idle_links = 5;

} // namespace

store_client::store_client(boost::asio::any_io_executor executor,
                           socket_address address)
    : m_executor(std::move(executor)), m_address(std::move(address))
{
}

std::shared_ptr<http_link> store_client::acquire_link()
{
    while (!m_idle.empty())
    {
        auto link = std::move(m_idle.back());
        m_idle.pop_back();
        if (link->reusable())
            return link;
    }
    return std::make_shared<http_link>(m_executor, m_address);
}

void store_client::abort_watches()
{
    for (const auto& link : m_watches)
        link->close();
}

void store_client::learn_era(std::uint64_t era)
{
    if (era <= m_era)
        return;
    if (m_era != 0)
        spdlog::warn("event=store_restored era={} previous_era={}", era, m_era);
    m_era = era;
}

boost::asio::awaitable<call_result>
store_client::call(call_purpose purpose, boost::beast::http::verb verb,
                   std::string target, std::string body, milliseconds timeout)
{
    ++m_call_counts[static_cast<std::size_t>(purpose)];
    const auto link = acquire_link();
    if (purpose == call_purpose::watch)
        m_watches.insert(link);
    auto result =
        co_await link->call(verb, std::move(target), std::move(body), timeout);
    m_watches.erase(link);
    // If one connection has gone dead, the connections that have been idle
    // since before have as well; each would cost another time-out.
    if (result.end != call_outcome::answered)
        m_idle.clear();
    if (result.end == call_outcome::answered)
        learn_era(result.era);
    if (link->open() && m_idle.size() < max_idle_links)
        m_idle.push_back(link);
    co_return result;
}

} // namespace rhubarbgrade
