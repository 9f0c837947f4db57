#include "traffic_loop.hpp"

#include <memory>  // make_shared
#include <random>  // mt19937_64, random_device
#include <string>  // string
#include <utility> // exchange, move

#include <boost/asio/as_tuple.hpp>         // as_tuple
#include <boost/asio/post.hpp>             // post
#include <boost/asio/use_awaitable.hpp>    // use_awaitable
#include <boost/beast/http/empty_body.hpp> // empty_body
#include <boost/beast/http/read.hpp>       // async_read
#include <boost/beast/http/write.hpp>      // async_write

#include "../store/socket_options.hpp" // set_liveness, to_endpoint
#include "../store/spawn.hpp"          // spawn
#include "caller_session.hpp"          // caller_session

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Waiting connections: a zone's callers may all come to one host at once.
constexpr int backlog = 1024;

/// Pause between reports of the wallets and samples to control.
constexpr milliseconds report_pause{250};

/// After the stop signal the balancer asks twice, a second apart, before it
/// sends no new connections; they are taken until then.
constexpr milliseconds unready_notice{2600};

/// Kept for the last write to the store before the kill.
constexpr milliseconds last_write{500};

random_source_t seeded_random()
{
    const auto engine =
        std::make_shared<std::mt19937_64>(std::random_device{}());
    return [engine]
    {
        return (*engine)();
    };
}

} // namespace

traffic_loop::traffic_loop(asio::io_context& loop,
                           const node_settings& settings, control_port control)
    : m_loop(loop),
      m_settings(settings),
      m_control(std::move(control)),
      m_context(
          loop.get_executor(), settings, seeded_random(),
          [this]
          {
              if (!std::exchange(m_wanted, true))
                  asio::post(m_loop,
                             [this]
                             {
                                 send_states();
                             });
          },
          [this](const version_sample& sample)
          {
              if (m_context.view->splits.contains(sample.service))
                  m_samples.push_back(sample);
          },
          [this](std::uint64_t fingerprint)
          {
              m_control.crashed(fingerprint);
          }),
      m_callers(loop),
      m_questions(loop)
{
}

void traffic_loop::listen(tcp_t::acceptor& on, const socket_address& address)
{
    const auto endpoint = to_endpoint(address);
    if (!endpoint)
        throw boost::system::system_error(
            asio::error::make_error_code(asio::error::invalid_argument),
            "listen at " + address.ip);
    on.open(endpoint->protocol());
    on.set_option(tcp_t::acceptor::reuse_address(true));
    on.bind(*endpoint);
    on.listen(backlog);
}

void traffic_loop::start()
{
    listen(m_callers, m_settings.callers);
    listen(m_questions, m_settings.readiness);
    spawn(m_loop, accept_callers(), "accept callers");
    spawn(m_loop, accept_questions(), "accept questions");
    spawn(m_loop, report(), "report");
}

void traffic_loop::set_view(fleet_view_ptr_t view)
{
    m_context.view = std::move(view);
    m_context.directory.update(m_context.view);
    for (const auto& [service, waiting] : m_context.retries)
        m_context.room.wake(service);
}

void traffic_loop::set_bounds(const node_bounds& bounds)
{
    m_context.bounds = bounds;
}

void traffic_loop::set_news(const budget_news_t& news)
{
    m_context.wallets.update(news);
}

void traffic_loop::lower(const token_map_t& holdings)
{
    m_control.lowered(m_context.wallets.lower(holdings));
}

void traffic_loop::send_states()
{
    m_wanted = false;
    m_control.states(m_context.wallets.states(time_point_t::clock::now()));
}

bool traffic_loop::ready() const
{
    return m_context.view->configuration && !m_context.stopping;
}

asio::awaitable<void> traffic_loop::accept_callers()
{
    while (m_callers.is_open())
    {
        auto [fault, socket] = co_await m_callers.async_accept(as_values);
        if (fault)
            continue;
        set_liveness(socket);
        const auto session =
            std::make_shared<caller_session>(std::move(socket), m_context);
        spawn(m_loop, session->run(), "session");
    }
}

asio::awaitable<void> traffic_loop::accept_questions()
{
    while (m_questions.is_open())
    {
        auto [fault, socket] = co_await m_questions.async_accept(as_values);
        if (!fault)
            spawn(m_loop, answer_questions(std::move(socket)),
                  "answer questions");
    }
}

asio::awaitable<void> traffic_loop::answer_questions(tcp_t::socket socket)
{
    constexpr unsigned http_1_1 = 11;
    boost::beast::flat_buffer buffer;
    for (;;)
    {
        http::request<http::empty_body> question;
        const auto [fault, count] =
            co_await http::async_read(socket, buffer, question, as_values);
        if (fault)
            co_return;
        http::response<http::empty_body> answer(
            ready() ? http::status::ok : http::status::service_unavailable,
            http_1_1);
        answer.keep_alive(question.keep_alive());
        answer.prepare_payload();
        const auto [write_fault, written] =
            co_await http::async_write(socket, answer, as_values);
        if (write_fault || !question.keep_alive())
            co_return;
    }
}

asio::awaitable<void> traffic_loop::report()
{
    asio::steady_timer timer(m_loop);
    for (;;)
    {
        timer.expires_after(report_pause);
        co_await timer.async_wait(as_values);
        m_context.directory.sweep(time_point_t::clock::now());
        send_states();
        if (!m_samples.empty())
            m_control.samples(std::exchange(m_samples, {}));
    }
}

asio::awaitable<void>
traffic_loop::drain(std::function<void(wallet_states_t)> done)
{
    const auto end =
        time_point_t::clock::now() + m_context.bounds.grace - last_write;
    asio::steady_timer timer(m_loop, unready_notice);
    co_await timer.async_wait(as_values);
    boost::system::error_code ignored; // no more is taken either way
    m_callers.close(ignored);
    constexpr milliseconds look{20};
    for (;;)
    {
        const auto sessions = m_context.sessions;
        for (auto* const each : sessions)
            each->close_if_idle();
        if (m_context.in_flight == 0 || time_point_t::clock::now() >= end)
            break;
        timer.expires_after(look);
        co_await timer.async_wait(as_values);
    }
    m_context.wallets.freeze();
    done(m_context.wallets.states(time_point_t::clock::now()));
}

void traffic_loop::stop(std::function<void(wallet_states_t)> done)
{
    if (std::exchange(m_context.stopping, true))
        return;
    spawn(m_loop, drain(std::move(done)), "drain");
}

} // namespace rhubarbgrade
