#include "watch_gate.hpp"

#include <chrono>  // hours
#include <utility> // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable

namespace rhubarbgrade
{

namespace asio = boost::asio;

watch_gate::watch_gate(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

void watch_gate::set_open(bool open)
{
    if (open == m_open)
        return;
    m_open = open;
    wake();
}

void watch_gate::renew()
{
    ++m_renewals;
    wake();
}

void watch_gate::wake()
{
    for (auto* const timer : m_waiting)
        timer->cancel();
}

asio::awaitable<void> watch_gate::pause(milliseconds time)
{
    asio::steady_timer timer(m_executor, time);
    m_waiting.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_waiting.erase(&timer);
}

asio::awaitable<void> watch_gate::wait_until_open()
{
    while (!m_open)
        co_await pause(std::chrono::hours(1));
}

} // namespace rhubarbgrade
