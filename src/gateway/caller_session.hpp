#pragma once

#include <functional> // function
#include <memory>     // enable_shared_from_this

#include <boost/asio/awaitable.hpp>         // awaitable
#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/asio/steady_timer.hpp>      // steady_timer
#include <boost/beast/http/message.hpp>     // request
#include <boost/beast/http/string_body.hpp> // string_body

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

#include "../store/input_buffer.hpp" // input_buffer

namespace rhubarbgrade
{

struct traffic_context;

using caller_request_t =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @brief One connection of a caller.
///
/// Reads and processes requests one after the other, and detects that the
/// caller has disconnected while a request is being processed. Runs on the
/// traffic thread.
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

    /// @brief Closes the connection at once, so that the caller recognises an
    ///        incomplete response.
    void abort();

    /// @brief Closes the connection if it is waiting for a request.
    void close_if_idle();

    /// @brief Sets the function that is called once the caller disconnects; it
    ///        is called at once if that has happened already.
    /// @param[in] handler  may be empty
    void on_disconnect(std::function<void()> handler);

private:
    boost::asio::awaitable<bool> wait_for_input();
    boost::asio::awaitable<bool> read_request(caller_request_t& request);
    boost::asio::awaitable<void> refuse(unsigned status);
    boost::asio::awaitable<void> close_gracefully();
    void start_input_read();
    void start_read_timer(milliseconds limit);

    boost::asio::ip::tcp::socket m_socket;
    traffic_context& m_context;
    input_buffer m_buffer;
    boost::asio::steady_timer m_read_timer;  ///< limits the time of reads
    boost::asio::steady_timer m_input_timer; ///< cancelled when input arrives
    std::function<void()> m_disconnect_handler;
    bool m_read_pending = false;
    bool m_idle = false;
    bool m_disconnected = false;
    bool m_read_timed_out = false;
};

} // namespace rhubarbgrade
