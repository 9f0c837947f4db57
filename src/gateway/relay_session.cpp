#include "relay_session.hpp"

#include <array>       // array
#include <charconv>    // from_chars
#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string_view> // string_view
#include <utility>     // move

#include <boost/asio/as_tuple.hpp>         // as_tuple
#include <boost/asio/buffer.hpp>           // buffer
#include <boost/asio/use_awaitable.hpp>    // use_awaitable
#include <boost/asio/write.hpp>            // async_write
#include <boost/beast/http/empty_body.hpp> // empty_body
#include <boost/beast/http/parser.hpp>     // request_parser
#include <boost/beast/http/read.hpp>       // async_read_header
#include <boost/beast/http/write.hpp>      // async_write

#include <spdlog/spdlog.h> // info

#include "../store/spawn.hpp"  // spawn
#include "traffic_context.hpp" // traffic_context

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Time in which the peer sends its request after it has connected.
constexpr milliseconds request_timeout{1000};

/// Time without a byte after which an answer counts as ended.
constexpr milliseconds quiet_time{500};

/// Bytes that are read from one side before they are passed on.
constexpr std::size_t read_size = 4096;

std::optional<std::uint64_t> parse_process(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::uint64_t process = 0;
    const auto* const end = text.data() + text.size();
    const auto [parsed, fault] =
        std::from_chars(text.data(), end, process, hexadecimal);
    if (fault != std::errc() || parsed != end)
        return std::nullopt;
    return process;
}

} // namespace

relay_session::relay_session(asio::ip::tcp::socket peer,
                             traffic_context& context)
    : m_peer(std::move(peer)), m_context(context), m_timer(context.executor)
{
}

void relay_session::close()
{
    boost::system::error_code ignored; // the descriptors are released anyway
    m_peer.close(ignored);
    if (m_link)
        m_link->socket.close(ignored);
}

bool relay_session::busy(time_point_t now) const
{
    return m_awaits_answer || now - m_last_byte < quiet_time;
}

void relay_session::reset()
{
    boost::system::error_code ignored; // the peer may have disconnected
    m_peer.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

asio::awaitable<http::status> relay_session::open()
{
    http::request_parser<http::empty_body> parser;
    m_timer.expires_after(request_timeout);
    m_timer.async_wait(
        [weak = weak_from_this()](auto fault)
        {
            if (const auto self = weak.lock(); self && !fault)
                self->close();
        });
    const auto [fault, count] =
        co_await http::async_read_header(m_peer, m_buffer, parser, as_values);
    m_timer.cancel();
    if (fault || parser.get().method() != http::verb::connect)
        co_return http::status::bad_request;
    const auto target = parser.get().target();
    const auto process = parse_process({target.data(), target.size()});
    auto endpoint =
        process ? m_context.directory.find_process(*process) : nullptr;
    if (!endpoint)
        co_return http::status::not_found;
    if (m_context.stopping || endpoint->evacuated ||
        m_context.directory.is_cut(endpoint->entry.service))
        co_return http::status::service_unavailable;
    auto opened = co_await m_context.directory.open_direct(endpoint);
    m_link = std::move(opened.link);
    if (m_link)
        co_return http::status::ok;
    co_return opened.refused ? http::status::bad_gateway
                             : http::status::gateway_timeout;
}

asio::awaitable<bool> relay_session::answer(http::status status)
{
    constexpr unsigned http_1_1 = 11;
    http::response<http::empty_body> response(status, http_1_1);
    const auto [fault, count] =
        co_await http::async_write(m_peer, response, as_values);
    co_return !fault;
}

asio::awaitable<void> relay_session::run()
{
    const auto self = shared_from_this();
    m_context.relays.insert(this);
    const auto status = co_await open();
    const bool answered = m_peer.is_open() && co_await answer(status);
    if (answered && m_link)
    {
        spawn(m_context.executor, pass_to_peer(), "relay to a peer");
        co_await pass_to_endpoint();
    }
    close();
    m_context.relays.erase(this);
}

asio::awaitable<void> relay_session::pass_to_endpoint()
{
    std::array<char, read_size> chunk{};
    // What came with the peer's request.
    const auto [rest_fault, rest] =
        co_await asio::async_write(m_link->socket, m_buffer.data(), as_values);
    if (rest_fault)
        co_return reset();
    for (;;)
    {
        const auto [read_fault, received] =
            co_await m_peer.async_read_some(asio::buffer(chunk), as_values);
        // The peer closes when it is done or its caller has left.
        if (read_fault)
            co_return;
        m_last_byte = time_point_t::clock::now();
        m_awaits_answer = true;
        const auto [write_fault, written] = co_await asio::async_write(
            m_link->socket, asio::buffer(chunk.data(), received), as_values);
        if (write_fault)
            co_return reset();
    }
}

asio::awaitable<void> relay_session::pass_to_peer()
{
    const auto self = shared_from_this();
    std::array<char, read_size> chunk{};
    for (;;)
    {
        const auto [read_fault, received] =
            co_await m_link->socket.async_read_some(asio::buffer(chunk),
                                                    as_values);
        if (read_fault == asio::error::eof)
        {
            // The peer closes its side after it has read the rest.
            boost::system::error_code ignored;
            m_peer.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (read_fault)
            co_return reset();
        m_last_byte = time_point_t::clock::now();
        m_awaits_answer = false;
        const auto [write_fault, written] = co_await asio::async_write(
            m_peer, asio::buffer(chunk.data(), received), as_values);
        if (write_fault)
            co_return close();
    }
}

} // namespace rhubarbgrade
