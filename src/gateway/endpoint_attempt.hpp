#pragma once

#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // enable_shared_from_this, shared_ptr
#include <string>     // string

#include <boost/asio/awaitable.hpp>         // awaitable
#include <boost/beast/http/buffer_body.hpp> // buffer_body
#include <boost/beast/http/fields.hpp>      // fields
#include <boost/beast/http/parser.hpp>      // response_parser

#include <platform/caller_codec.hpp>             // answer_head, forward_head
#include <rhubarbgrade/detail/routing/retry.hpp> // attempt_end

#include "caller_session.hpp"     // caller_request_t
#include "endpoint_directory.hpp" // endpoint_directory, endpoint_ptr_t

namespace rhubarbgrade
{

class answer_writer;

/// @brief How one attempt at an endpoint ended.
struct attempt_report
{
    bool whole = false; ///< a whole answer came and may go to the caller
    attempt_end end = attempt_end::not_sent; ///< if it isn't whole
    unsigned status = 0;                     ///< of the endpoint's answer
    boost::beast::http::fields fields;       ///< its headers
    std::string body;         ///< unless it was written piece by piece
    bool written = false;     ///< piece by piece, to the end
    bool caller_lost = false; ///< writing to the caller failed
    bool broken = false;      ///< the connection broke before a whole answer
    double latency_s = -1;    ///< to the first byte
};

/// @brief What an attempt sends.
struct attempt_plan
{
    const caller_request_t& request;
    platform::forward_head head;
    std::string_view request_id;
    bool events = false;     ///< the answer is a stream of events
    bool repeatable = false; ///< it may be sent again if it is lost
    bool keep_alive = true;  ///< of the caller's connection
};

/// @brief Sends a request to one endpoint and passes on its answer.
class endpoint_attempt : public std::enable_shared_from_this<endpoint_attempt>
{
public:
    endpoint_attempt(endpoint_directory& directory, endpoint_ptr_t endpoint,
                     answer_writer& writer);

    boost::asio::awaitable<attempt_report> run(attempt_plan plan);

    /// @brief Ends the attempt at once; the endpoint sees its connection end.
    void cancel();

private:
    using parser_t =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> send(const attempt_plan& plan,
                                      attempt_report& report);
    boost::asio::awaitable<bool> read_head(const attempt_plan& plan,
                                           std::unique_ptr<parser_t>& parser,
                                           platform::answer_head& head);
    boost::asio::awaitable<void> read_body(const attempt_plan& plan,
                                           parser_t& parser,
                                           attempt_report& report);
    boost::asio::awaitable<bool> pass_on(const attempt_plan& plan,
                                         std::string_view bytes,
                                         attempt_report& report);
    boost::asio::awaitable<bool> drop_body(parser_t& parser);
    static void judge(const platform::answer_head& head, bool passable,
                      attempt_report& report);

    endpoint_directory& m_directory;
    endpoint_ptr_t m_endpoint;
    answer_writer& m_writer;
    endpoint_link_ptr_t m_link;
    bool m_cancelled = false;
};

} // namespace rhubarbgrade
