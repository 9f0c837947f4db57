#include "caller_session.hpp"

#include <cstdint> // uint64_t
#include <memory>  // make_shared
#include <utility> // exchange, move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <boost/beast/http/error.hpp>   // error
#include <boost/beast/http/parser.hpp>  // request_parser
#include <boost/beast/http/read.hpp>    // async_read, async_read_header
#include <boost/beast/http/write.hpp>   // async_write

#include "caller_exchange.hpp" // caller_exchange
#include "own_answer.hpp"      // make_own_answer
#include "traffic_context.hpp" // traffic_context

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Bytes read ahead while a request is being answered: a caller may send the
/// next one early, but no more than a head.
constexpr std::size_t read_ahead = 16384;
constexpr std::size_t read_size = 4096;

/// How long a closing connection is read from, so that unread bytes don't
/// reset it before the caller has its answer.
constexpr milliseconds linger{500};

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

/// Whether the fault says that the bytes are no proper request.
bool is_protocol_fault(const boost::system::error_code& fault)
{
    return fault.category() ==
               make_error_code(http::error::bad_value).category() &&
           fault != http::error::end_of_stream &&
           fault != http::error::partial_message;
}

/// Framing that a caller and an endpoint could read differently.
bool has_doubtful_framing(const caller_request_t& request, bool chunked)
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
      m_timer(context.executor),
      m_input_timer(context.executor)
{
}

void caller_session::abort()
{
    boost::system::error_code ignored; // it is closed either way
    m_socket.close(ignored);
}

void caller_session::close_if_idle()
{
    if (m_idle)
        m_input_timer.cancel();
}

void caller_session::on_leave(std::function<void()> left)
{
    m_left = std::move(left);
    if (m_gone && m_left)
        std::exchange(m_left, nullptr)();
}

void caller_session::watch_input()
{
    if (m_watching || m_gone || m_buffer.size() >= read_ahead)
        return;
    m_watching = true;
    m_socket.async_read_some(
        m_buffer.prepare(read_size),
        [self = shared_from_this()](auto fault, std::size_t count)
        {
            self->m_watching = false;
            self->m_buffer.commit(count);
            self->m_gone = static_cast<bool>(fault);
            self->m_input_timer.cancel();
            // Input that came early is left alone until its turn.
            if (self->m_gone && self->m_left)
                std::exchange(self->m_left, nullptr)();
        });
}

asio::awaitable<bool> caller_session::wait_for_input()
{
    const auto& configuration = m_context.view->configuration;
    m_input_timer.expires_after(configuration ? configuration->limits.idle_time
                                              : caller_limits().idle_time);
    // A read that was begun during the last request may still be pending.
    if (m_buffer.size() == 0)
        watch_input();
    m_idle = true;
    if (m_watching)
        co_await m_input_timer.async_wait(as_values);
    m_idle = false;
    co_return !m_gone && !m_watching;
}

void caller_session::limit_reading(milliseconds limit)
{
    m_too_late = false;
    m_timer.expires_after(limit);
    m_timer.async_wait(
        [weak = weak_from_this()](auto fault)
        {
            const auto self = weak.lock();
            if (fault || !self)
                return;
            self->m_too_late = true;
            boost::system::error_code ignored; // the read ends either way
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
    limit_reading(limits.header_time);
    auto [fault, count] =
        co_await http::async_read_header(m_socket, m_buffer, parser, as_values);
    if (!fault)
    {
        // A body may take as long as a caller may be idle.
        limit_reading(limits.idle_time);
        if (has_doubtful_framing(parser.get(), parser.chunked()))
            fault = http::error::bad_value;
        else if (!parser.is_done())
        {
            const auto [body_fault, body_count] = co_await http::async_read(
                m_socket, m_buffer, parser, as_values);
            fault = body_fault;
        }
    }
    m_timer.cancel();
    if (!fault)
    {
        request = parser.release();
        co_return true;
    }
    if (m_too_late)
        co_await refuse(timed_out);
    else if (is_protocol_fault(fault))
        co_await refuse(status_of(fault));
    co_return false;
}

asio::awaitable<void> caller_session::refuse(unsigned status)
{
    auto answer = make_own_answer({status, "the request can't be read", {}});
    answer.keep_alive(false);
    co_await http::async_write(m_socket, answer, as_values);
    co_await close_gently();
}

asio::awaitable<void> caller_session::close_gently()
{
    boost::system::error_code ignored; // the other side may be gone
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    limit_reading(linger);
    while (!m_watching && !m_gone && !m_too_late)
    {
        m_buffer.clear();
        const auto [fault, count] = co_await m_socket.async_read_some(
            m_buffer.prepare(read_size), as_values);
        if (fault)
            break;
    }
    if (m_watching)
        co_await m_timer.async_wait(as_values);
    m_timer.cancel();
    abort();
}

asio::awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    m_context.sessions.insert(this);
    while (co_await wait_for_input())
    {
        caller_request_t request;
        if (!co_await read_request(request))
            break;
        const bool wants_more = request.keep_alive();
        const auto answering = std::make_shared<caller_exchange>(
            self, std::move(request), m_context);
        on_leave(
            [answering]
            {
                answering->leave();
            });
        watch_input();
        const bool whole = co_await answering->run();
        on_leave(nullptr);
        if (!whole)
            break;
        if (!wants_more || answering->closing())
        {
            co_await close_gently();
            break;
        }
    }
    m_context.sessions.erase(this);
    abort();
}

} // namespace rhubarbgrade
