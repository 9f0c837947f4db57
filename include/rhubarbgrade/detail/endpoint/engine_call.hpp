#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, token_count_t

namespace rhubarbgrade
{

/// @brief One request as it is sent to an endpoint.
struct engine_call
{
    std::string address;  ///< "ip:port"
    std::string endpoint; ///< its name, for messages
    std::string path;
    std::string body;
    std::string request; ///< id; an engine that knows it goes on with its run
    std::string customer;
    token_count_t max_tokens = 0;
    milliseconds timeout{0};  ///< for the whole answer
    milliseconds progress{0}; ///< for the next byte
};

} // namespace rhubarbgrade
