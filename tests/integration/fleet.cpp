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

#include "until.hpp"

namespace harness
{

using nlohmann::json;

namespace
{

constexpr const char* customer_key = "customer-key";

std::string local(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

httplib::Client client_of(int port)
{
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(30);
    return client;
}

} // namespace

struct fleet::link
{
    explicit link(const std::string& proxy, const std::string& log)
        : carrier({proxy}, log)
    {
    }

    process carrier;
};

fleet::fleet(plan wanted) : m_plan(std::move(wanted))
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
    for (const auto& [name, zone] : m_plan.engines)
    {
        std::vector<std::string> command{"tests/standin_engine",
                                         "--name=" + name,
                                         "--record=" + path("engine.rec")};
        for (const auto& flag : m_plan.engine_flags[name])
            command.push_back(flag);
        start(name, command);
        add_link("to-" + name, m_processes[name]->port());
    }
    for (const auto& [name, zone] : m_plan.services)
    {
        start(name, {"tests/standin_service", "--name=" + name,
                     "--record=" + path("service.rec")});
        add_link("to-" + name, m_processes[name]->port());
    }
    for (const auto& [zone, count] : m_plan.zones)
        for (int number = 1; number <= count; ++number)
            m_zone_of[zone + std::to_string(number)] = zone;
    for (const auto& [host, zone] : m_zone_of)
    {
        add_link(host + "-platform", m_processes["platform"]->port());
        for (const auto& [other, other_zone] : m_zone_of)
            if (other != host)
                add_link(host + "-" + other, 0);
    }
    REQUIRE(apply(m_plan.prepaid) == 0);
    json list = json::array();
    for (const auto& [host, zone] : m_zone_of)
        start_router(host);
    for (const auto& [host, zone] : m_zone_of)
        list.push_back({{"name", host},
                        {"zone", zone},
                        {"rpc", local(m_rpc[host])},
                        {"state", "live"}});
    put(platform_port(), "/hosts", list.dump());
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

fleet::link& fleet::add_link(const std::string& name, int target)
{
    auto& slot = m_links[name];
    slot = std::make_unique<link>(program("tests/standin_proxy"),
                                  path("proxy.log"));
    if (target != 0)
        put(slot->carrier.port("control"), "/target", std::to_string(target));
    return *slot;
}

void fleet::put(int port, const std::string& page, const std::string& body)
{
    auto client = client_of(port);
    const auto answer = client.Put(page, body, "application/json");
    REQUIRE(answer);
}

std::string fleet::settings_of(const std::string& host)
{
    std::ostringstream text;
    const auto known = m_rpc.count(host) != 0 ? m_rpc[host] : 0;
    text << "host = \"" << host << "\"\nzone = \"" << m_zone_of[host]
         << "\"\nlisten = \"127.0.0.1:0\"\nadmin_listen = \"127.0.0.1:0\"\n"
         << "rpc_listen = \"" << local(known) << "\"\nplatform = \""
         << local(m_links[host + "-platform"]->carrier.port()) << "\"\n"
         << m_plan.settings << "\n[peer_addresses]\n";
    for (const auto& [other, zone] : m_zone_of)
        if (other != host)
            text << other << " = \""
                 << local(m_links[host + "-" + other]->carrier.port())
                 << "\"\n";
    return text.str();
}

void fleet::start_router(const std::string& host)
{
    const auto file = path(host + ".toml");
    std::ofstream(file) << settings_of(host);
    m_processes[host] = std::make_unique<process>(
        std::vector<std::string>{program("rhubarbgraded"),
                                 "--settings=" + file},
        path(host + ".log"));
    m_rpc[host] = m_processes[host]->port("rpc");
    for (const auto& [other, zone] : m_zone_of)
        if (other != host)
            put(m_links[other + "-" + host]->carrier.port("control"), "/target",
                std::to_string(m_rpc[host]));
}

bool fleet::ready(const std::string& host)
{
    auto client = client_of(router(host).port("admin"));
    const auto answer = client.Get("/readyz");
    return answer && answer->status == 200;
}

void fleet::wait_ready()
{
    for (const auto& [host, zone] : m_zone_of)
    {
        const std::string name = host;
        INFO("host " << name << "\n" << log(name));
        const bool paired = m_plan.zones[zone] > 1;
        REQUIRE(until(
            [&]
            {
                if (!ready(name))
                    return false;
                const auto now = status(name);
                return (!paired || now["pairing"] == "paired") &&
                       now["accounts"].contains("c");
            }));
    }
}

json fleet::status(const std::string& host)
{
    auto client = client_of(router(host).port("admin"));
    const auto answer = client.Get("/status");
    return answer ? json::parse(answer->body, nullptr, false) : json::object();
}

long fleet::tokens_with(const std::string& host)
{
    const auto now = status(host);
    if (!now.contains("accounts") || !now["accounts"].contains("c"))
        return 0;
    const auto& held = now["accounts"]["c"];
    return held["shared"].get<long>() + held["solo"].get<long>();
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
    auto client = client_of(port);
    const json body{{"model", "m"},
                    {"max_tokens", max_tokens},
                    {"stream", stream},
                    {"messages", {{{"role", "user"}, {"content", text}}}}};
    httplib::Headers headers{
        {"Authorization", std::string("Bearer ") + customer_key}};
    if (!key.empty())
        headers.emplace("Idempotency-Key", key);
    const auto answer = client.Post("/v1/chat/completions", headers,
                                    body.dump(), "application/json");
    reply got;
    got.connected = answer.error() != httplib::Error::Connection;
    if (!answer)
        return got;
    got.status = answer->status;
    got.body = answer->body;
    got.headers = answer->headers;
    got.request = answer->get_header_value("X-Request-Id");
    got.whole = got.body.find("\n: end {") != std::string::npos &&
                got.body.ends_with("data: [DONE]\n\n");
    if (answer->get_header_value("Content-Type") == "application/problem+json")
        got.ran = json::parse(got.body)["ran"];
    return got;
}

reply fleet::order(const std::string& host, const std::string& key)
{
    auto client = client_of(router(host).port());
    const auto answer =
        client.Post("/orders/1",
                    {{"Authorization", std::string("Bearer ") + customer_key},
                     {"Idempotency-Key", key}},
                    "{}", "application/json");
    reply got;
    if (!answer)
        return got;
    got.status = answer->status;
    got.body = answer->body;
    got.headers = answer->headers;
    if (answer->get_header_value("Content-Type") == "application/problem+json")
        got.ran = json::parse(got.body)["ran"];
    return got;
}

std::string fleet::issued_key(const std::string& host)
{
    auto client = client_of(router(host).port());
    const auto answer =
        client.Post("/v1/idempotency-keys",
                    {{"Authorization", std::string("Bearer ") + customer_key}},
                    "", "application/json");
    if (!answer || answer->status != 200)
        return {};
    return json::parse(answer->body)["key"];
}

void fleet::platform_link(const std::string& host, const std::string& mode)
{
    put(m_links.at(host + "-platform")->carrier.port("control"), "/fault",
        json{{"mode", mode}}.dump());
}

void fleet::host_link(const std::string& from, const std::string& to,
                      const std::string& mode)
{
    put(m_links.at(from + "-" + to)->carrier.port("control"), "/fault",
        json{{"mode", mode}}.dump());
}

void fleet::zone_link(const std::string& zone, const std::string& mode)
{
    for (const auto& [host, home] : m_zone_of)
        for (const auto& [other, away] : m_zone_of)
            if (home != away && (home == zone || away == zone))
                host_link(host, other, mode);
}

void fleet::cut_zone(const std::string& zone, const std::string& mode)
{
    zone_link(zone, mode);
    for (const auto& [host, home] : m_zone_of)
        if (home == zone)
            platform_link(host, mode);
}

void fleet::engine_link(const std::string& name, const std::string& mode)
{
    put(m_links.at("to-" + name)->carrier.port("control"), "/fault",
        json{{"mode", mode}}.dump());
}

void fleet::platform_fault(const std::string& mode, int slow_ms)
{
    put(platform_port(), "/fault",
        json{{"mode", mode}, {"slow_ms", slow_ms}}.dump());
}

void fleet::engine_fault(const std::string& name, const json& fault)
{
    put(engine(name).port(), "/fault", fault.dump());
}

void fleet::service_fault(const std::string& name, const json& fault)
{
    put(service(name).port(), "/fault", fault.dump());
}

std::string fleet::write_objects(long prepaid, const std::string& more)
{
    std::ostringstream text;
    text << "[[customer]]\nname = \"c\"\nkey_sha256 = [\""
         << rhubarbgrade::sha256_hex(customer_key)
         << "\"]\nprepaid_tokens = " << prepaid
         << "\n[[service]]\nname = \"chat\"\nkind = \"model\"\nmodel = \"m\"\n"
         << "version = \"m-v1\"\n";
    std::map<std::string, std::string> versions{{"m-v1", "chat"}};
    for (const auto& [name, version] : m_plan.engine_versions)
        versions[version] = "chat";
    if (!m_plan.services.empty())
    {
        text << "[[service]]\nname = \"orders\"\nkind = \"plain\"\n"
             << "path = \"/orders\"\nversion = \"o-v1\"\ntokens_per_call = "
             << m_plan.price << "\n";
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
             << local(m_links["to-" + name]->carrier.port())
             << "\"\nmax_in_flight = " << m_plan.max_in_flight << "\n";
    };
    for (const auto& [name, zone] : m_plan.engines)
        endpoint(name, zone,
                 m_plan.engine_versions.count(name) != 0
                     ? m_plan.engine_versions[name]
                     : "m-v1");
    for (const auto& [name, zone] : m_plan.services)
        endpoint(name, zone, "o-v1");
    text << m_plan.objects << more;
    const auto folder = path("set");
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/all.toml") << text.str();
    return folder;
}

int fleet::apply(long prepaid, const std::string& more)
{
    std::string out;
    return run_cli({"apply", write_objects(prepaid, more)}, out);
}

int fleet::run_cli(const std::vector<std::string>& words, std::string& out)
{
    const auto file = path("cli.out");
    std::string command = program("rhubarbgrade") +
                          " --author=test --platform=" + local(platform_port());
    for (const auto& word : words)
        command += " " + word;
    const int status = std::system((command + " >" + file + " 2>&1").c_str());
    std::ifstream in(file);
    out.assign(std::istreambuf_iterator<char>(in), {});
    return WEXITSTATUS(status);
}

std::vector<json> fleet::record(const std::string& name) const
{
    std::vector<json> events;
    std::ifstream in(path(name));
    for (std::string line; std::getline(in, line);)
        events.push_back(json::parse(line));
    return events;
}

std::map<std::string, std::vector<long>> fleet::bills()
{
    std::map<std::string, std::vector<long>> found;
    rhubarbgrade::object_api api(local(platform_port()),
                                 rhubarbgrade::milliseconds(5000));
    const auto names = api.list("bills/");
    REQUIRE(names);
    for (const auto& name : *names)
    {
        const auto object = api.read(name);
        REQUIRE(object);
        const auto batch = rhubarbgrade::parse_bill_batch(object->value);
        REQUIRE(batch);
        for (const auto& owed : batch->bills)
            found[owed.request].push_back(static_cast<long>(owed.tokens));
    }
    return found;
}

std::map<std::string, long> fleet::runs()
{
    std::map<std::string, long> ended;
    for (const auto& event : record("engine.rec"))
        if (event.contains("tokens"))
            ended[event["id"]] += event["tokens"].get<long>();
    return ended;
}

std::map<std::string, int> fleet::orders_run()
{
    std::map<std::string, int> found;
    for (const auto& event : record("service.rec"))
        found[event["key"]]++;
    return found;
}

void fleet::check_bills(long prepaid)
{
    const auto settled = [this]
    {
        const auto billed = bills();
        for (const auto& [request, tokens] : runs())
            if (billed.count(request) == 0)
                return false;
        return true;
    };
    CHECK(until(settled));
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
        for (const auto part : tokens)
            spent += part;
    }
    for (const auto& [request, tokens] : ran)
    {
        INFO("run " << request);
        CHECK(billed.count(request) == 1);
    }
    CHECK(spent <= prepaid);
}

int fleet::starts(const std::string& engine) const
{
    int count = 0;
    for (const auto& event : record("engine.rec"))
        count += event["event"] == "start" && event["engine"] == engine;
    return count;
}

std::string fleet::log(const std::string& host) const
{
    std::ifstream in(path(host + ".log"));
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace harness
