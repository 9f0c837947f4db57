#include "own_answer.hpp"

#include <spdlog/fmt/fmt.h> // format

namespace rhubarbgrade
{

caller_answer_t make_own_answer(const own_answer& answer)
{
    constexpr unsigned http_1_1 = 11;
    constexpr double ms_a_second = 1000;
    caller_answer_t made;
    made.version(http_1_1);
    made.result(answer.status);
    made.set(boost::beast::http::field::content_type,
             "application/problem+json");
    if (answer.retry_after)
        made.set(boost::beast::http::field::retry_after,
                 fmt::format("{:.2f}",
                             static_cast<double>(answer.retry_after->count()) /
                                 ms_a_second));
    made.body() = fmt::format(R"({{"status":{},"title":"{}"}})", answer.status,
                              answer.reason);
    made.prepare_payload();
    return made;
}

} // namespace rhubarbgrade
