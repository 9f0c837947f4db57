#pragma once

#include <cstdint> // uint64_t

#include <boost/beast/core/error.hpp>       // error_code
#include <boost/beast/http/message.hpp>     // request
#include <boost/beast/http/parser.hpp>      // request_parser
#include <boost/beast/http/string_body.hpp> // string_body
#include <boost/optional/optional.hpp>      // optional

namespace rhubarbgrade
{

using caller_request_t =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @brief A body in a string that takes memory as its bytes arrive; a
///        string_body takes the announced length at once.
struct caller_body : boost::beast::http::string_body
{
    class reader : public boost::beast::http::string_body::reader
    {
    public:
        using boost::beast::http::string_body::reader::reader;

        void init(const boost::optional<std::uint64_t>& /*length*/,
                  boost::beast::error_code& fault)
        {
            fault = {};
        }
    };
};

using caller_parser_t = boost::beast::http::request_parser<caller_body>;

} // namespace rhubarbgrade
