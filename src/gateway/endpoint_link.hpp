#pragma once

#include <memory>   // shared_ptr
#include <optional> // optional

#include <boost/asio/ip/tcp.hpp> // tcp

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

#include "../store/input_buffer.hpp" // input_buffer

namespace rhubarbgrade
{

/// @brief An HTTP/1.1 connection to an endpoint; carries one request at a time.
struct endpoint_link
{
    explicit endpoint_link(const boost::asio::any_io_executor& executor)
        : socket(executor)
    {
    }

    boost::asio::ip::tcp::socket socket;
    input_buffer buffer;
    time_point_t idle_since{};
    std::optional<milliseconds> idle_limit; ///< announced by the endpoint
    bool used = false;                      ///< has carried a request before
    bool relayed = false;                   ///< passed on by another host
};

/// Shared, since time-out handlers hold weak references to the connection.
using endpoint_link_ptr_t = std::shared_ptr<endpoint_link>;

} // namespace rhubarbgrade
