#include "answer_writer.hpp"

#include <charconv>    // from_chars
#include <string>      // string
#include <string_view> // string_view
#include <tuple>       // ignore, tie
#include <utility>     // move

#include <boost/asio/as_tuple.hpp>           // as_tuple
#include <boost/asio/buffer.hpp>             // buffer
#include <boost/asio/use_awaitable.hpp>      // use_awaitable
#include <boost/asio/write.hpp>              // async_write
#include <boost/beast/http/chunk_encode.hpp> // make_chunk, make_chunk_last
#include <boost/beast/http/empty_body.hpp>   // empty_body
#include <boost/beast/http/serializer.hpp>   // response_serializer
#include <boost/beast/http/write.hpp>        // async_write, async_write_header

#include <platform/caller_codec.hpp> // copy_response_headers

#include "caller_session.hpp" // caller_session

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

bool is_success(unsigned status)
{
    return status / 100 == 2;
}

/// The event's "id" field as a number; empty if it has no numeric id.
std::optional<std::uint64_t> event_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t line_start = 0;
    while (line_start < event.size())
    {
        auto line =
            event.substr(line_start, event.find('\n', line_start) - line_start);
        line_start += line.size() + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto end =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (end.ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

response_writer::response_writer(caller_session& session, bool chunked,
                                 bool keep_alive)
    : m_session(session),
      m_socket(session.socket()),
      m_chunked(chunked),
      m_keep_alive(keep_alive)
{
}

bool response_writer::decide_keep_alive(bool delimited)
{
    const bool stays_open =
        m_keep_alive && delimited && !m_session.ends_after_answer();
    m_ends_connection = !stays_open;
    return stays_open;
}

asio::awaitable<bool> response_writer::write_complete(caller_response_t message)
{
    m_begun = true;
    m_uncounted_output =
        is_success(message.result_int()) && !message.body().empty();
    message.keep_alive(decide_keep_alive(true));
    if (!co_await m_session.begin_write(message.body().size(), true))
        co_return false;
    const auto [fault, count] =
        co_await http::async_write(m_socket, message, as_values);
    m_session.end_write();
    co_return !fault;
}

asio::awaitable<bool> response_writer::begin(unsigned status,
                                             const http::fields& fields,
                                             bool is_event_stream)
{
    constexpr unsigned http_1_1 = 11;
    m_begun = true;
    m_events_begun = is_event_stream;
    m_uncounted_output = is_success(status) && !is_event_stream;
    http::response<http::empty_body> head;
    head.version(http_1_1);
    head.result(status);
    platform::copy_response_headers(fields, head);
    m_close_delimited = !m_chunked;
    if (m_close_delimited)
        set_reset_on_close(true);
    head.chunked(m_chunked);
    head.keep_alive(decide_keep_alive(m_chunked));
    http::response_serializer<http::empty_body> serializer(head);
    if (!co_await m_session.begin_write(0, false))
        co_return false;
    const auto [fault, count] =
        co_await http::async_write_header(m_socket, serializer, as_values);
    m_session.end_write();
    co_return !fault;
}

void response_writer::set_reset_on_close(bool reset)
{
    boost::system::error_code ignored; // the caller may have disconnected
    m_socket.set_option(asio::socket_base::linger(reset, 0), ignored);
}

asio::awaitable<bool> response_writer::write_part(std::string_view bytes)
{
    const auto buffer = asio::buffer(bytes.data(), bytes.size());
    if (!co_await m_session.begin_write(bytes.size(), false))
        co_return false;
    boost::system::error_code fault;
    if (m_close_delimited)
        std::tie(fault, std::ignore) =
            co_await asio::async_write(m_socket, buffer, as_values);
    else
    {
        const auto chunk = http::make_chunk(buffer);
        std::tie(fault, std::ignore) =
            co_await asio::async_write(m_socket, chunk, as_values);
    }
    m_session.end_write();
    co_return !fault;
}

bool response_writer::append_event(std::string_view event,
                                   std::string& complete_events)
{
    const auto id = event_id(event);
    // A stream whose events are numbered goes on with a numbered one; anything
    // else is the rest of an event or not this stream.
    if (m_resuming && m_last_event_id && !id)
        return event.starts_with(':');
    m_resuming = false;
    if (id && m_last_event_id && *id <= *m_last_event_id)
        return true; // sent before the stream was resumed
    if (id)
        m_last_event_id = id;
    ++m_event_count;
    complete_events.append(event);
    return true;
}

asio::awaitable<bool> response_writer::write_body(std::string_view bytes,
                                                  bool is_event_stream)
{
    if (!is_event_stream)
        co_return co_await write_part(bytes);
    std::string complete_events;
    if (!m_splitter.add(bytes,
                        [&](std::string_view event)
                        {
                            return append_event(event, complete_events);
                        }))
    {
        m_endpoint_failed = true;
        co_return false;
    }
    if (complete_events.empty())
        co_return true;
    co_return co_await write_part(complete_events);
}

asio::awaitable<bool> response_writer::end()
{
    if (m_close_delimited)
    {
        set_reset_on_close(false);
        co_return true;
    }
    const auto [fault, count] = co_await asio::async_write(
        m_socket, http::make_chunk_last(), as_values);
    co_return !fault;
}

void response_writer::prepare_resume()
{
    m_splitter = {};
    m_endpoint_failed = false;
    m_resuming = true;
}

} // namespace rhubarbgrade
