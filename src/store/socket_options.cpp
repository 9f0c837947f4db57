#include "socket_options.hpp"

#include <cerrno> // EAGAIN, EWOULDBLOCK, errno

#include <netinet/in.h>  // IPPROTO_TCP
#include <netinet/tcp.h> // TCP_KEEPCNT, TCP_KEEPIDLE, TCP_USER_TIMEOUT
#include <sys/socket.h>  // MSG_DONTWAIT, MSG_PEEK, recv

#include <boost/asio/ip/address_v4.hpp> // make_address_v4

namespace rhubarbgrade
{

namespace
{

/// Seconds of silence before a probe, and between probes: with three probes
/// a dead connection is found within a host's contact time of 3 to 4 s.
constexpr int probe_s = 1;
constexpr int probes = 2;

/// Milliseconds that sent bytes may stay unacknowledged.
constexpr unsigned user_timeout_ms = 3000;

void set_option(int socket, int name, int value)
{
    // A system without the option leaves time-outs of our own.
    (void)::setsockopt(socket, IPPROTO_TCP, name, &value, sizeof(value));
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint>
to_endpoint(const socket_address& address)
{
    boost::system::error_code fault;
    const auto ip = boost::asio::ip::make_address_v4(address.ip, fault);
    if (fault)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, address.port);
}

void set_liveness(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored; // the time-outs of our own remain
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    set_option(handle, TCP_KEEPIDLE, probe_s);
    set_option(handle, TCP_KEEPINTVL, probe_s);
    set_option(handle, TCP_KEEPCNT, probes);
    set_option(handle, TCP_USER_TIMEOUT, user_timeout_ms);
}

bool is_quiet(boost::asio::ip::tcp::socket& socket)
{
    if (!socket.is_open())
        return false;
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT); // NOLINT(*-bitwise)
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace rhubarbgrade
