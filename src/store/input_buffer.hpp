#pragma once

#include <cstddef> // size_t

#include <boost/beast/core/flat_buffer.hpp> // flat_buffer

namespace rhubarbgrade
{

/// @brief Received bytes that the HTTP parser has not consumed yet; bounded.
///
/// The parser consumes a header, the line that begins a chunk, and a trailer
/// section only once they are complete. Its own limits apply to the header and
/// the body, so this one bounds the rest: a read into a full buffer fails with
/// http::error::buffer_overflow.
class input_buffer : public boost::beast::flat_buffer
{
public:
    /// In bytes. Exceeds each limit for a header of a response.
    static constexpr std::size_t default_max_size = 65536;

    explicit input_buffer(std::size_t max_size = default_max_size)
        : basic_flat_buffer(max_size)
    {
    }
};

} // namespace rhubarbgrade
