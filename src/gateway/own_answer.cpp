#include "own_answer.hpp"

#include <spdlog/fmt/fmt.h> // format

namespace rhubarbgrade
{

caller_response_t make_local_response(const local_response& local)
{
    constexpr unsigned http_1_1 = 11;
    constexpr double ms_per_second = 1000;
    caller_response_t message;
    message.version(http_1_1);
    message.result(local.status);
    message.set(boost::beast::http::field::content_type,
                "application/problem+json");
    if (local.retry_after)
        message.set(boost::beast::http::field::retry_after,
                    fmt::format("{:.2f}", static_cast<double>(
                                              local.retry_after->count()) /
                                              ms_per_second));
    message.body() = fmt::format(R"({{"status":{},"title":"{}"}})",
                                 local.status, local.reason);
    message.prepare_payload();
    return message;
}

} // namespace rhubarbgrade
