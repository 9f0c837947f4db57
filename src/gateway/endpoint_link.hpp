#pragma once

#include <memory>   // shared_ptr
#include <optional> // optional

#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief A connection to an endpoint that carries one request at a time.
struct endpoint_link
{
    explicit endpoint_link(const boost::asio::any_io_executor& executor)
        : socket(executor)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    time_point_t idle_since{};
    std::optional<milliseconds> idle_limit; ///< as the endpoint said
    bool used = false; ///< whether it has carried a request before
};

/// Shared with the handlers of time-outs, which look whether it still lives.
using endpoint_link_ptr_t = std::shared_ptr<endpoint_link>;

} // namespace rhubarbgrade
