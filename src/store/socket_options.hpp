#pragma once

#include <optional> // optional

#include <boost/asio/ip/tcp.hpp> // tcp

#include <rhubarbgrade/detail/base/types.hpp>          // milliseconds
#include <rhubarbgrade/detail/fleet/node_settings.hpp> // socket_address

namespace rhubarbgrade
{

/// @brief Converts an address to a Boost.Asio endpoint.
/// @return empty if the IP address is not a valid IPv4 address
std::optional<boost::asio::ip::tcp::endpoint>
to_endpoint(const socket_address& address);

/// @brief Disables Nagle's algorithm, and enables the detection of dead
///        connections by TCP keep-alive and a time-out for unacknowledged data.
///        Options that the system lacks are left out.
void set_tcp_options(boost::asio::ip::tcp::socket& socket);

/// @brief Whether an idle connection can carry another request: it is open, the
///        peer has not closed it, and no unread data has been received.
bool is_alive(boost::asio::ip::tcp::socket& socket);

/// @brief Whether the peer has closed or reset a connection, and all that it
///        sent has been read.
bool has_ended(boost::asio::ip::tcp::socket& socket);

/// Longest tick of the kernel's clock of arrivals. What arrives just before a
/// tick looks as old as one.
constexpr milliseconds longest_arrival_tick{10};

/// @brief Ages of what has arrived at a connection, as the kernel saw it; zero
///        if they are not longer than @ref longest_arrival_tick.
struct arrival_ages
{
    milliseconds last_data{0};    ///< of the last bytes
    milliseconds last_segment{0}; ///< of the last segment, such as an end
};

/// @brief Reads the ages; zero if the system doesn't tell them.
arrival_ages ages_of_arrivals(boost::asio::ip::tcp::socket& socket);

/// @brief Whether bytes have been received that are not read yet.
bool has_unread(boost::asio::ip::tcp::socket& socket);

/// @brief Whether the peer has ended its side in an orderly way, received all
///        that was sent to it, and not reset the connection since.
bool ended_after_all(boost::asio::ip::tcp::socket& socket);

} // namespace rhubarbgrade
