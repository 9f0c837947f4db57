#include "fleet.hpp"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <rhubarbgrade/rhubarbgrade.hpp>

#include "event_log.hpp"
#include "until.hpp"

namespace harness
{

using nlohmann::json;

namespace
{

constexpr const char* api_key = "customer-key";

std::string loopback_address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

httplib::Client make_client(int port)
{
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(30);
    return client;
}

} // namespace

struct fleet::link
{
    explicit link(const std::string& proxy_program, const std::string& log_file)
        : proxy_process({proxy_program}, log_file)
    {
    }

    process proxy_process;
};

fleet::fleet(fleet_config config) : m_config(std::move(config))
{
    std::array<char, 32> name{"/tmp/rhubarbgrade-test-XXXXXX"};
    m_folder = ::mkdtemp(name.data());
    const auto start =
        [this](const std::string& name, std::vector<std::string> command)
    {
        command[0] = program(command[0]);
        m_processes[name] =
            std::make_unique<process>(command, path(name + ".log"));
    };
    start("platform",
          {"tests/standin_platform", "--record=" + path("platform.rec")});
    for (const auto& [name, zone] : m_config.engines)
    {
        std::vector<std::string> command{"tests/standin_engine",
                                         "--name=" + name,
                                         "--record=" + path("engine.rec")};
        for (const auto& flag : m_config.engine_flags[name])
            command.push_back(flag);
        start(name, command);
        add_link("to-" + name, m_processes[name]->port());
    }
    for (const auto& [name, zone] : m_config.services)
    {
        start(name, {"tests/standin_service", "--name=" + name,
                     "--record=" + path("service.rec")});
        add_link("to-" + name, m_processes[name]->port());
    }
    for (const auto& [zone, count] : m_config.zones)
        for (int number = 1; number <= count; ++number)
            m_zone_by_host[zone + std::to_string(number)] = zone;
    for (const auto& [host, zone] : m_zone_by_host)
    {
        add_link(host + "-platform", m_processes["platform"]->port());
        for (const auto& [other, other_zone] : m_zone_by_host)
            if (other != host)
                add_link(host + "-" + other, 0);
    }
    REQUIRE(apply(m_config.prepaid) == 0);
    json host_list = json::array();
    for (const auto& [host, zone] : m_zone_by_host)
        start_router(host);
    for (const auto& [host, zone] : m_zone_by_host)
        host_list.push_back({{"name", host},
                             {"zone", zone},
                             {"rpc", loopback_address(m_rpc_ports[host])},
                             {"state", "live"}});
    send_put(platform_port(), "/hosts", host_list.dump());
    wait_ready();
}

fleet::~fleet()
{
    m_processes.clear();
    m_links.clear();
    if (std::getenv("RHUBARBGRADE_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
    else
        std::fprintf(stderr, "logs: %s\n", m_folder.c_str());
}

std::string fleet::path(const std::string& name) const
{
    return m_folder + "/" + name;
}

std::string fleet::program(const std::string& name) const
{
    return std::string(RHUBARBGRADE_BUILD) + "/" + name;
}

int fleet::platform_port() const
{
    return m_processes.at("platform")->port();
}

fleet::link& fleet::add_link(const std::string& name, int target_port)
{
    auto& new_link = m_links[name];
    new_link = std::make_unique<link>(program("tests/standin_proxy"),
                                      path("proxy.log"));
    if (target_port != 0)
        send_put(new_link->proxy_process.port("control"), "/target",
                 std::to_string(target_port));
    return *new_link;
}

void fleet::send_put(int port, const std::string& resource,
                     const std::string& body)
{
    auto client = make_client(port);
    const auto answer = client.Put(resource, body, "application/json");
    REQUIRE(answer);
}

std::string fleet::router_settings(const std::string& host)
{
    std::ostringstream text;
    const auto rpc_port = m_rpc_ports.count(host) != 0 ? m_rpc_ports[host] : 0;
    text << "host = \"" << host << "\"\nzone = \"" << m_zone_by_host[host]
         << "\"\nlisten = \"127.0.0.1:0\"\nadmin_listen = \"127.0.0.1:0\"\n"
         << "rpc_listen = \"" << loopback_address(rpc_port)
         << "\"\nplatform = \""
         << loopback_address(m_links[host + "-platform"]->proxy_process.port())
         << "\"\n"
         << m_config.extra_settings << "\n[peer_addresses]\n";
    for (const auto& [other, zone] : m_zone_by_host)
        if (other != host)
            text << other << " = \""
                 << loopback_address(
                        m_links[host + "-" + other]->proxy_process.port())
                 << "\"\n";
    return text.str();
}

void fleet::start_router(const std::string& host)
{
    const auto file = path(host + ".toml");
    std::ofstream(file) << router_settings(host);
    m_processes[host] = std::make_unique<process>(
        std::vector<std::string>{program("rhubarbgraded"),
                                 "--settings=" + file},
        path(host + ".log"));
    m_rpc_ports[host] = m_processes[host]->port("rpc");
    for (const auto& [other, zone] : m_zone_by_host)
        if (other != host)
            send_put(m_links[other + "-" + host]->proxy_process.port("control"),
                     "/target", std::to_string(m_rpc_ports[host]));
}

bool fleet::ready(const std::string& host)
{
    auto client = make_client(router(host).port("admin"));
    const auto answer = client.Get("/readyz");
    return answer && answer->status == 200;
}

void fleet::wait_ready()
{
    for (const auto& [host, zone] : m_zone_by_host)
    {
        const std::string name = host;
        INFO("host " << name << "\n" << log_text(name));
        const bool expects_pairing = m_config.zones[zone] > 1;
        REQUIRE(wait_until(
            [&]
            {
                if (!ready(name))
                    return false;
                const auto now = status(name);
                return (!expects_pairing || now["pairing"] == "paired") &&
                       now["accounts"].contains("c");
            }));
    }
}

json fleet::status(const std::string& host)
{
    auto client = make_client(router(host).port("admin"));
    const auto answer = client.Get("/status");
    return answer ? json::parse(answer->body, nullptr, false) : json::object();
}

long fleet::unreserved_tokens(const std::string& host)
{
    const auto now = status(host);
    if (!now.contains("accounts") || !now["accounts"].contains("c"))
        return 0;
    const auto& balance = now["accounts"]["c"];
    return balance["shared"].get<long>() + balance["solo"].get<long>();
}

process& fleet::router(const std::string& host)
{
    return *m_processes.at(host);
}

process& fleet::engine(const std::string& name)
{
    return *m_processes.at(name);
}

process& fleet::service(const std::string& name)
{
    return *m_processes.at(name);
}

reply fleet::chat(const std::string& host, int max_tokens, bool stream,
                  const std::string& key, const std::string& text)
{
    return chat_at(router(host).port(), max_tokens, stream, key, text);
}

reply fleet::chat_at(int port, int max_tokens, bool stream,
                     const std::string& key, const std::string& text)
{
    auto client = make_client(port);
    const json body{{"model", "m"},
                    {"max_tokens", max_tokens},
                    {"stream", stream},
                    {"messages", {{{"role", "user"}, {"content", text}}}}};
    httplib::Headers headers{
        {"Authorization", std::string("Bearer ") + api_key}};
    if (!key.empty())
        headers.emplace("Idempotency-Key", key);
    const auto answer = client.Post("/v1/chat/completions", headers,
                                    body.dump(), "application/json");
    reply result;
    result.connected = answer.error() != httplib::Error::Connection;
    if (!answer)
        return result;
    result.status = answer->status;
    result.body = answer->body;
    result.headers = answer->headers;
    result.request_id = answer->get_header_value("X-Request-Id");
    result.complete = result.body.find("\n: end {") != std::string::npos &&
                      result.body.ends_with("data: [DONE]\n\n");
    if (answer->get_header_value("Content-Type") == "application/problem+json")
        result.ran = json::parse(result.body)["ran"];
    return result;
}

reply fleet::post_order(const std::string& host, const std::string& key)
{
    auto client = make_client(router(host).port());
    const auto answer =
        client.Post("/orders/1",
                    {{"Authorization", std::string("Bearer ") + api_key},
                     {"Idempotency-Key", key}},
                    "{}", "application/json");
    reply result;
    if (!answer)
        return result;
    result.status = answer->status;
    result.body = answer->body;
    result.headers = answer->headers;
    if (answer->get_header_value("Content-Type") == "application/problem+json")
        result.ran = json::parse(result.body)["ran"];
    return result;
}

std::string fleet::issue_key(const std::string& host)
{
    auto client = make_client(router(host).port());
    const auto answer =
        client.Post("/v1/idempotency-keys",
                    {{"Authorization", std::string("Bearer ") + api_key}}, "",
                    "application/json");
    if (!answer || answer->status != 200)
        return {};
    return json::parse(answer->body)["key"];
}

void fleet::set_platform_link(const std::string& host, const std::string& mode)
{
    send_put(m_links.at(host + "-platform")->proxy_process.port("control"),
             "/fault", json{{"mode", mode}}.dump());
}

void fleet::set_host_link(const std::string& from, const std::string& to,
                          const std::string& mode)
{
    send_put(m_links.at(from + "-" + to)->proxy_process.port("control"),
             "/fault", json{{"mode", mode}}.dump());
}

void fleet::set_inter_zone_links(const std::string& zone,
                                 const std::string& mode)
{
    for (const auto& [host, host_zone] : m_zone_by_host)
        for (const auto& [other, peer_zone] : m_zone_by_host)
            if (host_zone != peer_zone &&
                (host_zone == zone || peer_zone == zone))
                set_host_link(host, other, mode);
}

void fleet::set_outside_links(const std::string& zone, const std::string& mode)
{
    set_inter_zone_links(zone, mode);
    for (const auto& [host, host_zone] : m_zone_by_host)
        if (host_zone == zone)
            set_platform_link(host, mode);
}

void fleet::set_engine_link(const std::string& name, const std::string& mode)
{
    send_put(m_links.at("to-" + name)->proxy_process.port("control"), "/fault",
             json{{"mode", mode}}.dump());
}

void fleet::set_platform_fault(const std::string& mode, int slow_ms)
{
    send_put(platform_port(), "/fault",
             json{{"mode", mode}, {"slow_ms", slow_ms}}.dump());
}

void fleet::set_engine_fault(const std::string& name, const json& fault)
{
    send_put(engine(name).port(), "/fault", fault.dump());
}

void fleet::set_service_fault(const std::string& name, const json& fault)
{
    send_put(service(name).port(), "/fault", fault.dump());
}

std::string fleet::write_objects(long prepaid,
                                 const std::string& appended_objects)
{
    std::ostringstream text;
    text << "[[customer]]\nname = \"c\"\nkey_sha256 = [\""
         << rhubarbgrade::sha256_hex(api_key)
         << "\"]\nprepaid_tokens = " << prepaid
         << "\n[[service]]\nname = \"chat\"\nkind = \"model\"\nmodel = \"m\"\n"
         << "version = \"m-v1\"\n";
    std::map<std::string, std::string> versions{{"m-v1", "chat"}};
    for (const auto& [name, version] : m_config.engine_versions)
        versions[version] = "chat";
    if (!m_config.services.empty())
    {
        text << "[[service]]\nname = \"orders\"\nkind = \"plain\"\n"
             << "path = \"/orders\"\nversion = \"o-v1\"\ntokens_per_call = "
             << m_config.plain_call_tokens << "\n";
        versions["o-v1"] = "orders";
    }
    for (const auto& [version, service] : versions)
        text << "[[version]]\nname = \"" << version << "\"\nservice = \""
             << service << "\"\n";
    const auto endpoint = [&](const std::string& name, const std::string& zone,
                              const std::string& version)
    {
        text << "[[endpoint]]\nname = \"" << name << "\"\nversion = \""
             << version << "\"\nzone = \"" << zone << "\"\naddress = \""
             << loopback_address(m_links["to-" + name]->proxy_process.port())
             << "\"\nmax_in_flight = " << m_config.max_in_flight << "\n";
    };
    for (const auto& [name, zone] : m_config.engines)
        endpoint(name, zone,
                 m_config.engine_versions.count(name) != 0
                     ? m_config.engine_versions[name]
                     : "m-v1");
    for (const auto& [name, zone] : m_config.services)
        endpoint(name, zone, "o-v1");
    text << m_config.extra_objects << appended_objects;
    const auto folder = path("set");
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/all.toml") << text.str();
    return folder;
}

int fleet::apply(long prepaid, const std::string& appended_objects)
{
    std::string output;
    return run_cli({"apply", write_objects(prepaid, appended_objects)}, output);
}

int fleet::run_cli(const std::vector<std::string>& arguments,
                   std::string& output)
{
    const auto file = path("cli.out");
    std::string command =
        program("rhubarbgrade") +
        " --author=test --platform=" + loopback_address(platform_port());
    for (const auto& argument : arguments)
        command += " " + argument;
    const int status = std::system((command + " >" + file + " 2>&1").c_str());
    std::ifstream in(file);
    output.assign(std::istreambuf_iterator<char>(in), {});
    return WEXITSTATUS(status);
}

std::vector<json> fleet::read_events(const std::string& name) const
{
    return read_event_log(path(name));
}

std::map<std::string, std::vector<long>> fleet::bills()
{
    std::map<std::string, std::vector<long>> found;
    rhubarbgrade::object_api api(loopback_address(platform_port()),
                                 rhubarbgrade::milliseconds(5000));
    const auto names = api.list("bills/");
    REQUIRE(names);
    for (const auto& name : *names)
    {
        const auto object = api.read(name);
        REQUIRE(object);
        const auto batch = rhubarbgrade::parse_bill_batch(object->value);
        REQUIRE(batch);
        for (const auto& bill : batch->bills)
            found[bill.request].push_back(static_cast<long>(bill.tokens));
    }
    return found;
}

std::map<std::string, long> fleet::runs()
{
    std::map<std::string, long> ended;
    for (const auto& event : read_events("engine.rec"))
        if (event.contains("tokens"))
            ended[event["id"]] += event["tokens"].get<long>();
    return ended;
}

std::map<std::string, int> fleet::order_runs()
{
    std::map<std::string, int> found;
    for (const auto& event : read_events("service.rec"))
        found[event["key"]]++;
    return found;
}

void fleet::check_bills(long prepaid)
{
    const auto all_billed = [this]
    {
        const auto billed = bills();
        for (const auto& [request, tokens] : runs())
            if (billed.count(request) == 0)
                return false;
        return true;
    };
    CHECK(wait_until(all_billed));
    const auto billed = bills();
    const auto ran = runs();
    long spent = 0;
    for (const auto& [request, tokens] : billed)
    {
        INFO("request " << request);
        CHECK(tokens.size() == 1);
        const auto run = ran.find(request);
        if (run != ran.end())
            CHECK(tokens[0] == run->second);
        for (const auto bill_tokens : tokens)
            spent += bill_tokens;
    }
    for (const auto& [request, tokens] : ran)
    {
        INFO("run " << request);
        CHECK(billed.count(request) == 1);
    }
    CHECK(spent <= prepaid);
}

int fleet::runs_started(const std::string& engine) const
{
    int count = 0;
    for (const auto& event : read_events("engine.rec"))
        count += event["event"] == "start" && event["engine"] == engine;
    return count;
}

std::string fleet::log_text(const std::string& host) const
{
    std::ifstream in(path(host + ".log"));
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace harness
