#include "answer_writer.hpp"

#include <charconv>    // from_chars
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move

#include <boost/asio/as_tuple.hpp>           // as_tuple
#include <boost/asio/buffer.hpp>             // buffer
#include <boost/asio/use_awaitable.hpp>      // use_awaitable
#include <boost/asio/write.hpp>              // async_write
#include <boost/beast/http/chunk_encode.hpp> // make_chunk, make_chunk_last
#include <boost/beast/http/empty_body.hpp>   // empty_body
#include <boost/beast/http/serializer.hpp>   // response_serializer
#include <boost/beast/http/write.hpp>        // async_write, async_write_header

#include <platform/caller_codec.hpp> // copy_answer_headers

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// The number in an event's "id" field; nothing if it has none.
std::optional<std::uint64_t> event_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t line = 0;
    while (line < event.size())
    {
        auto text = event.substr(line, event.find('\n', line) - line);
        line += text.size() + 1;
        if (!text.starts_with(field))
            continue;
        text.remove_prefix(field.size());
        while (text.starts_with(' '))
            text.remove_prefix(1);
        std::uint64_t id = 0;
        const auto end =
            std::from_chars(text.data(), text.data() + text.size(), id);
        if (end.ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

answer_writer::answer_writer(asio::ip::tcp::socket& socket) : m_socket(socket)
{
}

asio::awaitable<bool> answer_writer::write_whole(caller_answer_t answer)
{
    m_begun = true;
    const auto [fault, count] =
        co_await http::async_write(m_socket, answer, as_values);
    co_return !fault;
}

asio::awaitable<bool> answer_writer::begin(unsigned status,
                                           const http::fields& fields,
                                           bool keep_alive)
{
    constexpr unsigned http_1_1 = 11;
    m_begun = true;
    http::response<http::empty_body> head;
    head.version(http_1_1);
    head.result(status);
    platform::copy_answer_headers(fields, head);
    head.chunked(true);
    head.keep_alive(keep_alive);
    http::response_serializer<http::empty_body> serializer(head);
    const auto [fault, count] =
        co_await http::async_write_header(m_socket, serializer, as_values);
    co_return !fault;
}

asio::awaitable<bool> answer_writer::write_chunk(std::string_view bytes)
{
    const auto [fault, count] = co_await asio::async_write(
        m_socket, http::make_chunk(asio::buffer(bytes.data(), bytes.size())),
        as_values);
    co_return !fault;
}

bool answer_writer::take_event(std::string_view event, std::string& whole)
{
    const auto id = event_id(event);
    if (id && m_last_event && *id <= *m_last_event)
        return true; // the caller has it already
    if (id)
        m_last_event = id;
    ++m_events;
    whole.append(event);
    return true;
}

asio::awaitable<bool> answer_writer::add(std::string_view bytes, bool events)
{
    if (!events)
        co_return co_await write_chunk(bytes);
    std::string whole;
    if (!m_splitter.add(bytes,
                        [&](std::string_view event)
                        {
                            return take_event(event, whole);
                        }))
        co_return false;
    if (whole.empty())
        co_return true;
    co_return co_await write_chunk(whole);
}

asio::awaitable<bool> answer_writer::end()
{
    if (const std::string rest(m_splitter.rest()); !rest.empty())
        if (!co_await write_chunk(rest))
            co_return false;
    const auto [fault, count] = co_await asio::async_write(
        m_socket, http::make_chunk_last(), as_values);
    co_return !fault;
}

void answer_writer::drop_rest()
{
    m_splitter = {};
}

} // namespace rhubarbgrade
