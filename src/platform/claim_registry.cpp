#include <rhubarbgrade/detail/platform/claim_registry.hpp>

#include <string>  // string
#include <utility> // move

#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/platform/object_api.hpp> // object_api

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;

/// Attempts to write an object, or to find out whether a write took effect.
constexpr int max_attempts = 3;

std::string object_name(const std::string& key)
{
    return "claims/" + key;
}

json claim_value(const std::string& request)
{
    return {{"request", request}, {"state", "claimed"}};
}

claim_answer read_claim(const json& value, const std::string& request)
{
    if (value.value("request", "") == request)
        return {claim_status::claimed, 0, {}, {}};
    if (value.value("state", "") != "answered")
        return {claim_status::pending, 0, {}, {}};
    return {claim_status::answered, value.value("status", 0),
            value.value("content_type", ""), value.value("body", "")};
}

} // namespace

claim_registry::claim_registry(std::string address, milliseconds timeout)
    : m_address(std::move(address)), m_timeout(timeout)
{
}

claim_answer claim_registry::claim(const std::string& key,
                                   const std::string& request)
{
    object_api api(m_address, m_timeout);
    const auto name = object_name(key);
    const auto text = claim_value(request).dump();
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        if (api.create(name, text))
            return {claim_status::claimed, 0, {}, {}};
        const auto existing = api.read(name);
        if (!existing)
            continue;
        const auto value = json::parse(existing->value, nullptr, false);
        if (!value.is_object())
            return {claim_status::pending, 0, {}, {}};
        const bool dropped = value.value("state", "") == "dropped";
        if (!dropped)
            return read_claim(value, request);
        if (api.update(name, text, existing->version))
            return {claim_status::claimed, 0, {}, {}};
    }
    return {claim_status::unavailable, 0, {}, {}};
}

void claim_registry::answer(const std::string& key, const std::string& request,
                            const claim_answer& first_response)
{
    object_api api(m_address, m_timeout);
    const auto name = object_name(key);
    auto value = claim_value(request);
    value["state"] = "answered";
    value["status"] = first_response.answer_status;
    value["content_type"] = first_response.content_type;
    value["body"] = first_response.body;
    const auto text =
        value.dump(-1, ' ', false, json::error_handler_t::replace);
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        const auto existing = api.read(name);
        if (existing && api.update(name, text, existing->version))
            return;
    }
}

void claim_registry::drop(const std::string& key, const std::string& request)
{
    object_api api(m_address, m_timeout);
    const auto name = object_name(key);
    const json dropped{{"request", ""}, {"state", "dropped"}};
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        const auto existing = api.read(name);
        if (!existing)
            continue;
        const auto value = json::parse(existing->value, nullptr, false);
        const bool held_by_request =
            value.is_object() && value.value("request", "") == request;
        if (!held_by_request ||
            api.update(name, dropped.dump(), existing->version))
            return;
    }
}

} // namespace rhubarbgrade
