#include "relay_client.hpp"

#include <memory>  // weak_ptr
#include <utility> // move

#include <boost/asio/as_tuple.hpp>         // as_tuple
#include <boost/asio/steady_timer.hpp>     // steady_timer
#include <boost/asio/use_awaitable.hpp>    // use_awaitable
#include <boost/beast/http/empty_body.hpp> // empty_body
#include <boost/beast/http/parser.hpp>     // response_parser
#include <boost/beast/http/read.hpp>       // async_read_header
#include <boost/beast/http/write.hpp>      // async_write

#include <spdlog/fmt/fmt.h> // format

#include "../store/socket_options.hpp" // set_tcp_options, to_endpoint

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Time-out of the whole exchange: a connection to the relay, and the relay's
/// own time-out for its connection to the endpoint.
constexpr milliseconds exchange_timeout{600};

relay_outcome outcome_of(http::status status)
{
    switch (status)
    {
    case http::status::ok:
        return relay_outcome::connected;
    case http::status::bad_gateway:
        return relay_outcome::refused;
    case http::status::gateway_timeout:
        return relay_outcome::unreachable;
    default:
        return relay_outcome::busy;
    }
}

asio::awaitable<relay_outcome> exchange(endpoint_link& link,
                                        asio::ip::tcp::endpoint address,
                                        std::uint64_t process)
{
    constexpr unsigned http_1_1 = 11;
    const auto [connect_fault] =
        co_await link.socket.async_connect(address, as_values);
    if (connect_fault)
        co_return relay_outcome::failed;
    set_tcp_options(link.socket);
    http::request<http::empty_body> request(
        http::verb::connect, fmt::format("{:016x}", process), http_1_1);
    const auto [write_fault, written] =
        co_await http::async_write(link.socket, request, as_values);
    if (write_fault)
        co_return relay_outcome::failed;
    http::response_parser<http::empty_body> parser;
    parser.skip(true);
    const auto [read_fault, count] = co_await http::async_read_header(
        link.socket, link.buffer, parser, as_values);
    if (read_fault)
        co_return relay_outcome::failed;
    co_return outcome_of(parser.get().result());
}

} // namespace

asio::awaitable<relay_outcome> open_through_relay(endpoint_link_ptr_t link,
                                                  socket_address relay,
                                                  std::uint64_t process)
{
    const auto address = to_endpoint(relay);
    if (!address)
        co_return relay_outcome::failed;
    asio::steady_timer timer(link->socket.get_executor(), exchange_timeout);
    timer.async_wait(
        [weak = std::weak_ptr(link)](auto fault)
        {
            boost::system::error_code ignored; // the exchange is cancelled
            if (const auto pending = weak.lock(); pending && !fault)
                pending->socket.close(ignored);
        });
    const auto outcome = co_await exchange(*link, *address, process);
    const bool in_time = timer.cancel() != 0;
    co_return in_time ? outcome : relay_outcome::failed;
}

} // namespace rhubarbgrade
