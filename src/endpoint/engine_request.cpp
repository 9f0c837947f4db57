#include "engine_request.hpp"

#include <chrono>   // steady_clock
#include <optional> // nullopt, optional
#include <string>   // string

#include <httplib.h>         // Client, Error, Request
#include <nlohmann/json.hpp> // json

namespace rhubarbgrade
{
namespace
{

constexpr milliseconds connect_timeout{1000};
constexpr milliseconds liveness_timeout{500};
constexpr int http_ok = 200;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;

} // namespace

httplib::Client make_client(const engine_call& call, milliseconds read_timeout)
{
    httplib::Client client("http://" + call.address);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connect_timeout);
    client.set_write_timeout(call.progress_timeout);
    client.set_read_timeout(read_timeout);
    return client;
}

httplib::Request make_request(const engine_call& call)
{
    httplib::Request request;
    request.method = "POST";
    request.path = call.path;
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Request-Id", call.request},
                       {"X-Customer", call.customer},
                       {"X-Route", call.path}};
    request.body = call.body;
    return request;
}

attempt_outcome classify_error(httplib::Error transport_error)
{
    const bool not_connected = transport_error == httplib::Error::Connection ||
                               transport_error == httplib::Error::BindIPAddress;
    return not_connected ? attempt_outcome::not_sent
                         : attempt_outcome::may_have_run;
}

attempt_outcome classify_status(int status)
{
    const bool refused =
        status == http_too_many_requests || status == http_unavailable;
    return refused ? attempt_outcome::refused : attempt_outcome::failed;
}

bool is_close_delimited(const httplib::Request& request,
                        const httplib::Response& response)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return request.method != "HEAD" && response.status != no_content &&
           response.status != not_modified &&
           !response.has_header("Content-Length") &&
           !response.has_header("Transfer-Encoding");
}

liveness probe_liveness(const engine_call& call)
{
    const auto started = std::chrono::steady_clock::now();
    auto client = make_client(call, liveness_timeout);
    if (client.Get("/load"))
        return liveness::alive;
    // httplib reports a closed connection and a read timeout as the same
    // error, so the elapsed time tells them apart.
    const auto elapsed = std::chrono::steady_clock::now() - started;
    return elapsed < liveness_timeout ? liveness::dead : liveness::silent;
}

std::optional<token_count_t> parse_usage(int status, const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (status != http_ok || !document.is_object() ||
        document.value("state", "") != "ended")
        return std::nullopt;
    return document["usage"].value("total_tokens", token_count_t{0});
}

} // namespace rhubarbgrade
