#pragma once

#include <cstdlib>    // getenv
#include <filesystem> // path, temp_directory_path
#include <fstream>    // ifstream, ofstream
#include <map>        // map
#include <memory>     // unique_ptr
#include <string>     // string
#include <vector>     // vector

#include <unistd.h> // getpid

#include <catch2/catch.hpp>
#include <httplib.h>         // Client
#include <nlohmann/json.hpp> // json

#include "process.hpp" // process
#include "until.hpp"   // until

namespace harness
{

using nlohmann::json;
namespace fs = std::filesystem;

constexpr int prepaid = 10000; ///< tokens of the customer "clerks"

/// Hosts of the users' platform as real processes, before a stand-in of its
/// store and of its endpoints.
class installation
{
public:
    installation()
    {
        m_folder = fs::temp_directory_path() /
                   ("rhubarbgrade-node-" + std::to_string(::getpid()) + "-" +
                    std::to_string(++installations));
        fs::create_directories(m_folder);
        m_store = std::make_unique<process>(
            std::vector<std::string>{build() + "/tests/standin_store"},
            log("store"));
        put_configuration(1, {});
    }

    ~installation()
    {
        m_hosts.clear();
        m_replicas.clear();
        m_store.reset();
        std::error_code ignored; // left behind in the temporary folder
        if (std::getenv("RHUBARBGRADE_KEEP_LOGS") == nullptr)
            fs::remove_all(m_folder, ignored);
    }

    httplib::Client store() const
    {
        httplib::Client client("127.0.0.1", m_store->port());
        client.set_default_headers({{"X-Operator", "1"}});
        return client;
    }

    void store_fault(const json& fault) const
    {
        REQUIRE(store().Put("/fault", fault.dump(), "application/json"));
    }

    void put_object(const std::string& kind, const std::string& name,
                    const json& spec) const
    {
        const json body{{"metadata", {{"name", name}}}, {"spec", spec}};
        auto client = store();
        const auto made = client.Post("/api/objects/" + kind, body.dump(),
                                      "application/json");
        REQUIRE(made);
        if (made->status == 409)
            REQUIRE(client.Put("/api/objects/" + kind + "/" + name, body.dump(),
                               "application/json"));
    }

    void put_configuration(int version, const json& more) const
    {
        const auto route = [](const std::string& prefix, const char* kind,
                              const std::string& service, int attempts)
        {
            return json{{"name", prefix},
                        {"hostname", "a.example"},
                        {"pathPrefix", prefix},
                        {"kind", kind},
                        {"timeoutMs", 3000},
                        {"targetLatencyMs", 800},
                        {"service", service},
                        {"maxAttempts", attempts},
                        {"resumable", prefix == "/stream/resumed/"}};
        };
        json spec{
            {"version", version},
            {"routes",
             {route("/read/", "idempotent", "desk", 2),
              route("/book/", "non_idempotent", "desk", 1),
              route("/stream/", "stream", "pool", 1),
              route("/stream/resumed/", "stream", "pool", 2)}},
            {"services",
             {{{"name", "desk"}},
              {{"name", "pool"}, {"engine", {{"slots", 8}, {"stride", 1}}}}}},
            {"limits",
             {{"maxHeaderBytes", 4096},
              {"maxBodyBytes", 20000},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants",
             {{{"name", "clerks"}, {"apiKeys", {"k1"}}, {"prepaid", prepaid}},
              {{"name", "others"}, {"apiKeys", {"k2"}}}}}};
        for (const auto& [key, value] : more.items())
            spec[key] = value;
        put_object("config", "main", spec);
    }

    void add_replica(const std::string& id, const std::string& service)
    {
        m_replicas[id] = std::make_unique<process>(
            std::vector<std::string>{build() + "/tests/standin_replica",
                                     "--id=" + id,
                                     "--record=" + record().string()},
            log(id));
        list_replica(id, service, "ready");
    }

    void list_replica(const std::string& id, const std::string& service,
                      const std::string& state) const
    {
        put_object("servers", id,
                   {{"service", service},
                    {"address",
                     "127.0.0.1:" + std::to_string(m_replicas.at(id)->port())},
                    {"zone", "z1"},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", state}});
    }

    void replica_fault(const std::string& id, const json& fault) const
    {
        httplib::Client client("127.0.0.1", m_replicas.at(id)->port());
        REQUIRE(client.Put("/fault", fault.dump(), "application/json"));
    }

    void kill_replica(const std::string& id)
    {
        m_replicas.at(id)->kill();
    }

    /// Writes a host's settings file, as the platform renders it.
    std::string write_settings(const std::string& name,
                               const std::string& bounds = "graceS = 8") const
    {
        auto path = (m_folder / (name + ".toml")).string();
        const auto next = path + ".next";
        std::ofstream(next)
            << "nodeName = \"" << name << "\"\nzone = \"z1\"\n"
            << "ip = \"127.0.0.1\"\ninternalPortRange = [0,0]\n"
            << "[listen]\nfront = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
            << "[platform]\naddress = \"127.0.0.1:" << m_store->port()
            << "\"\n[bounds]\n"
            << bounds << "\n";
        fs::rename(next, path);
        return path;
    }

    void start_host(const std::string& name,
                    const std::string& bounds = "graceS = 8")
    {
        const auto path = write_settings(name, bounds);
        m_hosts[name] = std::make_unique<process>(
            std::vector<std::string>{build() + "/rhubarbgrade_node", path},
            log(name));
        REQUIRE(until(
            [&]
            {
                return ready(name);
            }));
    }

    bool ready(const std::string& name) const
    {
        httplib::Client client("127.0.0.1", m_hosts.at(name)->port("ready"));
        const auto answer = client.Get("/api/ready");
        return answer && answer->status == 200;
    }

    process& host(const std::string& name)
    {
        return *m_hosts.at(name);
    }

    httplib::Client caller(const std::string& name) const
    {
        httplib::Client client("127.0.0.1", m_hosts.at(name)->port());
        client.set_read_timeout(10);
        return client;
    }

    /// Calls with a new request id.
    httplib::Result call(const std::string& name, const std::string& path,
                         httplib::Headers more = {}) const
    {
        httplib::Headers headers{{"Host", "a.example"},
                                 {"Request-Id", next_id()},
                                 {"Deadline-Ms", "3000"},
                                 {"Authorization", "Token k1"}};
        for (const auto& [key, value] : more)
        {
            headers.erase(key);
            headers.emplace(key, value);
        }
        return caller(name).Post(path, headers, "body", "text/plain");
    }

    static std::string next_id()
    {
        static int id = 0;
        return "r" + std::to_string(++id);
    }

    std::vector<json> runs(const std::string& path) const
    {
        std::vector<json> found;
        std::ifstream in(record());
        for (std::string line; std::getline(in, line);)
        {
            const auto event = json::parse(line);
            if (event["path"] == path)
                found.push_back(event);
        }
        return found;
    }

    /// What a process has written to its standard output and error.
    std::string written(const std::string& name) const
    {
        std::ifstream in(log(name));
        return {std::istreambuf_iterator<char>(in), {}};
    }

    fs::path record() const
    {
        return m_folder / "runs.json";
    }

private:
    static std::string build()
    {
        return RHUBARBGRADE_BUILD;
    }

    std::string log(const std::string& name) const
    {
        return (m_folder / (name + ".log")).string();
    }

    static inline int installations = 0;
    fs::path m_folder;
    std::unique_ptr<process> m_store;
    std::map<std::string, std::unique_ptr<process>> m_replicas;
    std::map<std::string, std::unique_ptr<process>> m_hosts;
};

} // namespace harness
