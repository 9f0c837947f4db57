#pragma once

#include <cstdint> // uint64_t
#include <memory>  // enable_shared_from_this, shared_ptr
#include <string>  // string

#include <boost/asio/any_io_executor.hpp>   // any_io_executor
#include <boost/asio/awaitable.hpp>         // awaitable
#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/asio/steady_timer.hpp>      // steady_timer
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer
#include <boost/beast/http/verb.hpp>        // verb

#include <rhubarbgrade/detail/base/types.hpp>          // milliseconds
#include <rhubarbgrade/detail/fleet/node_settings.hpp> // socket_address

namespace rhubarbgrade
{

/// @brief How a call ended, as far as the caller can know.
enum class call_end
{
    answered, ///< a whole answer came
    not_sent, ///< nothing can have reached the other side
    unknown,  ///< it may have been carried out, or still may be
};

/// @brief The end of a call and, if there is one, the answer.
struct call_result
{
    call_end end = call_end::not_sent;
    unsigned status = 0;
    std::string body;

    /// Whether the answer has @a expected as its status.
    bool is(unsigned expected) const
    {
        return end == call_end::answered && status == expected;
    }
};

/// @brief One kept HTTP connection to the store or to a peer.
class http_link : public std::enable_shared_from_this<http_link>
{
public:
    http_link(const boost::asio::any_io_executor& executor,
              socket_address peer);

    /// @brief Sends one request and waits for its answer.
    ///
    /// A connection on which no answer came in time is closed: it would
    /// answer nothing further.
    boost::asio::awaitable<call_result> call(boost::beast::http::verb verb,
                                             std::string target,
                                             std::string body,
                                             milliseconds timeout);

    bool open() const
    {
        return m_socket.is_open();
    }

    /// @brief Whether the connection is open and nothing lies in it unread.
    bool quiet();

    void close();

private:
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<call_result> exchange(boost::beast::http::verb verb,
                                                 std::string target,
                                                 std::string body);
    void start_timer(milliseconds timeout);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    socket_address m_peer;
    std::uint64_t m_calls = 0; ///< tells a late time-out from the present one
};

} // namespace rhubarbgrade
