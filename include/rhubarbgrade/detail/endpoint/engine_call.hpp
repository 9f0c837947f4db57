#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, token_count_t

namespace rhubarbgrade
{

/// @brief A request to an endpoint, with its time limits.
struct engine_call
{
    std::string address;  ///< "ip:port"
    std::string endpoint; ///< name of the endpoint
    std::string path;
    std::string body;
    std::string request; ///< id; an engine resumes a run that has the same id
    std::string customer;
    token_count_t max_tokens = 0;
    milliseconds timeout{0};          ///< for the response as a whole
    milliseconds progress_timeout{0}; ///< for the next byte
};

} // namespace rhubarbgrade
