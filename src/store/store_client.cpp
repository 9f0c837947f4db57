#include "store_client.hpp"

#include <memory>  // make_shared
#include <string>  // string
#include <utility> // move

namespace rhubarbgrade
{

namespace
{

/// Idle connections kept: one for each watch and one for writes.
constexpr std::size_t most_idle = 5;

} // namespace

store_client::store_client(boost::asio::any_io_executor executor,
                           socket_address address)
    : m_executor(std::move(executor)), m_address(std::move(address))
{
}

std::shared_ptr<http_link> store_client::take()
{
    while (!m_idle.empty())
    {
        auto link = std::move(m_idle.back());
        m_idle.pop_back();
        if (link->quiet())
            return link;
    }
    return std::make_shared<http_link>(m_executor, m_address);
}

boost::asio::awaitable<call_result>
store_client::call(call_purpose purpose, boost::beast::http::verb verb,
                   std::string target, std::string body, milliseconds timeout)
{
    ++m_calls[static_cast<std::size_t>(purpose)];
    const auto link = take();
    auto found =
        co_await link->call(verb, std::move(target), std::move(body), timeout);
    // Where one connection has gone silent, those that lie idle since before
    // have too: each would cost a time-out more.
    if (found.end != call_end::answered)
        m_idle.clear();
    if (link->open() && m_idle.size() < most_idle)
        m_idle.push_back(link);
    co_return found;
}

} // namespace rhubarbgrade
