#include "http_link.hpp"

#include <string>  // string
#include <utility> // move

#include <boost/asio/as_tuple.hpp>          // as_tuple
#include <boost/asio/use_awaitable.hpp>     // use_awaitable
#include <boost/beast/http/error.hpp>       // error
#include <boost/beast/http/read.hpp>        // async_read
#include <boost/beast/http/string_body.hpp> // string_body
#include <boost/beast/http/write.hpp>       // async_write

#include <platform/store_calls.hpp>                      // decode_era
#include <rhubarbgrade/detail/routing/answer_status.hpp> // kind_of_status

#include "socket_options.hpp" // is_alive, set_tcp_options

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

/// Completion token that returns errors as values instead of throwing them.
constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Largest response body, in bytes; a page of a list has about 1 MB. Several
/// calls may read one at the same time.
constexpr std::uint64_t body_limit = 4U << 20U;

} // namespace

http_link::http_link(const asio::any_io_executor& executor, socket_address peer)
    : m_socket(executor), m_timer(executor), m_peer(std::move(peer))
{
}

void http_link::close()
{
    boost::system::error_code ignored; // the connection may be broken
    m_socket.close(ignored);
    m_buffer.clear();
}

bool http_link::reusable()
{
    return is_alive(m_socket);
}

void http_link::start_timer(milliseconds timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [weak = weak_from_this(), timed_call = m_call_id](auto fault)
        {
            const auto self = weak.lock();
            if (!fault && self && self->m_call_id == timed_call)
                self->close();
        });
}

asio::awaitable<bool> http_link::connect()
{
    close();
    const auto address = to_endpoint(m_peer);
    if (!address)
        co_return false;
    const auto [fault] = co_await m_socket.async_connect(*address, as_values);
    if (fault)
    {
        close();
        co_return false;
    }
    set_tcp_options(m_socket);
    co_return true;
}

asio::awaitable<call_result>
http_link::exchange(http::verb verb, std::string target, std::string body)
{
    constexpr unsigned http_1_1 = 11;
    http::request<http::string_body> request(verb, target, http_1_1);
    request.set(http::field::host, m_peer.ip);
    if (!body.empty())
    {
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(body);
    }
    request.prepare_payload();
    const auto [write_fault, written] =
        co_await http::async_write(m_socket, request, as_values);
    if (write_fault)
    {
        close();
        co_return call_result{written == 0 ? call_outcome::not_sent
                                           : call_outcome::unknown,
                              0,
                              {},
                              0};
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(body_limit);
    const auto [read_fault, count] =
        co_await http::async_read(m_socket, m_buffer, parser, as_values);
    if (read_fault)
    {
        close();
        call_result failed{call_outcome::unknown, 0, {}, 0};
        failed.too_large = read_fault == http::error::body_limit;
        co_return failed;
    }
    const auto status = parser.get().result_int();
    // The answer may follow, and would be taken for the next call's.
    if (kind_of_status(status, false) != status_kind::final)
    {
        close();
        co_return call_result{call_outcome::unknown, 0, {}, 0};
    }
    call_result result{call_outcome::answered, status,
                       std::move(parser.get().body()),
                       platform::decode_era(parser.get())};
    if (!parser.keep_alive() || m_buffer.size() != 0)
        close();
    co_return result;
}

asio::awaitable<call_result> http_link::call(http::verb verb,
                                             std::string target,
                                             std::string body,
                                             milliseconds timeout)
{
    const auto self = shared_from_this();
    ++m_call_id;
    start_timer(timeout);
    call_result result;
    if (m_socket.is_open() || co_await connect())
        result = co_await exchange(verb, std::move(target), std::move(body));
    ++m_call_id;
    m_timer.cancel();
    co_return result;
}

} // namespace rhubarbgrade
