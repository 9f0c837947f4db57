#include <rhubarbgrade/detail/platform/object_api.hpp>

#include <chrono>      // milliseconds
#include <cstdint>     // uint64_t
#include <memory>      // make_unique
#include <string>      // stoull, string, to_string
#include <string_view> // string_view
#include <vector>      // vector

#include <httplib.h>         // Client
#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/membership/members.hpp> // listed_host

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;

constexpr int http_ok = 200;
constexpr int http_no_content = 204;
constexpr int http_not_found = 404;
constexpr int http_precondition_failed = 412;
constexpr const char* peer = "platform";

tl::unexpected<error> status_failure(const std::string& step, int status,
                                     const std::string& name)
{
    if (status == http_not_found || status == http_no_content)
        return failure(errc::absent, step, peer, name);
    if (status == http_precondition_failed)
        return failure(errc::conflict, step, peer, name);
    return failure(errc::platform_unreachable, step, peer,
                   name + ": status " + std::to_string(status));
}

std::uint64_t version_of(const httplib::Response& response)
{
    return std::strtoull(response.get_header_value("ETag").c_str(), nullptr,
                         10);
}

} // namespace

class object_api::connection
{
public:
    connection(const std::string& address, milliseconds timeout)
        : m_timeout(timeout), m_client("http://" + address)
    {
        m_client.set_tcp_nodelay(true);
        m_client.set_keep_alive(true);
        m_client.set_connection_timeout(timeout);
        m_client.set_write_timeout(timeout);
        m_client.set_read_timeout(timeout);
    }

    result<httplib::Response> get(const std::string& step,
                                  const std::string& target,
                                  milliseconds extra_timeout = milliseconds(0))
    {
        m_client.set_read_timeout(m_timeout + extra_timeout);
        return check_response(step, target, m_client.Get(target));
    }

    result<httplib::Response> put(const std::string& step,
                                  const std::string& target,
                                  std::string_view value,
                                  const httplib::Headers& headers)
    {
        m_client.set_read_timeout(m_timeout);
        return check_response(step, target,
                              m_client.Put(target, headers, value.data(),
                                           value.size(),
                                           "application/octet-stream"));
    }

private:
    static result<httplib::Response>
    check_response(const std::string& step, const std::string& target,
                   const httplib::Result& answer)
    {
        if (!answer)
            return failure(errc::platform_unreachable, step, peer,
                           target + ": " + httplib::to_string(answer.error()));
        if (answer->status != http_ok)
            return status_failure(step, answer->status, target);
        return *answer;
    }

    milliseconds m_timeout;
    httplib::Client m_client;
};

object_api::object_api(const std::string& address, milliseconds timeout)
    : m_connection(std::make_unique<connection>(address, timeout))
{
}

object_api::~object_api() = default;

result<stored_object> object_api::read(const std::string& name)
{
    return m_connection->get("read", "/objects/" + name)
        .map(
            [](const httplib::Response& response)
            {
                return stored_object{version_of(response), response.body};
            });
}

result<std::uint64_t> object_api::create(const std::string& name,
                                         std::string_view value)
{
    return update(name, value, 0);
}

result<std::uint64_t> object_api::update(const std::string& name,
                                         std::string_view value,
                                         std::uint64_t version)
{
    const httplib::Headers condition =
        version == 0 ? httplib::Headers{{"If-None-Match", "*"}}
                     : httplib::Headers{{"If-Match", std::to_string(version)}};
    const auto answer = m_connection->put(version == 0 ? "create" : "update",
                                          "/objects/" + name, value, condition);
    if (!answer)
        return tl::unexpected(answer.error());
    const auto body = json::parse(answer->body, nullptr, false);
    if (!body.is_object() || !body.contains("version"))
        return failure(errc::malformed, "update", peer, name);
    return body["version"].get<std::uint64_t>();
}

result<std::vector<std::string>> object_api::list(const std::string& prefix)
{
    const auto answer = m_connection->get("list", "/list?prefix=" + prefix);
    if (!answer)
        return tl::unexpected(answer.error());
    const auto body = json::parse(answer->body, nullptr, false);
    if (!body.is_array())
        return failure(errc::malformed, "list", peer, prefix);
    std::vector<std::string> names;
    for (const auto& item : body)
        names.push_back(item.value("name", ""));
    return names;
}

result<stored_object> object_api::watch(const std::string& name,
                                        std::uint64_t above, milliseconds wait)
{
    const auto target = "/watch/" + name + "?above=" + std::to_string(above) +
                        "&wait_ms=" + std::to_string(wait.count());
    return m_connection->get("watch", target, wait)
        .map(
            [](const httplib::Response& response)
            {
                return stored_object{version_of(response), response.body};
            });
}

result<std::vector<listed_host>> object_api::hosts()
{
    const auto answer = m_connection->get("hosts", "/hosts");
    if (!answer)
        return tl::unexpected(answer.error());
    const auto body = json::parse(answer->body, nullptr, false);
    if (!body.is_array())
        return failure(errc::malformed, "hosts", peer);
    std::vector<listed_host> hosts;
    for (const auto& item : body)
        hosts.push_back({item.value("name", ""), item.value("zone", ""),
                         item.value("rpc", ""),
                         item.value("state", "live") == "leaving"});
    return hosts;
}

} // namespace rhubarbgrade
