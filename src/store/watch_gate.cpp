#include "watch_gate.hpp"

#include <algorithm> // find_if, min
#include <chrono>    // hours
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include "waiting_watch.hpp" // waiting_watch

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

void watch_gate::add(std::weak_ptr<waiting_watch> watch)
{
    // One that has ended keeps its place until it is started again.
    const auto ended = std::find_if(m_watches.begin(), m_watches.end(),
                                    [](const auto& each)
                                    {
                                        return each.expired();
                                    });
    if (ended == m_watches.end())
        m_watches.push_back(std::move(watch));
    else
        *ended = std::move(watch);
}

std::shared_ptr<waiting_watch> watch_gate::next_watch()
{
    for (std::size_t i = 0; i < m_watches.size(); ++i)
    {
        m_last_watch = (m_last_watch + 1) % m_watches.size();
        auto watch = m_watches[m_last_watch].lock();
        if (watch && !watch->target.empty())
            return watch;
    }
    return nullptr;
}

std::vector<std::shared_ptr<waiting_watch>>
watch_gate::incomplete_watches(const revision_times& revisions,
                               time_point_t needed) const
{
    std::vector<std::shared_ptr<waiting_watch>> found;
    for (const auto& each : m_watches)
    {
        auto watch = each.lock();
        if (!watch || watch->target.empty() || watch->overtaken ||
            watch->outdated)
            continue;
        const auto until = rhubarbgrade::complete_until(*watch, revisions);
        if (!until || *until < needed)
            found.push_back(std::move(watch));
    }
    return found;
}

std::optional<time_point_t>
watch_gate::complete_until(const revision_times& revisions) const
{
    std::optional<time_point_t> earliest;
    for (const auto& each : m_watches)
    {
        const auto watch = each.lock();
        const auto until = watch
                               ? rhubarbgrade::complete_until(*watch, revisions)
                               : std::nullopt;
        if (!until)
            return std::nullopt;
        earliest = std::min(earliest.value_or(*until), *until);
    }
    return earliest;
}

asio::awaitable<void> watch_gate::wait_until_open()
{
    while (!m_open)
        co_await pause(std::chrono::hours(1));
}

} // namespace rhubarbgrade
