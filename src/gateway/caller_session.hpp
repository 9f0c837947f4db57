#pragma once

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // enable_shared_from_this
#include <string>     // string

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer
#include <boost/beast/core/error.hpp>  // error_code

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

#include "../store/input_buffer.hpp" // input_buffer
#include "caller_budget.hpp"         // caller_share
#include "caller_request.hpp"        // caller_parser_t, caller_request_t

namespace rhubarbgrade
{

struct traffic_context;

/// @brief One connection of a caller.
///
/// Reads and processes requests one after the other, and detects that the
/// caller has disconnected while a request is being processed. All that the
/// connection holds is taken from the budget of callers before it is allocated.
/// Runs on the traffic thread.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(boost::asio::ip::tcp::socket socket,
                   traffic_context& context);

    ~caller_session();

    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// @brief Takes the connection's part of the budget of callers; waits if
    ///        others have to be closed for it.
    /// From then on the connection counts as open until it is closed.
    /// @return false if there is none, and the connection has been closed
    boost::asio::awaitable<bool> admit();

    /// @brief Serves the admitted connection until either side closes it.
    boost::asio::awaitable<void> run();

    /// @brief Serves the connection if it can be admitted.
    boost::asio::awaitable<void> admit_and_run();

    boost::asio::ip::tcp::socket& socket()
    {
        return m_socket;
    }

    /// @brief Closes the connection at once, so that the caller recognises an
    ///        incomplete response.
    void abort();

    /// @brief Closes the connection if it has been waiting for a request for a
    ///        while and nothing has arrived.
    void close_if_idle(time_point_t now);

    /// @brief Sets the function that is called once the caller disconnects; it
    ///        is called at once if that has happened already.
    /// @param[in] handler  may be empty
    void on_disconnect(std::function<void()> handler);

    /// @brief Whether the next answer has to announce that the connection ends:
    ///        the host stops, and no other request has begun to arrive or there
    ///        is no time left for it.
    bool ends_after_answer();

    /// @brief Must be called before a part of an answer is written.
    /// @param[in] bytes  that are kept until it is written
    /// @param[in] whole  the part is a whole answer, which is written even if
    ///                   there is no memory left
    /// @return false if there is no memory for them; the answer ends there
    boost::asio::awaitable<bool> begin_write(std::size_t bytes, bool whole);

    /// @brief Must be called after a part of an answer has been written.
    void end_write();

private:
    struct read_outcome
    {
        bool complete = false;
        unsigned refusal = 0; ///< status; 0 if the connection has failed
        std::string id;       ///< of the refused request, if it is known
    };

    boost::asio::awaitable<bool> wait_for_input();
    /// Reads and serves one request.
    /// @return whether another one may follow
    boost::asio::awaitable<bool> read_and_serve();
    boost::asio::awaitable<read_outcome>
    read_request(caller_request_t& request);
    /// Parses what is in the buffer, as far as it goes; of a parser that is
    /// not eager the head only.
    boost::beast::error_code parse(caller_parser_t& parser);
    /// Reads until the head of a request is complete.
    boost::asio::awaitable<boost::beast::error_code>
    read_head(caller_parser_t& parser);
    /// Reads until the request is complete.
    boost::asio::awaitable<boost::beast::error_code>
    read_body(caller_parser_t& parser, std::uint64_t body_limit);
    /// Reads some bytes into the buffer.
    boost::asio::awaitable<boost::beast::error_code> read_some();
    /// Answers a request that has not run and closes the connection.
    /// @param[in] id  of the request, if it is known
    boost::asio::awaitable<void> refuse(unsigned status, std::string id);
    /// Returns what a request has taken.
    void release_request();
    /// @return bytes of input that have not been served
    boost::asio::awaitable<std::size_t> close_gracefully();
    /// Counts and logs input after the last answer of a connection.
    void record_discarded(std::size_t bytes);
    void start_input_read();
    void start_read_timer(milliseconds limit);
    /// Takes from the budget what the connection and its request hold besides
    /// @a extra_bytes; waits if others have to give up something for it.
    /// @return false if there is no room
    boost::asio::awaitable<bool> hold(std::size_t extra_bytes,
                                      std::size_t descriptors);
    caller_amount amount(std::size_t extra_bytes,
                         std::size_t descriptors) const;
    void enter(caller_stage stage);
    void give_up();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    traffic_context& m_context;
    input_buffer m_buffer;
    caller_share m_share;
    std::size_t m_request_bytes = 0; ///< of the request being read or served
    boost::asio::steady_timer m_room_timer;  ///< waits for others to give up
    boost::asio::steady_timer m_read_timer;  ///< limits the time of reads
    boost::asio::steady_timer m_input_timer; ///< cancelled when input arrives
    std::function<void()> m_disconnect_handler;
    bool m_read_pending = false;
    bool m_idle = false;
    bool m_disconnected = false;
    bool m_read_timed_out = false;
};

} // namespace rhubarbgrade
