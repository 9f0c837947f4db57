#pragma once

#include <functional> // function
#include <memory>     // enable_shared_from_this

#include <boost/asio/awaitable.hpp>         // awaitable
#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/asio/steady_timer.hpp>      // steady_timer
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer
#include <boost/beast/http/message.hpp>     // request
#include <boost/beast/http/string_body.hpp> // string_body

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

struct traffic_context;

using caller_request_t =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @brief One caller's connection: reads its requests, one after the other,
///        and notices when the caller leaves while one is being answered.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(boost::asio::ip::tcp::socket socket,
                   traffic_context& context);

    /// @brief Serves the connection until either side closes it.
    boost::asio::awaitable<void> run();

    boost::asio::ip::tcp::socket& socket()
    {
        return m_socket;
    }

    /// @brief Closes the connection at once, as for an answer that broke off.
    void abort();

    /// @brief Closes the connection if no request is on it.
    void close_if_idle();

    /// @brief Sets what is called when the caller leaves; empty for nothing.
    void on_leave(std::function<void()> left);

private:
    boost::asio::awaitable<bool> wait_for_input();
    boost::asio::awaitable<bool> read_request(caller_request_t& request);
    boost::asio::awaitable<void> refuse(unsigned status);
    boost::asio::awaitable<void> close_gently();
    void watch_input();
    void limit_reading(milliseconds limit);

    boost::asio::ip::tcp::socket m_socket;
    traffic_context& m_context;
    boost::beast::flat_buffer m_buffer;
    boost::asio::steady_timer m_timer;       ///< bounds reading
    boost::asio::steady_timer m_input_timer; ///< ends early at input
    std::function<void()> m_left;
    bool m_watching = false;
    bool m_idle = false;
    bool m_gone = false;
    bool m_too_late = false;
};

} // namespace rhubarbgrade
