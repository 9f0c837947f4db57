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
    for (const auto& [target, link] : m_watches)
        link->close();
}

void store_client::abort_watch(const std::string& target)
{
    const auto found = m_watches.find(target);
    if (found != m_watches.end())
        found->second->close();
}

void store_client::record_revision(std::uint64_t era, std::uint64_t revision,
                                   time_point_t began)
{
    // It may have come after one of a later era.
    if (era == m_era)
        m_revisions.record(revision, began);
}

void store_client::learn_era(std::uint64_t era)
{
    if (era <= m_era)
        return;
    if (m_era != 0)
        spdlog::warn("event=store_restored era={} previous_era={}", era, m_era);
    m_era = era;
    m_revisions.clear();
}

boost::asio::awaitable<call_result>
store_client::call(call_purpose purpose, boost::beast::http::verb verb,
                   std::string target, std::string body, milliseconds timeout)
{
    ++m_call_counts[static_cast<std::size_t>(purpose)];
    const auto link = acquire_link();
    if (purpose == call_purpose::watch)
        m_watches[target] = link;
    auto result = co_await link->call(verb, target, std::move(body), timeout);
    if (purpose == call_purpose::watch)
        m_watches.erase(target);
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
