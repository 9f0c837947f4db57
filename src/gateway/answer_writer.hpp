#pragma once

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/beast/http/fields.hpp> // fields

#include <rhubarbgrade/detail/endpoint/sse_splitter.hpp> // sse_splitter

#include "own_answer.hpp" // caller_answer_t

namespace rhubarbgrade
{

/// @brief Writes an answer to a caller: at once if it is whole, else piece by
///        piece, and then only whole events of a stream of events.
class answer_writer
{
public:
    explicit answer_writer(boost::asio::ip::tcp::socket& socket);

    /// @brief Writes a whole answer.
    boost::asio::awaitable<bool> write_whole(caller_answer_t answer);

    /// @brief Begins an answer that is written in pieces.
    boost::asio::awaitable<bool> begin(unsigned status,
                                       const boost::beast::http::fields& fields,
                                       bool keep_alive);

    /// @brief Writes received bytes; of a stream the events that are whole,
    ///        and none that the caller has.
    boost::asio::awaitable<bool> add(std::string_view bytes, bool events);

    /// @brief Writes what is left and the end of the answer.
    boost::asio::awaitable<bool> end();

    /// @brief Forgets a part of an event whose endpoint broke off.
    void drop_rest();

    bool begun() const
    {
        return m_begun;
    }

    std::uint64_t events() const
    {
        return m_events;
    }

    /// Id of the last event written; nothing before the first.
    std::optional<std::uint64_t> last_event() const
    {
        return m_last_event;
    }

private:
    boost::asio::awaitable<bool> write_chunk(std::string_view bytes);
    bool take_event(std::string_view event, std::string& whole);

    boost::asio::ip::tcp::socket& m_socket;
    sse_splitter m_splitter;
    bool m_begun = false;
    std::uint64_t m_events = 0;
    std::optional<std::uint64_t> m_last_event;
};

} // namespace rhubarbgrade
