#include "process_monitor.hpp"

#include <algorithm> // min
#include <utility>   // exchange, move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/steady_timer.hpp>  // steady_timer
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include "../store/socket_options.hpp" // ages_of_arrivals, has_ended
#include "../store/spawn.hpp"          // spawn
#include "endpoint_directory.hpp"      // endpoint_directory

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Pause before the connection is opened again, which doubles each time that it
/// doesn't stay open. An endpoint that resets connections beyond its limit
/// hears of each host at most every four seconds, however many hosts there are.
constexpr milliseconds min_pause{1};
constexpr milliseconds max_pause{4000};

/// Time after which a connection has stayed open.
constexpr milliseconds min_open_time{250};

} // namespace

process_monitor::process_monitor(endpoint_directory& directory,
                                 std::shared_ptr<pool_endpoint> endpoint)
    : m_directory(directory), m_endpoint(std::move(endpoint))
{
}

process_monitor::~process_monitor()
{
    boost::system::error_code ignored; // ends the wait of run()
    if (m_link)
        m_link->socket.close(ignored);
}

void process_monitor::start()
{
    spawn(m_directory.executor(),
          run(weak_from_this(), m_directory, m_endpoint),
          "monitor of an endpoint's process");
}

void process_monitor::check()
{
    if (!m_link || !has_ended(m_link->socket))
        return;
    const auto age = ages_of_arrivals(m_link->socket).last_segment;
    m_link.reset();
    m_endpoint->ends.record(time_point_t::clock::now() - age, false);
}

asio::awaitable<void>
process_monitor::run(std::weak_ptr<process_monitor> owner,
                     endpoint_directory& directory,
                     std::shared_ptr<pool_endpoint> endpoint)
{
    asio::steady_timer timer(directory.executor());
    for (auto pause = min_pause;; pause = std::min(2 * pause, max_pause))
    {
        auto opened = co_await directory.open_direct(endpoint);
        const auto opened_at = time_point_t::clock::now();
        if (const auto self = owner.lock())
        {
            self->m_link = opened.link;
            self->m_was_open = self->m_was_open || opened.link;
            self->m_ended = opened.refused;
            if (opened.refused && self->m_was_open)
                self->m_refused_at = time_point_t::clock::now();
        }
        if (opened.refused || owner.expired())
            co_return;
        if (opened.link)
        {
            const auto [fault] = co_await opened.link->socket.async_wait(
                asio::ip::tcp::socket::wait_read, as_values);
            const auto self = owner.lock();
            if (fault || !self)
                co_return;
            self->check();
            self->m_link.reset();
            if (time_point_t::clock::now() - opened_at > min_open_time)
                pause = min_pause;
        }
        timer.expires_after(pause);
        co_await timer.async_wait(as_values);
    }
}

} // namespace rhubarbgrade
