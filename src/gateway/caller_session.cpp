#include "caller_session.hpp"

#include <algorithm> // max, min
#include <memory>    // make_shared
#include <utility>   // exchange, move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <boost/beast/http/error.hpp>   // error
#include <boost/beast/http/write.hpp>   // async_write, write

#include <spdlog/spdlog.h> // info

#include "../store/socket_options.hpp" // has_unread
#include "caller_exchange.hpp"         // caller_exchange
#include "own_answer.hpp"              // make_local_response
#include "traffic_context.hpp"         // traffic_context

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

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

/// Time without a request after which a connection is closed in a planned stop.
/// A caller that sends one request after the other is answered first.
constexpr milliseconds quiet_time{500};

/// Memory of a connection without a request, in bytes: its state, the tasks
/// that serve it, and a buffer for one read.
constexpr std::size_t connection_bytes = 6144;

/// Memory of a request that is being served besides its head and body, in
/// bytes: its state, the connection to an endpoint, and what is read from it.
constexpr std::size_t serving_bytes = 8192;

/// Memory of a header field besides its text, in bytes.
constexpr std::size_t field_bytes = 96;

/// Interval at which is checked whether others have given up enough.
constexpr milliseconds room_check_interval{1};

/// Retry-After of a request for which there was no room.
constexpr milliseconds busy_retry_after{1000};

constexpr unsigned unavailable = 503;

/// There is no room for what a caller sends.
error_code out_of_room()
{
    return make_error_code(boost::system::errc::not_enough_memory);
}

unsigned status_of(const error_code& fault)
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned body_too_large = 413;
    constexpr unsigned head_too_large = 431;
    if (fault == out_of_room())
        return unavailable;
    if (fault == http::error::body_limit)
        return body_too_large;
    if (fault == http::error::header_limit ||
        fault == http::error::buffer_overflow)
        return head_too_large;
    return bad_request;
}

/// Whether the caller sent a malformed or oversized request, in contrast to a
/// failure of the connection.
bool is_malformed_request(const error_code& fault)
{
    return fault.category() ==
               make_error_code(http::error::bad_value).category() &&
           fault != http::error::end_of_stream &&
           fault != http::error::partial_message;
}

/// Whether an endpoint could delimit or route the request in another way than
/// this proxy, which would allow request smuggling.
template <typename Request>
bool has_ambiguous_framing(const Request& request, bool chunked)
{
    if (request.count(http::field::transfer_encoding) != 0 && !chunked)
        return true;
    if (request.count(http::field::host) != 1)
        return true;
    const auto target = request.target();
    return target.empty() || target.front() != '/';
}

/// Memory that an input buffer takes in addition to one read.
std::size_t excess(std::size_t capacity)
{
    return std::max(capacity, read_size) - read_size;
}

/// Memory of an input buffer after one more read.
std::size_t capacity_after_read(const input_buffer& buffer)
{
    const auto needed = buffer.size() + read_size;
    if (needed <= buffer.capacity())
        return buffer.capacity();
    return std::min(buffer.max_size(), std::max(2 * buffer.size(), needed));
}

/// Memory of the parsed head of a request.
std::size_t head_size(const http::fields& fields)
{
    std::size_t size = 0;
    for (const auto& each : fields)
        size += field_bytes + each.name_string().size() + each.value().size();
    return size;
}

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket,
                               traffic_context& context)
    : m_socket(std::move(socket)),
      m_context(context),
      m_buffer(min_input_size),
      m_room_timer(context.executor),
      m_read_timer(context.executor),
      m_input_timer(context.executor)
{
    m_share.on_shed = [this]
    {
        give_up();
    };
}

caller_session::~caller_session()
{
    m_context.sessions.erase(this);
    m_context.callers.remove(m_share);
}

void caller_session::abort()
{
    error_code ignored; // the descriptor is released anyway
    m_socket.close(ignored);
}

void caller_session::close_if_idle(time_point_t now)
{
    if (m_idle && now - m_share.last_progress >= quiet_time)
        m_input_timer.cancel();
}

bool caller_session::ends_after_answer()
{
    if (!m_context.stopping)
        return false;
    return time_point_t::clock::now() >= m_context.stop.ends ||
           (m_buffer.size() == 0 && !has_unread(m_socket));
}

void caller_session::on_disconnect(std::function<void()> handler)
{
    m_disconnect_handler = std::move(handler);
    if (m_disconnected && m_disconnect_handler)
        std::exchange(m_disconnect_handler, nullptr)();
}

void caller_session::enter(caller_stage stage)
{
    m_share.stage = stage;
    m_share.last_progress = time_point_t::clock::now();
}

void caller_session::give_up()
{
    m_room_timer.cancel();
    if (m_share.stage == caller_stage::reading)
    {
        error_code ignored; // it is refused as soon as the read has ended
        m_socket.cancel(ignored);
        return;
    }
    m_read_timer.cancel();
    abort();
}

caller_amount caller_session::amount(std::size_t extra_bytes,
                                     std::size_t descriptors) const
{
    return {connection_bytes + m_request_bytes + extra_bytes, descriptors};
}

asio::awaitable<bool> caller_session::hold(std::size_t extra_bytes,
                                           std::size_t descriptors)
{
    const auto wanted = amount(extra_bytes, descriptors);
    for (;;)
    {
        const auto result =
            m_context.callers.hold(m_share, wanted, time_point_t::clock::now());
        if (result != hold_result::wait)
            co_return result == hold_result::held;
        m_room_timer.expires_after(room_check_interval);
        co_await m_room_timer.async_wait(as_values);
    }
}

asio::awaitable<bool> caller_session::admit()
{
    const auto self = shared_from_this();
    m_context.sessions.insert(this);
    enter(caller_stage::silent);
    const bool admitted = co_await hold(0, 1);
    if (!admitted)
        close();
    co_return admitted;
}

void caller_session::release_request()
{
    m_request_bytes = 0;
    m_share.sends_ahead = false;
    // A read that is under way writes into the buffer.
    if (!m_read_pending && m_buffer.capacity() > min_input_size)
        m_buffer.shrink_to_fit();
    // Less than before is always granted.
    m_context.callers.hold(m_share, amount(excess(m_buffer.capacity()), 1),
                           time_point_t::clock::now());
}

asio::awaitable<bool> caller_session::begin_write(std::size_t bytes, bool whole)
{
    enter(caller_stage::answering);
    if (bytes <= read_size)
        co_return true; // a part of what each request has
    const auto extra = serving_bytes + excess(m_buffer.capacity()) + bytes;
    if (co_await hold(extra, 2))
        co_return true;
    if (!whole || m_share.shed)
        co_return false;
    // The request has run, and the answer is in memory anyway.
    m_context.callers.add(m_share, amount(extra, 2));
    co_return true;
}

void caller_session::end_write()
{
    enter(caller_stage::serving);
    m_context.callers.hold(
        m_share, amount(serving_bytes + excess(m_buffer.capacity()), 2),
        time_point_t::clock::now());
}

void caller_session::start_input_read()
{
    if (m_read_pending || m_disconnected || m_buffer.size() >= max_read_ahead)
        return;
    const auto capacity = capacity_after_read(m_buffer);
    auto wanted = m_share.held;
    wanted.bytes += excess(capacity) - excess(m_buffer.capacity());
    if (m_context.callers.hold(m_share, wanted, time_point_t::clock::now()) !=
        hold_result::held)
        return;
    m_read_pending = true;
    m_socket.async_read_some(
        m_buffer.prepare(read_size),
        [self = shared_from_this()](auto fault, std::size_t count)
        {
            self->m_read_pending = false;
            self->m_buffer.commit(count);
            self->m_disconnected = static_cast<bool>(fault);
            // From here on the connection must not be given up as idle.
            if (count != 0 && self->m_idle)
                self->enter(caller_stage::reading);
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
    while (m_read_pending)
    {
        co_await m_input_timer.async_wait(as_values);
        if (!m_read_pending || !has_unread(m_socket))
            break;
        // What has arrived is read next.
        m_input_timer.expires_after(linger_time);
    }
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
            error_code ignored; // a closed socket reads nothing
            self->m_socket.cancel(ignored);
        });
}

asio::awaitable<error_code> caller_session::read_some()
{
    if (m_buffer.size() >= m_buffer.max_size())
        co_return http::error::buffer_overflow;
    // A read that had just ended when it was told to give up was not cancelled.
    if (!co_await hold(excess(capacity_after_read(m_buffer)), 1) ||
        m_share.shed)
        co_return out_of_room();
    const auto room = m_buffer.prepare(
        std::min(read_size, m_buffer.max_size() - m_buffer.size()));
    const auto [fault, count] =
        co_await m_socket.async_read_some(room, as_values);
    m_buffer.commit(count);
    if (count != 0)
        m_share.last_progress = time_point_t::clock::now();
    co_return fault;
}

error_code caller_session::parse(caller_parser_t& parser)
{
    error_code fault;
    std::size_t used = 1;
    while (!fault && used != 0 && m_buffer.size() != 0 && !parser.is_done())
    {
        used = parser.put(m_buffer.data(), fault);
        m_buffer.consume(used);
        if (!parser.eager() && parser.is_header_done())
            break;
    }
    return fault == http::error::need_more ? error_code() : fault;
}

asio::awaitable<error_code> caller_session::read_head(caller_parser_t& parser)
{
    for (;;)
    {
        if (const auto fault = parse(parser))
            co_return fault;
        if (parser.is_header_done())
            break;
        if (const auto fault = co_await read_some())
            co_return fault;
    }
    m_request_bytes = head_size(parser.get());
    if (!co_await hold(excess(m_buffer.capacity()), 1))
        co_return out_of_room();
    co_return error_code();
}

asio::awaitable<error_code> caller_session::read_body(caller_parser_t& parser,
                                                      std::uint64_t body_limit)
{
    auto& body = parser.get().body();
    const auto head_bytes = m_request_bytes;
    const std::size_t most =
        std::min(body_limit, parser.content_length().value_or(body_limit));
    parser.eager(true);
    while (!parser.is_done())
    {
        const auto needed = std::min(most, body.size() + m_buffer.size());
        if (needed > body.capacity())
        {
            const auto capacity =
                std::min(most, std::max(needed, 2 * body.capacity()));
            m_request_bytes = head_bytes + capacity;
            if (!co_await hold(excess(m_buffer.capacity()), 1))
                co_return out_of_room();
            body.reserve(capacity);
        }
        if (const auto fault = parse(parser))
            co_return fault;
        if (parser.is_done())
            break;
        if (const auto fault = co_await read_some())
            co_return fault;
    }
    // Fields of a trailer section have come.
    m_request_bytes = head_size(parser.get()) + body.capacity();
    co_return error_code();
}

asio::awaitable<caller_session::read_outcome>
caller_session::read_request(caller_request_t& request)
{
    constexpr unsigned timed_out = 408;
    caller_limits limits;
    if (m_context.view->configuration)
        limits = m_context.view->configuration->limits;
    caller_parser_t parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    // It may hold more than a limit that has been lowered since.
    m_buffer.max_size(
        std::max(m_buffer.max_size(), read_size + limits.header_bytes));
    start_read_timer(limits.header_time);
    auto fault = co_await read_head(parser);
    if (!fault)
    {
        // The idle time-out also limits the time for reading the body.
        start_read_timer(limits.idle_time);
        if (has_ambiguous_framing(parser.get(), parser.chunked()))
            fault = http::error::bad_value;
        else
            fault = co_await read_body(parser, limits.body_bytes);
    }
    m_read_timer.cancel();
    read_outcome outcome;
    if (!fault)
    {
        auto message = parser.release();
        request = caller_request_t(std::move(message.base()),
                                   std::move(message.body()));
        outcome.complete = true;
        co_return outcome;
    }
    if (m_share.shed)
        fault = out_of_room();
    if (fault == out_of_room())
    {
        ++m_context.counters.no_room;
        if (parser.is_header_done())
            outcome.id = platform::decode_call(parser.get()).id;
    }
    if (fault == out_of_room() || is_malformed_request(fault))
        outcome.refusal = status_of(fault);
    else if (m_read_timed_out)
        outcome.refusal = timed_out;
    co_return outcome;
}

asio::awaitable<void> caller_session::refuse(unsigned status, std::string id)
{
    auto response =
        status == unavailable
            ? make_local_response(
                  {status, "no room for the request", busy_retry_after})
            : make_local_response({status, "the request can't be read", {}});
    platform::set_response_id(response, id);
    response.keep_alive(false);
    if (m_share.shed)
    {
        // Others wait for what this connection holds.
        error_code ignored;
        m_socket.non_blocking(true, ignored);
        http::write(m_socket, response, ignored);
        co_return;
    }
    enter(caller_stage::idle);
    start_read_timer(linger_time);
    co_await http::async_write(m_socket, response, as_values);
    co_await close_gracefully();
}

void caller_session::record_discarded(std::size_t bytes)
{
    if (bytes == 0)
        return;
    ++m_context.counters.discarded;
    spdlog::info("event=input_discarded bytes={} stopping={}", bytes,
                 m_context.stopping);
}

asio::awaitable<std::size_t> caller_session::close_gracefully()
{
    enter(caller_stage::idle);
    std::size_t discarded = 0;
    error_code ignored; // the peer may have disconnected
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    start_read_timer(linger_time);
    while (!m_read_pending && !m_disconnected && !m_read_timed_out)
    {
        discarded += m_buffer.size();
        m_buffer.clear();
        const auto [fault, count] = co_await m_socket.async_read_some(
            m_buffer.prepare(read_size), as_values);
        m_buffer.commit(count);
        if (fault)
            break;
    }
    if (m_read_pending)
        co_await m_read_timer.async_wait(as_values);
    m_read_timer.cancel();
    abort();
    co_return discarded + m_buffer.size();
}

asio::awaitable<bool> caller_session::read_and_serve()
{
    caller_request_t request;
    enter(caller_stage::reading);
    ++m_context.reading;
    auto outcome = co_await read_request(request);
    m_share.sends_ahead = m_buffer.size() != 0;
    if (outcome.complete &&
        !co_await hold(serving_bytes + excess(m_buffer.capacity()), 2))
    {
        ++m_context.counters.no_room;
        outcome = {false, unavailable, platform::decode_call(request).id};
        request = {};
    }
    if (!outcome.complete)
    {
        release_request();
        if (outcome.refusal != 0)
            co_await refuse(outcome.refusal, std::move(outcome.id));
    }
    --m_context.reading;
    if (!outcome.complete)
        co_return false;
    enter(caller_stage::serving);
    const auto current_exchange = std::make_shared<caller_exchange>(
        shared_from_this(), std::move(request), m_context);
    on_disconnect(
        [current_exchange]
        {
            current_exchange->handle_disconnect();
        });
    start_input_read();
    const bool complete = co_await current_exchange->run();
    on_disconnect(nullptr);
    if (complete && current_exchange->ends_connection())
    {
        record_discarded(co_await close_gracefully());
        co_return false;
    }
    co_return complete;
}

asio::awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    while (co_await wait_for_input())
    {
        if (!co_await read_and_serve())
            break;
        release_request();
        enter(caller_stage::idle);
    }
    close();
}

asio::awaitable<void> caller_session::admit_and_run()
{
    const auto self = shared_from_this();
    const bool admitted = co_await admit();
    if (admitted)
        co_await run();
}

void caller_session::close()
{
    m_context.sessions.erase(this);
    abort();
    m_context.callers.remove(m_share);
}

} // namespace rhubarbgrade
