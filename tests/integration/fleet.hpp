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

/// Hosts, stand-ins and settings of a fleet.
struct fleet_config
{
    /// Number of hosts by zone; they are named "a1", "a2", "b1", ...
    std::map<std::string, int> zones{{"a", 2}};
    std::map<std::string, std::string> engines{{"e1", "a"}}; ///< zone by name
    std::map<std::string, std::vector<std::string>> engine_flags;
    std::map<std::string, std::string> engine_versions; ///< "m-v1" if not set
    std::map<std::string, std::string> services;        ///< zone by name
    long prepaid = 1000000;
    long plain_call_tokens = 0; ///< charged for a call of "orders"
    int max_in_flight = 64;
    std::string extra_settings; ///< lines added to the settings of each router
    std::string extra_objects;  ///< TOML added to the configuration objects
};

/// A parsed response to a caller.
struct reply
{
    int status = 0; ///< 0: no response
    std::string body;
    std::string request_id;
    std::string ran;        ///< of a problem document, else empty
    bool complete = false;  ///< the stream ended with its closing events
    bool connected = false; ///< the connection to the router was established
    httplib::Headers headers;
};

/// Routers and stand-ins as processes on loopback. A fault proxy forwards every
/// connection between hosts, to the platform, to engines and to services.
class fleet
{
public:
    /// Starts all processes and returns once each router is ready.
    explicit fleet(fleet_config config);
    ~fleet();

    /// Sends a model request as the customer "c".
    reply chat(const std::string& host, int max_tokens, bool stream = true,
               const std::string& key = {}, const std::string& text = "hello");

    /// Sends a model request to a port.
    reply chat_at(int port, int max_tokens, bool stream = true,
                  const std::string& key = {},
                  const std::string& text = "hello");

    /// Sends a plain POST to /orders.
    reply post_order(const std::string& host, const std::string& key);

    /// Requests an idempotency key from a router; empty if that fails.
    std::string issue_key(const std::string& host);

    process& router(const std::string& host);
    process& engine(const std::string& name);
    process& service(const std::string& name);

    /// Starts or restarts a router on its former RPC port.
    void start_router(const std::string& host);

    /// Whether /readyz of a router answers 200.
    bool ready(const std::string& host);

    /// Waits until each router is ready, knows the customer "c" and, in a zone
    /// of several hosts, is paired with a second host.
    void wait_ready();

    /// The document of /status of a router, an empty object if it does not
    /// answer.
    nlohmann::json status(const std::string& host);

    /// Balance of the customer "c" at a router, without reservations.
    long unreserved_tokens(const std::string& host);

    /// Sets the fault mode of a router's link to the platform.
    void set_platform_link(const std::string& host, const std::string& mode);

    /// Sets the fault mode of the links between a zone and all other zones.
    void set_inter_zone_links(const std::string& zone, const std::string& mode);

    /// Sets the fault mode of the links between a zone and all other zones, and
    /// between the zone and the platform.
    void set_outside_links(const std::string& zone, const std::string& mode);

    /// Sets the fault mode of the link from one host to another.
    void set_host_link(const std::string& from, const std::string& to,
                       const std::string& mode);

    /// Sets the fault mode of the link to an engine.
    void set_engine_link(const std::string& name, const std::string& mode);

    void set_platform_fault(const std::string& mode, int slow_ms = 0);
    void set_engine_fault(const std::string& name, const nlohmann::json& fault);
    void set_service_fault(const std::string& name,
                           const nlohmann::json& fault);

    /// Publishes the configuration with another prepaid total. Returns the exit
    /// status of the command line tool.
    int apply(long prepaid, const std::string& appended_objects = {});

    /// Runs the command line tool. Returns its exit status and sets `output`
    /// to what it printed.
    int run_cli(const std::vector<std::string>& arguments, std::string& output);

    /// Tokens of each bill by request id, read from the platform.
    std::map<std::string, std::vector<long>> bills();

    /// Tokens of ended runs by request id, as logged by the engines.
    std::map<std::string, long> runs();

    /// Number of runs at the plain services by idempotency key.
    std::map<std::string, int> order_runs();

    /// Waits until each ended run is billed, then checks that each run has
    /// exactly one bill, for the tokens that the engine logged, and that the
    /// total does not exceed the prepaid tokens.
    void check_bills(long prepaid);

    /// Events that stand-ins have logged to a file.
    std::vector<nlohmann::json> read_events(const std::string& name) const;

    /// Number of runs that an engine has started.
    int runs_started(const std::string& engine) const;

    /// Text of a router's log.
    std::string log_text(const std::string& host) const;
    int platform_port() const;

    /// Writes the configuration objects to files. Returns their folder.
    std::string write_objects(long prepaid,
                              const std::string& appended_objects);

private:
    struct link;

    std::string path(const std::string& name) const;
    std::string program(const std::string& name) const;
    link& add_link(const std::string& name, int target_port);
    std::string router_settings(const std::string& host);
    void send_put(int port, const std::string& resource,
                  const std::string& body);

    fleet_config m_config;
    std::string m_folder;
    std::map<std::string, std::string> m_zone_by_host;
    std::map<std::string, int> m_rpc_ports;
    std::map<std::string, std::unique_ptr<process>> m_processes;
    std::map<std::string, std::unique_ptr<link>> m_links;
};

} // namespace harness
