#pragma once

#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include <boost/beast/http/message.hpp>     // response
#include <boost/beast/http/string_body.hpp> // string_body

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

using caller_answer_t =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief An answer that the system gives in its own name.
struct own_answer
{
    unsigned status = 0;
    std::string_view reason;
    std::optional<milliseconds> retry_after; ///< when there may be room
};

/// @brief Makes the message of an answer of the system's own.
caller_answer_t make_own_answer(const own_answer& answer);

} // namespace rhubarbgrade
