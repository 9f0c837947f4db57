#pragma once

#include <map>    // map
#include <memory> // unique_ptr
#include <string> // string
#include <vector> // vector

#include <httplib.h>         // Headers, Response, Result
#include <nlohmann/json.hpp> // json

#include "process.hpp" // process

namespace harness
{

/// What a fleet consists of.
struct plan
{
    /// Hosts of each zone, named after it: "a1", "a2", "b1", ...
    std::map<std::string, int> zones{{"a", 2}};
    std::map<std::string, std::string> engines{{"e1", "a"}}; ///< name: zone
    std::map<std::string, std::vector<std::string>> engine_flags;
    std::map<std::string, std::string> engine_versions; ///< default "m-v1"
    std::map<std::string, std::string> services;        ///< name: zone
    long prepaid = 1000000;
    long price = 0; ///< tokens of a plain call
    int max_in_flight = 64;
    std::string settings; ///< more lines of the routers' settings
    std::string objects;  ///< more configuration objects
};

/// The answer to a caller, taken apart.
struct reply
{
    int status = 0; ///< 0: none
    std::string body;
    std::string request;
    std::string ran;
    bool whole = false;     ///< a stream with its closing events
    bool connected = false; ///< whether the router took the connection
    httplib::Headers headers;
};

/// A fleet of real processes on loopback, every link behind a fault proxy.
class fleet
{
public:
    explicit fleet(plan wanted);
    ~fleet();

    /// Sends a model request as the customer "c".
    reply chat(const std::string& host, int max_tokens, bool stream = true,
               const std::string& key = {}, const std::string& text = "hello");

    /// Sends a model request to a port.
    reply chat_at(int port, int max_tokens, bool stream = true,
                  const std::string& key = {},
                  const std::string& text = "hello");

    /// Sends a plain POST to /orders.
    reply order(const std::string& host, const std::string& key);

    /// An idempotency key from a router, empty if it gave none.
    std::string issued_key(const std::string& host);

    process& router(const std::string& host);
    process& engine(const std::string& name);
    process& service(const std::string& name);

    void start_router(const std::string& host);
    bool ready(const std::string& host);
    void wait_ready();
    nlohmann::json status(const std::string& host);
    long tokens_with(const std::string& host);

    /// Sets the mode of the links of a router to the platform.
    void platform_link(const std::string& host, const std::string& mode);

    /// Sets the mode of the links between hosts of different zones.
    void zone_link(const std::string& zone, const std::string& mode);

    /// Sets the mode of all links of a zone to other zones and the platform.
    void cut_zone(const std::string& zone, const std::string& mode);

    /// Sets the mode of the link from one host to another.
    void host_link(const std::string& from, const std::string& to,
                   const std::string& mode);

    /// Sets the mode of the link to an engine.
    void engine_link(const std::string& name, const std::string& mode);

    void platform_fault(const std::string& mode, int slow_ms = 0);
    void engine_fault(const std::string& name, const nlohmann::json& fault);
    void service_fault(const std::string& name, const nlohmann::json& fault);

    /// Publishes the plan's objects with another prepaid total.
    int apply(long prepaid, const std::string& more = {});
    int run_cli(const std::vector<std::string>& words, std::string& out);

    /// Bills by request id, from the platform: one entry for each bill.
    std::map<std::string, std::vector<long>> bills();

    /// Tokens by request id, from the engines' record of ended runs.
    std::map<std::string, long> runs();

    /// Runs of the plain services by idempotency key.
    std::map<std::string, int> orders_run();

    /// Waits until each ended run has its one bill and checks all promises:
    /// one bill a run, the same tokens, spend within what was prepaid.
    void check_bills(long prepaid);

    /// The events of a stand-in's record.
    std::vector<nlohmann::json> record(const std::string& name) const;

    /// Starts of runs at an engine.
    int starts(const std::string& engine) const;

    std::string log(const std::string& host) const;
    int platform_port() const;
    std::string write_objects(long prepaid, const std::string& more);

private:
    struct link;

    std::string path(const std::string& name) const;
    std::string program(const std::string& name) const;
    link& add_link(const std::string& name, int target);
    std::string settings_of(const std::string& host);
    void put(int port, const std::string& page, const std::string& body);

    plan m_plan;
    std::string m_folder;
    std::map<std::string, std::string> m_zone_of;
    std::map<std::string, int> m_rpc;
    std::map<std::string, std::unique_ptr<process>> m_processes;
    std::map<std::string, std::unique_ptr<link>> m_links;
};

} // namespace harness
