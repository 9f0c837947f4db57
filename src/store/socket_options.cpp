#include "socket_options.hpp"

#include <cerrno> // EAGAIN, EWOULDBLOCK, errno

#include <linux/sockios.h> // SIOCOUTQ
#include <netinet/in.h>    // IPPROTO_TCP
#include <netinet/tcp.h>   // TCP_CLOSE_WAIT, TCP_INFO, TCP_KEEPCNT, tcp_info
#include <sys/ioctl.h>     // ioctl
#include <sys/socket.h>    // MSG_DONTWAIT, MSG_PEEK, getsockopt, recv

#include <boost/asio/ip/address_v4.hpp> // make_address_v4

namespace rhubarbgrade
{

namespace
{

/// Idle seconds before the first TCP keep-alive probe and between probes, and
/// the number of unanswered probes after which a connection is closed. A dead
/// connection is found within the contact bound of a host, 3 to 4 s.
constexpr int probe_interval_s = 1;
constexpr int max_probes = 2;

/// Milliseconds for which sent data may stay unacknowledged.
constexpr unsigned user_timeout_ms = 3000;

void set_option(int socket, int name, int value)
{
    // If the system lacks the option, the time-outs of each call remain.
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

void set_tcp_options(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored; // time-outs of calls remain
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    set_option(handle, TCP_KEEPIDLE, probe_interval_s);
    set_option(handle, TCP_KEEPINTVL, probe_interval_s);
    set_option(handle, TCP_KEEPCNT, max_probes);
    set_option(handle, TCP_USER_TIMEOUT, user_timeout_ms);
}

bool is_alive(boost::asio::ip::tcp::socket& socket)
{
    if (!socket.is_open())
        return false;
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT); // NOLINT(*-bitwise)
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool has_ended(boost::asio::ip::tcp::socket& socket)
{
    if (!socket.is_open())
        return true;
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT); // NOLINT(*-bitwise)
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

arrival_ages ages_of_arrivals(boost::asio::ip::tcp::socket& socket)
{
    tcp_info state{};
    socklen_t size = sizeof(state);
    if (!socket.is_open() || ::getsockopt(socket.native_handle(), IPPROTO_TCP,
                                          TCP_INFO, &state, &size) != 0)
        return {};
    const auto beyond_tick = [](unsigned age)
    {
        const milliseconds exact(age);
        return exact > longest_arrival_tick ? exact : milliseconds(0);
    };
    return {beyond_tick(state.tcpi_last_data_recv),
            beyond_tick(state.tcpi_last_ack_recv)};
}

bool has_unread(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    return socket.is_open() &&
           ::recv(socket.native_handle(), &byte, 1,
                  MSG_PEEK | MSG_DONTWAIT) > 0; // NOLINT(*-bitwise)
}

bool ended_after_all(boost::asio::ip::tcp::socket& socket)
{
    if (!socket.is_open())
        return false;
    const int handle = socket.native_handle();
    tcp_info state{};
    socklen_t size = sizeof(state);
    int unacknowledged = 0;
    // A read can't tell: behind an orderly end it doesn't report a reset.
    return ::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &state, &size) == 0 &&
           state.tcpi_state == TCP_CLOSE_WAIT &&
           ::ioctl(handle, SIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged == 0;
}

} // namespace rhubarbgrade
