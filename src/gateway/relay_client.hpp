#pragma once

#include <cstdint> // uint64_t

#include <boost/asio/awaitable.hpp> // awaitable

#include <rhubarbgrade/detail/fleet/node_settings.hpp> // socket_address

#include "endpoint_link.hpp" // endpoint_link_ptr_t

namespace rhubarbgrade
{

/// @brief What became of a connection to an endpoint through another host.
enum class relay_outcome
{
    connected,
    refused,     ///< nothing listens at the endpoint's address
    unreachable, ///< the relay does not reach the endpoint either
    busy,        ///< the relay passes on no more connections, or is cut itself
    failed,      ///< the relay did not answer
};

/// @brief Connects @a link to an endpoint through another host. Afterwards it
///        carries the endpoint's bytes like a connection of its own.
/// @param[in] process  hash of the endpoint's process
boost::asio::awaitable<relay_outcome>
open_through_relay(endpoint_link_ptr_t link, socket_address relay,
                   std::uint64_t process);

} // namespace rhubarbgrade
