#pragma once

#include <memory> // enable_shared_from_this, shared_ptr

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer
#include <boost/beast/http/status.hpp> // status

#include "../store/input_buffer.hpp" // input_buffer
#include "endpoint_link.hpp"         // endpoint_link_ptr_t

namespace rhubarbgrade
{

struct traffic_context;

/// @brief A connection of a host that reaches no endpoint itself.
///
/// The peer names a listed endpoint; its bytes and the endpoint's are passed on
/// until one of them closes. All decisions on the requests stay with the peer.
/// A connection is passed on by one host only, never by a second one. Used by
/// the traffic thread.
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    relay_session(boost::asio::ip::tcp::socket peer, traffic_context& context);

    /// @brief Runs until both connections are closed.
    boost::asio::awaitable<void> run();

    /// @brief Whether an answer is awaited or has come a moment ago.
    bool busy(time_point_t now) const;

    void close();

private:
    /// Reads which endpoint the peer asks for, and connects to it.
    boost::asio::awaitable<boost::beast::http::status> open();
    boost::asio::awaitable<bool> answer(boost::beast::http::status status);
    boost::asio::awaitable<void> pass_to_endpoint();
    boost::asio::awaitable<void> pass_to_peer();
    /// Resets the peer's connection, so that what it has received does not look
    /// whole.
    void reset();

    boost::asio::ip::tcp::socket m_peer;
    traffic_context& m_context;
    boost::asio::steady_timer m_timer;
    input_buffer m_buffer;      ///< of the peer's request
    endpoint_link_ptr_t m_link; ///< to the endpoint
    time_point_t m_last_byte{};
    bool m_awaits_answer = false;
};

} // namespace rhubarbgrade
