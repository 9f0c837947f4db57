#pragma once

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // enable_shared_from_this, shared_ptr
#include <optional>   // optional
#include <string>     // string

#include <boost/asio/awaitable.hpp>         // awaitable
#include <boost/asio/steady_timer.hpp>      // steady_timer
#include <boost/beast/http/buffer_body.hpp> // buffer_body
#include <boost/beast/http/fields.hpp>      // fields
#include <boost/beast/http/parser.hpp>      // response_parser

#include <platform/caller_codec.hpp> // response_head, forward_head
#include <rhubarbgrade/detail/routing/answer_end.hpp> // answer_end
#include <rhubarbgrade/detail/routing/retry.hpp>      // attempt_outcome

#include "caller_session.hpp"     // caller_request_t
#include "endpoint_directory.hpp" // endpoint_directory, endpoint_ptr_t
#include "process_inquiry.hpp"    // process_inquiry

namespace rhubarbgrade
{

class response_writer;

/// @brief Result of one attempt to send a request to an endpoint.
struct attempt_report
{
    bool complete = false; ///< a complete response may go to the caller
    attempt_outcome outcome =
        attempt_outcome::not_sent;     ///< if it is not complete
    unsigned status = 0;               ///< HTTP status of the response
    boost::beast::http::fields fields; ///< headers of the response
    std::string body;      ///< of the response, unless it was streamed
    bool streamed = false; ///< the whole body has been written to the caller
    bool forward_failed = false;    ///< no more can be written to the caller
    bool connection_broken = false; ///< before the response was complete
    /// This host is, or may be, cut from the endpoint: no evidence of its
    /// health.
    bool path_failed = false;
    /// Not sent, since the endpoint had begun to leave or was evacuated.
    bool withheld = false;
    double latency_s = -1; ///< to the response header; below 0 if none came
    /// From the response header to the end of the attempt; 0 if none came.
    time_point_t::duration answer_time{};
};

/// @brief Input of an attempt; the references must outlive it.
struct attempt_params
{
    const caller_request_t& request;
    platform::forward_head head;
    std::string_view request_id;
    bool is_event_stream = false; ///< a successful response is one
    bool repeatable = false; ///< may be sent again if the connection breaks
    /// Events of the whole stream that the request allows, if known.
    std::optional<std::uint64_t> max_events;
    /// Asked before the first byte of an answer goes to the caller, unless the
    /// answer is returned whole, with its status. False if another attempt has
    /// answered, or may answer better.
    std::function<bool(unsigned)> claim_answer;
};

/// @brief Sends a request to one endpoint and forwards its response.
class endpoint_attempt : public std::enable_shared_from_this<endpoint_attempt>
{
public:
    endpoint_attempt(endpoint_directory& directory, endpoint_ptr_t endpoint,
                     response_writer& writer);

    /// @brief Runs the attempt to its end; to be called once.
    boost::asio::awaitable<attempt_report> run(attempt_params params);

    /// @brief Aborts the attempt by closing its connection to the endpoint.
    void cancel();

private:
    boost::asio::awaitable<attempt_report>
    exchange(const attempt_params& params);
    /// Closes the connection when this host has lost its path to the endpoint.
    void watch_path();

    using parser_t =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> send(const attempt_params& params,
                                      attempt_report& report);
    /// Reads the next head that is not an interim one.
    boost::asio::awaitable<bool>
    read_one_head(const attempt_params& params,
                  std::unique_ptr<parser_t>& parser);
    boost::asio::awaitable<bool> read_head(const attempt_params& params,
                                           std::unique_ptr<parser_t>& parser,
                                           platform::response_head& head);
    boost::asio::awaitable<void> read_body(const attempt_params& params,
                                           parser_t& parser,
                                           attempt_report& report);
    boost::asio::awaitable<bool> forward_body(const attempt_params& params,
                                              std::string_view bytes,
                                              attempt_report& report);
    boost::asio::awaitable<bool> discard_body(parser_t& parser);
    /// Completes @a end by what this host can find out, and decides whether
    /// the body is whole.
    boost::asio::awaitable<bool> ended_whole(const attempt_params& params,
                                             answer_end end);
    /// Records that the endpoint has ended the connection.
    void record_end(bool follows_bytes);
    /// Whether the connection has ended as soon as the last bytes had come.
    bool ended_after_bytes() const;
    static void classify(const platform::response_head& head, bool forwardable,
                         attempt_report& report);

    endpoint_directory& m_directory;
    endpoint_ptr_t m_endpoint;
    response_writer& m_writer;
    endpoint_link_ptr_t m_link;
    /// Kept while an answer comes whose end must be told from a crash.
    std::shared_ptr<process_monitor> m_monitor;
    std::optional<process_inquiry> m_inquiry;
    std::optional<connection_end> m_end; ///< of the connection, by the endpoint
    time_point_t m_sent_at{};
    time_point_t m_last_read_at{}; ///< of bytes of the answer
    std::uint64_t m_reads = 0;     ///< in which these came
    std::optional<boost::asio::steady_timer> m_path_timer;
    bool m_relayed = false;
    bool m_cancelled = false;
};

} // namespace rhubarbgrade
