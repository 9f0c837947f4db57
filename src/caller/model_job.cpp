#include <rhubarbgrade/detail/caller/model_job.hpp>

#include <cstdint>     // int64_t
#include <string>      // string
#include <string_view> // string_view

#include <httplib.h>         // Request
#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/base/hash.hpp> // hash_hex, sha256_hex

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_key_length = 255;

tl::unexpected<error> invalid_request(const std::string& detail)
{
    return failure(errc::bad_request, "parse", "caller", detail);
}

const service* find_model(const routing_snapshot& routing,
                          const std::string& model)
{
    for (const auto& [name, object] : routing.objects->services)
        if (object.kind == service_kind::model && object.model == model)
            return &object;
    return nullptr;
}

result<token_count_t> read_max_tokens(const json& body, const service& model)
{
    for (const char* const key : {"max_tokens", "max_completion_tokens"})
    {
        const auto found = body.find(key);
        if (found == body.end() || found->is_null())
            continue;
        if (!found->is_number_integer() || *found < 1 ||
            *found > model.most_max_tokens)
            return invalid_request("\"" + std::string(key) +
                                   "\" must be from 1 to " +
                                   std::to_string(model.most_max_tokens));
        return found->get<token_count_t>();
    }
    return model.default_max_tokens;
}

result<void> validate_body(const json& body, std::string_view path)
{
    if (!body.is_object())
        return invalid_request("the body is not a JSON object");
    if (!body.contains("model") || !body["model"].is_string())
        return invalid_request("\"model\" must be a string");
    const bool chat = path.ends_with("/chat/completions");
    if (chat && (!body.contains("messages") || !body["messages"].is_array() ||
                 body["messages"].empty()))
        return invalid_request("\"messages\" must be a list that is not empty");
    if (!chat && !body.contains("prompt"))
        return invalid_request("\"prompt\" is required");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return invalid_request("\"stream\" must be true or false");
    const auto choices = body.find("n");
    if (choices != body.end() && *choices != 1)
        return invalid_request("\"n\" must be 1");
    return {};
}

std::string request_id(const std::string& customer, const std::string& key)
{
    return key.empty() ? "r-" + random_hex()
                       : "k-" + hash_hex(customer + "\n" + key);
}

} // namespace

result<std::string> authenticate(const routing_snapshot& routing,
                                 const httplib::Request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.get_header_value("Authorization");
    if (!header.starts_with(scheme))
        return failure(errc::unauthorized, "authenticate", "caller");
    const auto key = sha256_hex(header.substr(scheme.size()));
    if (routing.customer_of_key == nullptr)
        return failure(errc::unauthorized, "authenticate", "caller");
    const auto found = routing.customer_of_key->find(key);
    if (found == routing.customer_of_key->end())
        return failure(errc::unauthorized, "authenticate", "caller");
    return found->second;
}

result<model_job> parse_model_job(const routing_snapshot& routing,
                                  const httplib::Request& request)
{
    const auto authenticated = authenticate(routing, request);
    if (!authenticated)
        return tl::unexpected(authenticated.error());
    auto body = json::parse(request.body, nullptr, false);
    const auto validation = validate_body(body, request.path);
    if (!validation)
        return tl::unexpected(validation.error());
    const auto* const model = find_model(routing, body["model"]);
    if (model == nullptr)
        return failure(errc::not_found, "parse", "caller", body["model"]);
    const auto max_tokens = read_max_tokens(body, *model);
    if (!max_tokens)
        return tl::unexpected(max_tokens.error());
    const auto key = request.get_header_value("Idempotency-Key");
    if (key.size() > max_key_length)
        return invalid_request("\"Idempotency-Key\" is too long");

    model_job job;
    job.customer = *authenticated;
    job.service = model->name;
    job.path = request.path;
    job.max_tokens = *max_tokens;
    job.timeout = model->timeout;
    job.stream = body.value("stream", false);
    job.has_idempotency_key = !key.empty();
    job.request = request_id(job.customer, key);
    job.priority = find(routing.objects->customers, job.customer)->priority;
    job.fingerprint = hash_hex(body.dump());
    body["max_tokens"] = job.max_tokens;
    body["priority"] = job.priority;
    if (job.stream)
        body["stream_options"] = {{"include_usage", true}};
    job.body = body.dump();
    // Each token of the prompt takes at least one byte of the body.
    job.reserved_tokens = job.body.size() + job.max_tokens;
    return job;
}

} // namespace rhubarbgrade
