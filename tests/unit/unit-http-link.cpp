// Calls to the store and to peers.

#include <memory>
#include <string>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include "../../src/store/http_link.hpp"

using namespace rhubarbgrade;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

bool read_request(tcp::socket& connection)
{
    boost::system::error_code fault;
    std::string request;
    asio::read_until(connection, asio::dynamic_buffer(request), "\r\n\r\n",
                     fault);
    return !fault;
}

void write(tcp::socket& connection, const std::string& bytes)
{
    boost::system::error_code ignored; // the test sees what did not arrive
    asio::write(connection, asio::buffer(bytes), ignored);
}

std::string answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Serves two requests. The answer to the first one comes late, after an
/// interim head, if its connection is still in use.
void serve_two(tcp::acceptor& acceptor)
{
    auto first = acceptor.accept();
    read_request(first);
    write(first, "HTTP/1.1 103 Early Hints\r\n\r\n");
    if (read_request(first))
        return write(first, answer("first") + answer("second"));
    auto second = acceptor.accept();
    read_request(second);
    write(second, answer("second"));
}

} // namespace

TEST_CASE("a call whose answer begins with an interim head leaves none to the "
          "next call")
{
    asio::io_context loop;
    tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
    const socket_address peer{"127.0.0.1", acceptor.local_endpoint().port()};
    std::thread server(
        [&acceptor]
        {
            serve_two(acceptor);
        });
    asio::io_context calls;
    const auto link = std::make_shared<http_link>(calls.get_executor(), peer);
    const auto call = [&]
    {
        auto result = asio::co_spawn(calls,
                                     link->call(boost::beast::http::verb::get,
                                                "/", {}, milliseconds(5000)),
                                     asio::use_future);
        calls.restart();
        calls.run();
        return result.get();
    };
    const auto first = call();
    CHECK(first.end == call_outcome::unknown);
    const auto second = call();
    server.join();
    CHECK(second.body == "second");
}
