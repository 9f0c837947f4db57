#pragma once

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/beast/http/fields.hpp> // fields

#include <rhubarbgrade/detail/endpoint/sse_splitter.hpp> // sse_splitter

#include "own_answer.hpp" // caller_response_t

namespace rhubarbgrade
{

class caller_session;

/// @brief Writes one response to a caller's connection.
///
/// A response is written either complete, with a Content-Length, or as its body
/// arrives: chunked, or to an HTTP/1.0 caller up to the end of the connection,
/// which is reset if the response breaks off. Of a server-sent event stream
/// only complete events are written, so that another endpoint can resume the
/// stream after any chunk. The functions that write return false if the
/// connection has failed, or if there is no memory for the part.
class response_writer
{
public:
    /// @param[in] chunked     the caller understands chunks
    /// @param[in] keep_alive  the caller wants to keep the connection open
    response_writer(caller_session& session, bool chunked, bool keep_alive);

    /// @brief Writes a complete response, header and body.
    boost::asio::awaitable<bool> write_complete(caller_response_t message);

    /// @brief Writes the header of a response whose body follows in parts.
    /// @param[in] is_event_stream  its body is a successful event stream
    boost::asio::awaitable<bool> begin(unsigned status,
                                       const boost::beast::http::fields& fields,
                                       bool is_event_stream);

    /// @brief Writes a part of the body.
    /// @param[in] is_event_stream  if set, incomplete events are buffered and
    ///                             events that the caller already has are
    ///                             dropped
    /// @return false also if an event is too long to be buffered, or if an
    ///         endpoint that resumes a stream begins with something else than
    ///         a numbered event
    boost::asio::awaitable<bool> write_body(std::string_view bytes,
                                            bool is_event_stream);

    /// @brief Ends the body.
    boost::asio::awaitable<bool> end();

    /// @brief Discards an incomplete event after its endpoint has failed; what
    ///        follows comes from another endpoint.
    void prepare_resume();

    /// Whether an incomplete event is buffered.
    bool has_partial_event() const
    {
        return !m_splitter.rest().empty();
    }

    /// Whether a part of the response may have been written already.
    bool begun() const
    {
        return m_begun;
    }

    /// Whether the end of the connection ends the body.
    bool close_delimited() const
    {
        return m_close_delimited;
    }

    /// Whether the response says that the connection ends after it, and so must
    /// be closed. Until it has begun, that is open.
    bool ends_connection() const
    {
        return m_ends_connection;
    }

    /// Whether a part of a successful event stream may have been written.
    bool begun_with_events() const
    {
        return m_events_begun;
    }

    /// Whether @ref write_body has failed because of the endpoint, not of the
    /// caller's connection.
    bool endpoint_failed() const
    {
        return m_endpoint_failed;
    }

    /// Whether a part of a success may have been written that isn't an event
    /// stream, so that nothing tells how many tokens it has.
    bool uncounted_output() const
    {
        return m_uncounted_output;
    }

    /// Events accepted for the caller so far.
    std::uint64_t event_count() const
    {
        return m_event_count;
    }

    /// Id of the last event accepted for the caller; empty if none had one.
    std::optional<std::uint64_t> last_event_id() const
    {
        return m_last_event_id;
    }

private:
    /// Decides whether the connection ends after this response.
    /// @return whether it stays open
    bool decide_keep_alive(bool delimited);
    void set_reset_on_close(bool reset);
    boost::asio::awaitable<bool> write_part(std::string_view bytes);
    bool append_event(std::string_view event, std::string& complete_events);

    caller_session& m_session;
    boost::asio::ip::tcp::socket& m_socket;
    sse_splitter m_splitter;
    bool m_chunked;
    bool m_keep_alive;
    bool m_ends_connection = false;
    bool m_begun = false;
    bool m_close_delimited = false;
    bool m_events_begun = false;
    bool m_uncounted_output = false;
    bool m_endpoint_failed = false;
    bool m_resuming = false; ///< no event of the resumed stream has come yet
    std::uint64_t m_event_count = 0;
    std::optional<std::uint64_t> m_last_event_id;
};

} // namespace rhubarbgrade
