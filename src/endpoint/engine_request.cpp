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

constexpr milliseconds connect_limit{1000};
constexpr milliseconds answer_limit{500};
constexpr int http_ok = 200;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;

} // namespace

httplib::Client make_client(const engine_call& call, milliseconds read_limit)
{
    httplib::Client client("http://" + call.address);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connect_limit);
    client.set_write_timeout(call.progress);
    client.set_read_timeout(read_limit);
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

attempt_end end_of(httplib::Error problem)
{
    const bool no_connection = problem == httplib::Error::Connection ||
                               problem == httplib::Error::BindIPAddress;
    return no_connection ? attempt_end::not_sent : attempt_end::may_have_run;
}

attempt_end end_of_status(int status)
{
    const bool refused =
        status == http_too_many_requests || status == http_unavailable;
    return refused ? attempt_end::refused : attempt_end::failed;
}

liveness liveness_of(const engine_call& call)
{
    const auto begin = std::chrono::steady_clock::now();
    auto client = make_client(call, answer_limit);
    if (client.Get("/load"))
        return liveness::alive;
    // The library's errors don't tell a closed connection from a silent one.
    const auto waited = std::chrono::steady_clock::now() - begin;
    return waited < answer_limit ? liveness::dead : liveness::silent;
}

std::optional<token_count_t> used_of(int status, const std::string& body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (status != http_ok || !answer.is_object() ||
        answer.value("state", "") != "ended")
        return std::nullopt;
    return answer["usage"].value("total_tokens", token_count_t{0});
}

} // namespace rhubarbgrade
