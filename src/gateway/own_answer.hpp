#pragma once

#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include <boost/beast/http/message.hpp>     // response
#include <boost/beast/http/string_body.hpp> // string_body

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

using caller_response_t =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief A response that this host generates itself, such as a refusal.
struct local_response
{
    unsigned status = 0;
    std::string_view reason; ///< problem title; not JSON-escaped
    std::optional<milliseconds> retry_after; ///< omitted if empty
};

/// @brief Builds the HTTP message, with an application/problem+json body.
caller_response_t make_local_response(const local_response& local);

} // namespace rhubarbgrade
