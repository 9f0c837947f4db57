#include <rhubarbgrade/detail/caller/problem.hpp>

#include <string> // string

#include <httplib.h>         // Response
#include <nlohmann/json.hpp> // json

namespace rhubarbgrade
{
namespace
{

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int payment_required = 402;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int too_large = 413;
constexpr int unprocessable = 422;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;

constexpr const char* retry_after_s = "1";

const char* to_string(run_state ran)
{
    switch (ran)
    {
    case run_state::no:
        return "no";
    case run_state::yes:
        return "yes";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace

int status_of(const error& cause)
{
    switch (static_cast<errc>(cause.code.value()))
    {
    case errc::bad_request:
        return bad_request;
    case errc::unauthorized:
        return unauthorized;
    case errc::budget_exhausted:
        return payment_required;
    case errc::not_found:
        return not_found;
    case errc::key_in_use:
        return conflict;
    case errc::key_expired:
        return gone;
    case errc::too_large:
        return too_large;
    case errc::quarantined:
        return unprocessable;
    case errc::endpoint_failed:
    case errc::outcome_unknown:
    case errc::stream_broken:
        return bad_gateway;
    default:
        return unavailable;
    }
}

void write_problem(httplib::Response& response, const error& cause,
                   run_state ran, const std::string& request)
{
    response.status = status_of(cause);
    const nlohmann::json body{
        {"type", "about:blank"},
        {"title", cause.code.message()},
        {"status", response.status},
        {"detail", cause.message()},
        {"code", std::string(cause.code.category().name()) + "." +
                     std::to_string(cause.code.value())},
        {"ran", to_string(ran)},
        {"request", request}};
    if (response.status == unavailable)
        response.set_header("Retry-After", retry_after_s);
    if (!request.empty() && !response.has_header("X-Request-Id"))
        response.set_header("X-Request-Id", request);
    const auto handler = nlohmann::json::error_handler_t::replace;
    response.set_content(body.dump(-1, ' ', false, handler),
                         "application/problem+json");
}

} // namespace rhubarbgrade
