#include "peer_exchange.hpp"

#include <array>   // array
#include <memory>  // make_shared, weak_ptr
#include <string>  // string
#include <utility> // exchange, move
#include <variant> // get, get_if

#include <boost/asio/as_tuple.hpp>          // as_tuple
#include <boost/asio/buffer.hpp>            // buffer
#include <boost/asio/use_awaitable.hpp>     // use_awaitable
#include <boost/beast/http/empty_body.hpp>  // empty_body
#include <boost/beast/http/read.hpp>        // async_read
#include <boost/beast/http/string_body.hpp> // string_body
#include <boost/beast/http/write.hpp>       // async_write
#include <spdlog/spdlog.h>                  // warn

#include "../store/http_link.hpp"      // http_link
#include "../store/input_buffer.hpp"   // input_buffer
#include "../store/socket_options.hpp" // to_endpoint
#include "../store/spawn.hpp"          // spawn

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// A new configuration and a version that fails its trial must be known to all
/// hosts within 2 s, even if one or two heartbeats are lost; they pass through
/// two hubs.
constexpr milliseconds heartbeat_period{500};

/// Time from an event that peers must know at once to the heartbeat.
constexpr milliseconds hastened_period{50};

constexpr const char* state_target = "/state";
constexpr const char* reports_target = "/reports";

/// A peer's state is some ten kilobytes.
constexpr milliseconds state_request_timeout{700};

constexpr std::size_t max_datagram_bytes = 60000;
constexpr int accept_backlog = 64;

/// One in this many descriptors may serve a state request; the oldest request
/// yields to a new one.
constexpr std::size_t state_request_part = 16;

/// Time after which is accepted again if there was no descriptor for a
/// connection.
constexpr milliseconds accept_retry_interval{20};

} // namespace

peer_exchange::peer_exchange(asio::io_context& loop,
                             const node_settings& settings,
                             peer_listener listener)
    : m_loop(loop),
      m_settings(settings),
      m_listener(std::move(listener)),
      m_socket(loop),
      m_acceptor(loop),
      m_heartbeat_timer(loop)
{
    const auto local = to_endpoint(m_settings.peers);
    if (!local)
        throw boost::system::system_error(
            asio::error::make_error_code(asio::error::invalid_argument),
            "listen for peers at " + m_settings.peers.ip);
    m_acceptor.open(asio::ip::tcp::v4());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(*local);
    m_acceptor.listen(accept_backlog);
    m_socket.open(asio::ip::udp::v4());
    m_socket.bind({local->address(), m_acceptor.local_endpoint().port()});
}

socket_address peer_exchange::address() const
{
    return {m_settings.peers.ip, m_acceptor.local_endpoint().port()};
}

void peer_exchange::start()
{
    spawn_service(
        m_loop,
        [this]
        {
            return send_heartbeats();
        },
        "heartbeats to peers");
    spawn_service(
        m_loop,
        [this]
        {
            return receive_datagrams();
        },
        "datagrams from peers");
    spawn_service(
        m_loop,
        [this]
        {
            return accept_state_requests();
        },
        "state requests of peers");
}

asio::awaitable<void> peer_exchange::send_heartbeats()
{
    for (;;)
    {
        m_heartbeat_timer.expires_after(heartbeat_period);
        co_await m_heartbeat_timer.async_wait(as_values);
        if (m_heartbeat_hastened)
        {
            // What else happens at the same moment goes into the same one.
            m_heartbeat_timer.expires_after(hastened_period);
            co_await m_heartbeat_timer.async_wait(as_values);
            m_heartbeat_hastened = false;
        }
        m_listener.heartbeat_due();
    }
}

void peer_exchange::send(const socket_address& address,
                         const witness_message& message)
{
    send_bytes(address, encode_witness(message));
}

void peer_exchange::send(const socket_address& address,
                         const account_change& change)
{
    send_bytes(address, encode_change(change));
}

void peer_exchange::send(const socket_address& address,
                         const account_answer& answer)
{
    send_bytes(address, encode_answer(answer));
}

void peer_exchange::send_bytes(const socket_address& address,
                               const std::string& bytes)
{
    const auto to = to_endpoint(address);
    if (!to)
        return;
    if (bytes.size() > max_datagram_bytes)
    {
        spdlog::error("event=datagram_too_large peer={}:{} bytes={} most={}",
                      address.ip, address.port, bytes.size(),
                      max_datagram_bytes);
        return;
    }
    boost::system::error_code ignored; // the sender retries until answered
    m_socket.send_to(asio::buffer(bytes), {to->address(), to->port()}, 0,
                     ignored);
}

void peer_exchange::handle_datagram(const peer_datagram_t& datagram,
                                    const asio::ip::udp::endpoint& from)
{
    if (const auto* const heartbeat = std::get_if<peer_heartbeat>(&datagram))
        return m_listener.heartbeat_received(*heartbeat);
    if (const auto* const change = std::get_if<account_change>(&datagram))
        return m_listener.change_received(*change);
    if (const auto* const reply = std::get_if<account_answer>(&datagram))
        return m_listener.answer_received(*reply);
    if (const auto* const news = std::get_if<peer_news>(&datagram))
        return m_listener.news_received(*news);
    const auto answer = m_listener.witness_message_received(
        std::get<witness_message>(datagram));
    if (!answer)
        return;
    boost::system::error_code ignored; // the owner retries its request
    m_socket.send_to(asio::buffer(encode_witness(*answer)), from, 0, ignored);
}

asio::awaitable<void> peer_exchange::receive_datagrams()
{
    std::string bytes(max_datagram_bytes, '\0');
    for (;;)
    {
        asio::ip::udp::endpoint from;
        const auto [fault, count] = co_await m_socket.async_receive_from(
            asio::buffer(bytes), from, as_values);
        if (fault)
            continue;
        const auto datagram =
            decode_datagram(std::string_view(bytes).substr(0, count));
        if (datagram)
            handle_datagram(*datagram, from);
        else
            spdlog::warn("datagram dropped: {}", datagram.error().message());
    }
}

void peer_exchange::hasten_heartbeat()
{
    if (std::exchange(m_heartbeat_hastened, true))
        return;
    m_heartbeat_timer.cancel();
}

void peer_exchange::request_state(const socket_address& address)
{
    if (m_fetching || address.port == 0)
        return;
    m_fetching = true;
    spawn(m_loop, fetch_state(address, state_target),
          "state request to a peer");
}

void peer_exchange::request_reports(const socket_address& address)
{
    if (m_fetching || address.port == 0)
        return;
    m_fetching = true;
    spawn(m_loop, fetch_state(address, reports_target),
          "request of reports to a peer");
}

asio::awaitable<void> peer_exchange::fetch_state(socket_address address,
                                                 std::string target)
{
    const auto link =
        std::make_shared<http_link>(m_loop.get_executor(), address);
    const auto answer = co_await link->call(http::verb::get, std::move(target),
                                            {}, state_request_timeout);
    m_fetching = false;
    if (!answer.is(200))
        co_return;
    const auto state = decode_state(answer.body);
    if (state)
        m_listener.state_received(*state);
    else
        spdlog::warn("{}", state.error().message());
}

asio::awaitable<void> peer_exchange::accept_state_requests()
{
    for (;;)
    {
        auto [fault, socket] = co_await m_acceptor.async_accept(as_values);
        if (fault)
        {
            asio::steady_timer timer(m_loop, accept_retry_interval);
            co_await timer.async_wait(as_values);
            continue;
        }
        std::erase_if(m_state_requests,
                      [](const auto& each)
                      {
                          return each.expired();
                      });
        if (!m_state_requests.empty() &&
            m_state_requests.size() >=
                m_settings.descriptors / state_request_part)
        {
            boost::system::error_code ignored; // the descriptor is released
            if (const auto oldest = m_state_requests.front().lock())
                oldest->close(ignored);
            m_state_requests.pop_front();
        }
        auto connection =
            std::make_shared<asio::ip::tcp::socket>(std::move(socket));
        m_state_requests.push_back(connection);
        spawn(m_loop, answer_state_request(std::move(connection)),
              "state answer to a peer");
    }
}

asio::awaitable<void> peer_exchange::answer_state_request(
    std::shared_ptr<asio::ip::tcp::socket> connection)
{
    constexpr unsigned http_1_1 = 11;
    asio::steady_timer timer(m_loop, state_request_timeout);
    timer.async_wait(
        [weak = std::weak_ptr(connection)](auto fault)
        {
            boost::system::error_code ignored; // the descriptor is released
            if (const auto open = weak.lock(); open && !fault)
                open->close(ignored);
        });
    input_buffer buffer;
    http::request<http::empty_body> state_request;
    const auto [fault, count] = co_await http::async_read(
        *connection, buffer, state_request, as_values);
    if (fault)
        co_return;
    http::response<http::string_body> answer(http::status::ok, http_1_1);
    if (state_request.target() == state_target)
        answer.body() = encode_state(m_listener.current_state());
    else if (state_request.target() == reports_target)
        answer.body() = encode_state(m_listener.current_reports());
    else
        answer.result(http::status::not_found);
    answer.keep_alive(false);
    answer.prepare_payload();
    co_await http::async_write(*connection, answer, as_values);
}

} // namespace rhubarbgrade
