#include <rhubarbgrade/detail/endpoint/endpoint_prober.hpp>

#include <condition_variable> // condition_variable_any
#include <mutex>              // mutex, unique_lock
#include <stop_token>         // stop_token
#include <string>             // string
#include <utility>            // move

#include <httplib.h>         // Client
#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/control/control_plane.hpp>   // control_plane
#include <rhubarbgrade/detail/endpoint/endpoint_table.hpp> // endpoint_table

#include "../control/control_core.hpp" // in_doubt_request
#include "engine_request.hpp"          // make_client, parse_usage

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;

constexpr milliseconds probe_timeout{500};
constexpr int http_not_found = 404;

engine_call make_probe_call(const std::string& address)
{
    engine_call call;
    call.address = address;
    call.progress_timeout = probe_timeout;
    return call;
}

} // namespace

endpoint_prober::endpoint_prober(std::string host, std::string zone,
                                 milliseconds interval, control_plane& control,
                                 endpoint_table& endpoints)
    : m_host(std::move(host)),
      m_zone(std::move(zone)),
      m_interval(interval),
      m_control(control),
      m_endpoints(endpoints),
      m_thread(
          [this](const std::stop_token& stop)
          {
              run(stop);
          })
{
}

endpoint_prober::~endpoint_prober() = default;

void endpoint_prober::run(const std::stop_token& stop)
{
    std::mutex mutex;
    std::condition_variable_any sleep_condition;
    std::unique_lock lock(mutex);
    while (!stop.stop_requested())
    {
        probe_all();
        resolve_all();
        sleep_condition.wait_for(lock, stop, m_interval,
                                 []
                                 {
                                     return false;
                                 });
    }
}

void endpoint_prober::probe_all()
{
    const auto routing = m_control.snapshot();
    const auto probed = routing->shares == nullptr
                            ? std::set<std::string, std::less<>>()
                            : routing->shares->probed;
    for (const auto& [name, object] : routing->objects->endpoints)
        if (probed.contains(name))
            probe(object);
    std::erase_if(m_leaving_endpoints,
                  [&](const std::string& name)
                  {
                      return !probed.contains(name);
                  });
    m_control.publish_leaving_endpoints(m_leaving_endpoints);
}

void endpoint_prober::probe(const endpoint& object)
{
    auto client = make_client(make_probe_call(object.address), probe_timeout);
    const auto response = client.Get("/load");
    if (!response)
        return;
    const auto load = json::parse(response->body, nullptr, false);
    if (!load.is_object())
        return;
    m_endpoints.set_reported_load(object.name, load.value("running", 0U));
    if (load.value("draining", false))
        m_leaving_endpoints.insert(object.name);
    else
        m_leaving_endpoints.erase(object.name);
}

void endpoint_prober::resolve_all()
{
    for (const auto& request : m_control.in_doubt_requests())
        resolve(request);
}

void endpoint_prober::resolve(const in_doubt_request& request)
{
    if (request.endpoint.empty())
    {
        // The request was not assigned to an endpoint, and a closed ledger
        // accepts no further assignment, so it cannot have run.
        m_control.resolve(request, false, 0);
        return;
    }
    if (request.address.empty())
    {
        if (request.origin_ended)
            m_control.resolve(request, false, 0);
        return;
    }
    auto client = make_client(make_probe_call(request.address), probe_timeout);
    const auto response =
        client.Get("/v1/streams/" + request.request + "/usage");
    if (!response)
        return;
    const auto used_tokens = parse_usage(response->status, response->body);
    if (used_tokens)
        m_control.resolve(request, true, *used_tokens);
    else if (response->status == http_not_found && request.origin_ended)
        m_control.resolve(request, false, 0);
}

} // namespace rhubarbgrade
