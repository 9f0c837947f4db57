#include "traffic_loop.hpp"

#include <algorithm> // find, min
#include <memory>    // make_shared
#include <random>    // mt19937_64, random_device
#include <string>    // string
#include <utility>   // exchange, move

#include <boost/asio/as_tuple.hpp>         // as_tuple
#include <boost/asio/post.hpp>             // post
#include <boost/asio/use_awaitable.hpp>    // use_awaitable
#include <boost/beast/http/empty_body.hpp> // empty_body
#include <boost/beast/http/read.hpp>       // async_read
#include <boost/beast/http/write.hpp>      // async_write
#include <spdlog/spdlog.h>                 // info

#include "../store/input_buffer.hpp"   // input_buffer
#include "../store/socket_options.hpp" // set_tcp_options, to_endpoint
#include "../store/spawn.hpp"          // spawn
#include "caller_exchange.hpp"         // caller_exchange
#include "caller_session.hpp"          // caller_session
#include "relay_session.hpp"           // relay_session

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Listen backlog: all callers of a zone may connect to one host at once.
constexpr int backlog = 1024;

/// One in this many descriptors may serve a connection that is passed on for a
/// peer; each takes two.
constexpr std::size_t relay_share = 16;

/// Time after which is accepted again if there was no descriptor for a
/// connection.
constexpr milliseconds accept_retry_interval{20};

/// Connections for readiness checks: the balancer has few. The one that was
/// used last yields to a new one, and one without a request is closed.
constexpr std::size_t max_readiness_connections = 16;
constexpr milliseconds readiness_idle_time{10000};

/// Interval of the reports of wallets and samples to control.
constexpr milliseconds report_interval{250};

/// Interval at which the counters are logged.
constexpr milliseconds log_interval{5000};

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
                           const node_settings& settings, hedge_limit hedging,
                           control_port control)
    : m_loop(loop),
      m_settings(settings),
      m_control(std::move(control)),
      m_context(
          loop.get_executor(), settings, seeded_random(),
          [this]
          {
              if (!std::exchange(m_send_pending, true))
                  asio::post(m_loop,
                             [this]
                             {
                                 send_wallet_states();
                             });
          },
          [this](const version_sample& sample)
          {
              if (m_context.view->splits.contains(sample.service))
                  m_samples.push_back(sample);
          },
          {m_control.crashes.crashed,
           [this](const std::set<std::uint64_t>& ids)
           {
               report_cleared(ids);
           }},
          m_control.limit_observed,
          [this]
          {
              announce_relay();
              for (const auto& [service, waiting] : m_context.retries)
                  m_context.wait_queue.wake(service);
          }),
      m_caller_acceptor(loop),
      m_readiness_acceptor(loop),
      m_relay_acceptor(loop)
{
    m_context.hedge = hedging;
}

void traffic_loop::listen(tcp_t::acceptor& acceptor_socket,
                          const socket_address& address)
{
    const auto endpoint = to_endpoint(address);
    if (!endpoint)
        throw boost::system::system_error(
            asio::error::make_error_code(asio::error::invalid_argument),
            "listen at " + address.ip);
    acceptor_socket.open(endpoint->protocol());
    acceptor_socket.set_option(tcp_t::acceptor::reuse_address(true));
    acceptor_socket.bind(*endpoint);
    acceptor_socket.listen(backlog);
}

void traffic_loop::start()
{
    listen(m_caller_acceptor, m_settings.callers);
    listen(m_readiness_acceptor, m_settings.readiness);
    spawn_service(
        m_loop,
        [this]
        {
            return accept_callers();
        },
        "accept callers");
    spawn_service(
        m_loop,
        [this]
        {
            return accept_readiness_checks();
        },
        "accept readiness checks");
    if (m_settings.relay)
    {
        listen(m_relay_acceptor, *m_settings.relay);
        spawn_service(
            m_loop,
            [this]
            {
                return accept_relayed();
            },
            "accept connections of peers");
    }
    spawn_service(
        m_loop,
        [this]
        {
            return report_periodically();
        },
        "report to control");
}

void traffic_loop::set_view(fleet_view_ptr_t view)
{
    m_context.view = std::move(view);
    m_context.directory.update(m_context.view);
    for (const auto& [service, waiting] : m_context.retries)
        m_context.wait_queue.wake(service);
}

void traffic_loop::set_bounds(const node_bounds& bounds)
{
    m_context.bounds = bounds;
}

void traffic_loop::update_budgets(const budget_statuses_t& budgets)
{
    m_context.wallets.update(budgets);
}

void traffic_loop::lower(const token_map_t& holdings)
{
    m_control.lowered(m_context.wallets.lower(holdings));
}

void traffic_loop::report_cleared(const std::set<std::uint64_t>& ids)
{
    std::set<std::uint64_t> suspects;
    for (const auto each : ids)
        if (m_context.view->crash_suspects.contains(each))
            suspects.insert(each);
    if (!suspects.empty())
        m_control.crashes.cleared(suspects);
}

void traffic_loop::send_wallet_states()
{
    m_send_pending = false;
    m_control.states(m_context.wallets.states(time_point_t::clock::now()));
}

bool traffic_loop::ready() const
{
    return m_context.view->configuration && !m_context.stopping &&
           !m_context.directory.isolated();
}

bool traffic_loop::takes_relayed() const
{
    return m_relay_acceptor.is_open() && !m_context.stopping &&
           m_context.relays.size() < m_settings.descriptors / relay_share &&
           m_context.directory.reaches_any();
}

void traffic_loop::announce_relay()
{
    const std::uint16_t port =
        takes_relayed() ? m_relay_acceptor.local_endpoint().port() : 0;
    if (std::exchange(m_announced_relay, port) != port)
        m_control.relay_changed(port);
}

asio::awaitable<void> traffic_loop::pause_accepting()
{
    asio::steady_timer timer(m_loop, accept_retry_interval);
    co_await timer.async_wait(as_values);
}

asio::awaitable<void> traffic_loop::accept_relayed()
{
    while (m_relay_acceptor.is_open())
    {
        auto [fault, socket] =
            co_await m_relay_acceptor.async_accept(as_values);
        if (fault)
        {
            co_await pause_accepting();
            continue;
        }
        boost::system::error_code disconnected;
        const auto from = socket.remote_endpoint(disconnected);
        const auto& hosts = m_context.view->host_ips;
        if (disconnected || !takes_relayed() ||
            !hosts.contains(from.address().to_string()))
            continue;
        set_tcp_options(socket);
        const auto session =
            std::make_shared<relay_session>(std::move(socket), m_context);
        spawn(m_loop, session->run(), "connection of a peer");
    }
}

asio::awaitable<void> traffic_loop::accept_callers()
{
    while (m_caller_acceptor.is_open())
    {
        auto [fault, socket] =
            co_await m_caller_acceptor.async_accept(as_values);
        if (fault)
        {
            co_await pause_accepting();
            continue;
        }
        set_tcp_options(socket);
        const auto session =
            std::make_shared<caller_session>(std::move(socket), m_context);
        if (co_await session->admit())
            spawn(m_loop, session->run(), "caller session");
    }
    m_accepts_callers = false;
}

void traffic_loop::close_caller_port()
{
    boost::system::error_code fault;
    m_caller_acceptor.non_blocking(true, fault);
    while (!fault)
    {
        tcp_t::socket socket(m_loop);
        m_caller_acceptor.accept(socket, fault);
        if (fault)
            break;
        set_tcp_options(socket);
        const auto session =
            std::make_shared<caller_session>(std::move(socket), m_context);
        spawn(m_loop, session->admit_and_run(), "caller session");
    }
    // Without a descriptor the rest has to wait.
    if (fault == asio::error::no_descriptors)
        return;
    m_caller_acceptor.close(fault);
}

asio::awaitable<void> traffic_loop::accept_readiness_checks()
{
    while (m_readiness_acceptor.is_open())
    {
        auto [fault, socket] =
            co_await m_readiness_acceptor.async_accept(as_values);
        if (fault)
        {
            co_await pause_accepting();
            continue;
        }
        auto connection = std::make_shared<tcp_t::socket>(std::move(socket));
        if (m_readiness_connections.size() >= max_readiness_connections)
        {
            boost::system::error_code ignored; // the descriptor is released
            m_readiness_connections.front()->close(ignored);
            m_readiness_connections.pop_front();
        }
        m_readiness_connections.push_back(connection);
        spawn(m_loop, answer_readiness_checks(std::move(connection)),
              "answer readiness checks");
    }
}

asio::awaitable<void>
traffic_loop::answer_readiness_checks(std::shared_ptr<tcp_t::socket> connection)
{
    constexpr unsigned http_1_1 = 11;
    input_buffer buffer;
    asio::steady_timer timer(m_loop);
    bool open = true;
    while (open)
    {
        timer.expires_after(readiness_idle_time);
        timer.async_wait(
            [weak = std::weak_ptr(connection)](auto fault)
            {
                boost::system::error_code ignored; // the descriptor is released
                if (const auto idle = weak.lock(); idle && !fault)
                    idle->close(ignored);
            });
        http::request<http::empty_body> probe;
        const auto [fault, count] =
            co_await http::async_read(*connection, buffer, probe, as_values);
        if (fault)
            break;
        // The one that was used last is closed last.
        const auto position =
            std::find(m_readiness_connections.begin(),
                      m_readiness_connections.end(), connection);
        if (position == m_readiness_connections.end())
            break;
        m_readiness_connections.splice(m_readiness_connections.end(),
                                       m_readiness_connections, position);
        http::response<http::empty_body> reply(
            ready() ? http::status::ok : http::status::service_unavailable,
            http_1_1);
        reply.keep_alive(probe.keep_alive());
        reply.prepare_payload();
        const auto [write_fault, written] =
            co_await http::async_write(*connection, reply, as_values);
        open = !write_fault && probe.keep_alive();
    }
    m_readiness_connections.remove(connection);
}

void traffic_loop::log_counters() const
{
    constexpr std::size_t bytes_per_kb = 1024;
    const auto& counters = m_context.counters;
    spdlog::info("event=traffic requests={} answered={} refused={} failed={} "
                 "retried={} disconnected={} unanswered={} discarded={} "
                 "unbounded={} exhausted={} undrawn={} "
                 "unconfirmed={} no_draws={} no_endpoint={} quarantined={} "
                 "no_capacity={} no_path={} no_room={} relayed={} "
                 "in_flight={} connections={} held_kb={} shed={} "
                 "evacuated_in_flight={} load_unreadable={} hedged={} "
                 "hedges_won={}",
                 counters.requests, counters.answered, counters.refused,
                 counters.failed, counters.retried, counters.disconnected,
                 counters.unanswered, counters.discarded, counters.unbounded,
                 counters.exhausted, counters.undrawn, counters.unconfirmed,
                 counters.no_draws, counters.no_endpoint, counters.quarantined,
                 counters.no_capacity, counters.no_path, counters.no_room,
                 m_context.relays.size(), m_context.in_flight,
                 m_context.sessions.size(),
                 m_context.callers.held().bytes / bytes_per_kb,
                 m_context.callers.shed_count(),
                 m_context.directory.evacuated_in_flight(),
                 m_context.directory.unreadable_loads(), counters.hedged,
                 counters.hedges_won);
}

asio::awaitable<void> traffic_loop::report_periodically()
{
    asio::steady_timer timer(m_loop);
    auto next_log = time_point_t::clock::now() + log_interval;
    for (;;)
    {
        timer.expires_after(report_interval);
        co_await timer.async_wait(as_values);
        const auto woken_at = time_point_t::clock::now();
        m_context.directory.record_host_sample(
            std::chrono::duration_cast<milliseconds>(woken_at - timer.expiry()),
            m_settings.link_mbps, woken_at);
        if (woken_at >= next_log)
        {
            next_log = woken_at + log_interval;
            log_counters();
        }
        m_context.directory.close_idle_connections(time_point_t::clock::now());
        m_context.directory.check_silence(time_point_t::clock::now());
        announce_relay();
        send_wallet_states();
        if (!m_samples.empty())
            m_control.samples(std::exchange(m_samples, {}));
    }
}

asio::awaitable<void>
traffic_loop::drain(std::function<void(wallet_states_t)> done)
{
    asio::steady_timer timer(m_loop, m_context.stop.late_from);
    co_await timer.async_wait(as_values);
    constexpr milliseconds poll_interval{20};
    for (;;)
    {
        const auto now = time_point_t::clock::now();
        if (m_caller_acceptor.is_open())
            close_caller_port();
        for (auto* const each : m_context.sessions)
            each->close_if_idle(now);
        const bool relays_busy = close_quiet_relays(now);
        const bool drained =
            m_context.sessions.empty() && !m_accepts_callers && !relays_busy;
        if (drained || now >= m_context.stop.closes)
            break;
        timer.expires_after(poll_interval);
        co_await timer.async_wait(as_values);
    }
    log_drained("drained");
    m_context.wallets.freeze();
    done(m_context.wallets.states(time_point_t::clock::now()));
}

void traffic_loop::log_drained(std::string_view event) const
{
    spdlog::info("event={} in_flight={} reading={} connections={} relays={} "
                 "unanswered={} discarded={}",
                 event, m_context.in_flight, m_context.reading,
                 m_context.sessions.size(), m_context.relays.size(),
                 m_context.counters.unanswered, m_context.counters.discarded);
}

void traffic_loop::finish()
{
    for (const auto* const each : m_context.exchanges)
        each->log_unanswered("host_ends");
    log_drained("traffic_ended");
    m_loop.stop();
}

bool traffic_loop::close_quiet_relays(time_point_t now)
{
    bool any_busy = false;
    const auto relays = m_context.relays;
    for (auto* const each : relays)
        if (each->busy(now))
            any_busy = true;
        else
            each->close();
    return any_busy;
}

void traffic_loop::stop(time_point_t signalled,
                        std::function<void(wallet_states_t)> done)
{
    if (std::exchange(m_context.stopping, true))
        return;
    m_context.stop = plan_stop(signalled, m_context.bounds.grace);
    const auto ends = m_context.stop.ends;
    const auto exchanges = m_context.exchanges;
    for (auto* const each : exchanges)
        each->limit_deadline();
    m_context.wait_queue.end_waits_by(ends);
    m_context.wallets.end_waits_by(ends);
    announce_relay();
    spawn(m_loop, drain(std::move(done)), "drain requests");
}

} // namespace rhubarbgrade
