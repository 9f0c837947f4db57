#include "process_inquiry.hpp"

#include <chrono>  // duration_cast
#include <utility> // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include "crash_detector.hpp"     // crash_probe_delay
#include "endpoint_directory.hpp" // endpoint_directory
#include "process_monitor.hpp"    // process_monitor

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// Time after the end of an answer in which news of its endpoint's entry can
/// still show that it is whole. Longer than the news of a reader take; short
/// against the two seconds after which callers give up a silent stream.
constexpr milliseconds longest_inquiry{500};

/// Interval at which the news are looked at.
constexpr milliseconds news_interval{10};

milliseconds age_of(time_point_t time)
{
    return std::chrono::duration_cast<milliseconds>(time_point_t::clock::now() -
                                                    time);
}

} // namespace

process_inquiry::process_inquiry(endpoint_directory& directory,
                                 std::shared_ptr<pool_endpoint> endpoint)
    : m_directory(directory),
      m_endpoint(std::move(endpoint)),
      m_timer(directory.executor())
{
}

void process_inquiry::cancel()
{
    m_cancelled = true;
    m_timer.cancel();
}

asio::awaitable<void> process_inquiry::wait(milliseconds duration)
{
    m_timer.expires_after(duration);
    co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<process_finding> process_inquiry::run(connection_end end)
{
    process_finding found;
    co_await wait(crash_probe_delay);
    if (m_cancelled)
        co_return found;
    auto opened = co_await m_directory.open_direct(m_endpoint);
    const auto monitor = m_endpoint->monitor.lock();
    if (monitor)
        monitor->check();
    if (opened.link)
    {
        m_directory.return_connection(*m_endpoint, std::move(opened.link),
                                      time_point_t::clock::now());
        const bool replaced = monitor && monitor->refused_since(end.at);
        found.process =
            replaced ? endpoint_process::replaced : endpoint_process::serving;
    }
    else if (opened.refused)
        found.process = endpoint_process::ended;
    found.signs = find_signs(m_endpoint->news, m_endpoint->ends, end);
    // What ends later may do so because it is found out late.
    const auto outlived = found.signs.outlived;
    while (found.process == endpoint_process::ended && !m_cancelled &&
           !has_departed(found.signs) &&
           may_have_departed(found.signs, m_endpoint->news, end) &&
           age_of(end.at) < longest_inquiry)
    {
        co_await wait(news_interval);
        found.signs = find_signs(m_endpoint->news, m_endpoint->ends, end);
        found.signs.outlived = outlived;
    }
    if (const auto since = m_endpoint->news.leaving_since())
        found.leaving_ms = age_of(*since);
    found.waited = age_of(end.at);
    co_return found;
}

} // namespace rhubarbgrade
