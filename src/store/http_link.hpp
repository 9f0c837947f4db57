#pragma once

#include <cstdint> // uint64_t
#include <memory>  // enable_shared_from_this, shared_ptr
#include <string>  // string

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/asio/ip/tcp.hpp>          // tcp
#include <boost/asio/steady_timer.hpp>    // steady_timer
#include <boost/beast/http/verb.hpp>      // verb

#include <rhubarbgrade/detail/base/types.hpp>          // milliseconds
#include <rhubarbgrade/detail/fleet/node_settings.hpp> // socket_address

#include "input_buffer.hpp" // input_buffer

namespace rhubarbgrade
{

/// @brief Outcome of a call, as far as this side can know.
enum class call_outcome
{
    answered, ///< a complete response was received
    not_sent, ///< no byte can have reached the server
    unknown,  ///< may have been executed, or may still be
};

/// @brief The outcome of a call and, if it was answered, the response.
struct call_result
{
    call_outcome end = call_outcome::not_sent;
    unsigned status = 0; ///< HTTP status, if the call was answered
    std::string body;
    std::uint64_t era = 0;  ///< of the peer if it is the store, see decode_era
    bool too_large = false; ///< the response exceeds what this side reads

    /// Whether the call was answered with the status @a expected.
    bool is(unsigned expected) const
    {
        return end == call_outcome::answered && status == expected;
    }
};

/// @brief A persistent HTTP/1.1 connection to the store or to a peer;
///        it carries one call at a time.
class http_link : public std::enable_shared_from_this<http_link>
{
public:
    http_link(const boost::asio::any_io_executor& executor,
              socket_address peer);

    /// @brief Sends a request and waits for its response; connects first if
    ///        necessary.
    ///
    /// After a time-out the connection is closed, because further calls on it
    /// would get no response either.
    /// @param[in] timeout  for the whole call, including connecting
    boost::asio::awaitable<call_result> call(boost::beast::http::verb verb,
                                             std::string target,
                                             std::string body,
                                             milliseconds timeout);

    bool open() const
    {
        return m_socket.is_open();
    }

    /// @brief Whether the connection is open and has no unread data.
    bool reusable();

    void close();

private:
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<call_result> exchange(boost::beast::http::verb verb,
                                                 std::string target,
                                                 std::string body);
    void start_timer(milliseconds timeout);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    input_buffer m_buffer;
    socket_address m_peer;
    std::uint64_t m_call_id = 0; ///< lets an outdated time-out be ignored
};

} // namespace rhubarbgrade
