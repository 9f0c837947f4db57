#pragma once

#include <optional> // optional

#include <boost/asio/ip/tcp.hpp> // tcp

#include <rhubarbgrade/detail/base/types.hpp>          // milliseconds
#include <rhubarbgrade/detail/fleet/node_settings.hpp> // socket_address

namespace rhubarbgrade
{

/// @brief The address for the socket library; nothing if it can't be read.
std::optional<boost::asio::ip::tcp::endpoint>
to_endpoint(const socket_address& address);

/// @brief Sends without delay and finds silent connections by keep-alive
///        probes and a bound on unacknowledged bytes.
void set_liveness(boost::asio::ip::tcp::socket& socket);

/// @brief Whether an idle connection can take a request: open and silent.
bool is_quiet(boost::asio::ip::tcp::socket& socket);

} // namespace rhubarbgrade
