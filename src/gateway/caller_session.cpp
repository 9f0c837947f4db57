#include "caller_session.hpp"

#include <algorithm> // max
#include <cstdint>   // uint64_t
#include <memory>    // make_shared
#include <utility>   // exchange, move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <boost/beast/http/error.hpp>   // error
#include <boost/beast/http/parser.hpp>  // request_parser
#include <boost/beast/http/read.hpp>    // async_read, async_read_header
#include <boost/beast/http/write.hpp>   // async_write

#include "caller_exchange.hpp" // caller_exchange
#include "own_answer.hpp"      // make_local_response
#include "traffic_context.hpp" // traffic_context

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Bytes that are read while a request is being processed: a pipelined request
/// is accepted, but not much more of it than its header.
constexpr std::size_t max_read_ahead = 16384;
constexpr std::size_t read_size = 4096;
constexpr std::size_t min_input_size = max_read_ahead + read_size;

/// Time for which a connection is still read from after the last response.
/// Closing it with unread bytes would reset it, and the caller could lose the
/// response.
constexpr milliseconds linger_time{500};

unsigned status_of(const boost::system::error_code& fault)
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned body_too_large = 413;
    constexpr unsigned head_too_large = 431;
    if (fault == http::error::body_limit)
        return body_too_large;
    if (fault == http::error::header_limit ||
        fault == http::error::buffer_overflow)
        return head_too_large;
    return bad_request;
}

/// Whether the caller sent a malformed or oversized request, in contrast to a
/// failure of the connection.
bool is_malformed_request(const boost::system::error_code& fault)
{
    return fault.category() ==
               make_error_code(http::error::bad_value).category() &&
           fault != http::error::end_of_stream &&
           fault != http::error::partial_message;
}

/// Whether an endpoint could delimit or route the request in another way than
/// this proxy, which would allow request smuggling.
bool has_ambiguous_framing(const caller_request_t& request, bool chunked)
{
    if (request.count(http::field::transfer_encoding) != 0 && !chunked)
        return true;
    if (request.count(http::field::host) != 1)
        return true;
    const auto target = request.target();
    return target.empty() || target.front() != '/';
}

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket,
                               traffic_context& context)
    : m_socket(std::move(socket)),
      m_context(context),
      m_buffer(min_input_size),
      m_read_timer(context.executor),
      m_input_timer(context.executor)
{
}

void caller_session::abort()
{
    boost::system::error_code ignored; // the descriptor is released anyway
    m_socket.close(ignored);
}

void caller_session::close_if_idle()
{
    if (m_idle)
        m_input_timer.cancel();
}

void caller_session::on_disconnect(std::function<void()> handler)
{
    m_disconnect_handler = std::move(handler);
    if (m_disconnected && m_disconnect_handler)
        std::exchange(m_disconnect_handler, nullptr)();
}

void caller_session::start_input_read()
{
    if (m_read_pending || m_disconnected || m_buffer.size() >= max_read_ahead)
        return;
    m_read_pending = true;
    m_socket.async_read_some(
        m_buffer.prepare(read_size),
        [self = shared_from_this()](auto fault, std::size_t count)
        {
            self->m_read_pending = false;
            self->m_buffer.commit(count);
            self->m_disconnected = static_cast<bool>(fault);
            self->m_input_timer.cancel();
            // A pipelined request stays in the buffer until its turn.
            if (self->m_disconnected && self->m_disconnect_handler)
                std::exchange(self->m_disconnect_handler, nullptr)();
        });
}

asio::awaitable<bool> caller_session::wait_for_input()
{
    const auto& configuration = m_context.view->configuration;
    m_input_timer.expires_after(configuration ? configuration->limits.idle_time
                                              : caller_limits().idle_time);
    // A read started during the previous request may still be pending.
    if (m_buffer.size() == 0)
        start_input_read();
    m_idle = true;
    if (m_read_pending)
        co_await m_input_timer.async_wait(as_values);
    m_idle = false;
    co_return !m_disconnected && !m_read_pending;
}

void caller_session::start_read_timer(milliseconds limit)
{
    m_read_timed_out = false;
    m_read_timer.expires_after(limit);
    m_read_timer.async_wait(
        [weak = weak_from_this()](auto fault)
        {
            const auto self = weak.lock();
            if (fault || !self)
                return;
            self->m_read_timed_out = true;
            boost::system::error_code ignored; // a closed socket reads nothing
            self->m_socket.cancel(ignored);
        });
}

asio::awaitable<bool> caller_session::read_request(caller_request_t& request)
{
    constexpr unsigned timed_out = 408;
    caller_limits limits;
    if (m_context.view->configuration)
        limits = m_context.view->configuration->limits;
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    // It may hold more than a limit that has been lowered since.
    m_buffer.max_size(
        std::max(m_buffer.max_size(), read_size + limits.header_bytes));
    start_read_timer(limits.header_time);
    auto [fault, count] =
        co_await http::async_read_header(m_socket, m_buffer, parser, as_values);
    if (!fault)
    {
        // The idle time-out also limits the time for reading the body.
        start_read_timer(limits.idle_time);
        if (has_ambiguous_framing(parser.get(), parser.chunked()))
            fault = http::error::bad_value;
        else if (!parser.is_done())
        {
            const auto [body_fault, body_count] = co_await http::async_read(
                m_socket, m_buffer, parser, as_values);
            fault = body_fault;
        }
    }
    m_read_timer.cancel();
    if (!fault)
    {
        request = parser.release();
        co_return true;
    }
    if (m_read_timed_out)
        co_await refuse(timed_out);
    else if (is_malformed_request(fault))
        co_await refuse(status_of(fault));
    co_return false;
}

asio::awaitable<void> caller_session::refuse(unsigned status)
{
    auto response =
        make_local_response({status, "the request can't be read", {}});
    response.keep_alive(false);
    co_await http::async_write(m_socket, response, as_values);
    co_await close_gracefully();
}

asio::awaitable<void> caller_session::close_gracefully()
{
    boost::system::error_code ignored; // the peer may have disconnected
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    start_read_timer(linger_time);
    while (!m_read_pending && !m_disconnected && !m_read_timed_out)
    {
        m_buffer.clear();
        const auto [fault, count] = co_await m_socket.async_read_some(
            m_buffer.prepare(read_size), as_values);
        if (fault)
            break;
    }
    if (m_read_pending)
        co_await m_read_timer.async_wait(as_values);
    m_read_timer.cancel();
    abort();
}

asio::awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    m_context.sessions.insert(this);
    while (co_await wait_for_input())
    {
        caller_request_t request;
        ++m_context.reading;
        const bool was_read = co_await read_request(request);
        --m_context.reading;
        if (!was_read)
            break;
        const bool persistent = request.keep_alive();
        const auto current_exchange = std::make_shared<caller_exchange>(
            self, std::move(request), m_context);
        on_disconnect(
            [current_exchange]
            {
                current_exchange->handle_disconnect();
            });
        start_input_read();
        const bool complete = co_await current_exchange->run();
        on_disconnect(nullptr);
        if (!complete)
            break;
        if (!persistent || current_exchange->closes_connection())
        {
            co_await close_gracefully();
            break;
        }
    }
    m_context.sessions.erase(this);
    abort();
}

} // namespace rhubarbgrade
