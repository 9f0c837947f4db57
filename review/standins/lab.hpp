// Stand-ins and tools of the review: the platform's store, replicas,
// consumers, and the hosts under test as processes of their own. Everything
// listens on loopback addresses and uses the real clock.
//
// They follow PROTOCOL.md and DEPLOY.md of the users' pages; where a page is
// silent they behave like a sound server, client or platform.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <nlohmann/json.hpp>

namespace lab
{

using nlohmann::json;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using request_t = http::request<http::string_body>;
using response_t = http::response<http::string_body>;

/// Exit codes of a script.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// Seconds since the start of the program, by the steady clock.
double now();
void sleep_until(double at);
void sleep_for(double seconds);

/// Writes record.txt, one JSON object a line.
class record_file
{
public:
    explicit record_file(const std::string& path);
    void add(json line);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

/// One accepted connection of a server.
struct connection
{
    tcp::socket socket;
    std::string watches;           ///< kind; guarded by the server's mutex
    std::atomic<bool> cut = false; ///< the handler closes without an answer

    explicit connection(tcp::socket accepted) : socket(std::move(accepted))
    {
    }
};

/// A blocking HTTP/1.1 server with a thread for each connection.
class http_server
{
public:
    /// Returns nothing if the connection ends without an answer.
    using handler_t =
        std::function<std::optional<response_t>(const request_t&, connection&)>;

    /// @param[in] port  0: the kernel chooses
    http_server(const std::string& ip, std::uint16_t port, handler_t handler);
    ~http_server();

    std::uint16_t port() const
    {
        return m_port;
    }

    /// Stops, and waits until all handlers have returned.
    void finish();
    /// Stops listening and ends all connections, with a reset if asked for.
    void stop(bool reset);
    /// Ends the connections whose handler waits in a watch of a kind.
    /// @return how many
    std::size_t cut_watches(const std::string& kind);
    /// @param[in] kind  empty: it does not wait in a watch
    void set_watching(connection& link, const std::string& kind);

private:
    void accept();
    void serve(const std::shared_ptr<connection>& link);

    tcp::acceptor m_acceptor;
    handler_t m_handler;
    std::uint16_t m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::set<std::shared_ptr<connection>> m_links;
    bool m_stopping = false;
    std::thread m_thread;
};

/// The platform's metadata store.
class store
{
public:
    explicit store(record_file& record);
    ~store();

    std::string address() const;
    /// The operator's and the replicas' writes.
    /// @return the time of the acknowledgement
    double put(const std::string& kind, const std::string& name,
               const json& spec);
    double remove(const std::string& kind, const std::string& name);
    std::optional<json> get(const std::string& kind, const std::string& name);
    /// Cuts off the watches that wait, as PROTOCOL.md allows.
    void cut_watches(const std::string& kind);

private:
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        json object;
        bool removed = false;
    };

    std::optional<response_t> handle(const request_t& request,
                                     connection& link);
    std::optional<response_t> watch(const std::string& kind,
                                    std::uint64_t since, int wait_ms,
                                    connection& link);
    response_t list(const std::string& kind, const std::string& after);
    response_t write(const std::string& kind, const std::string& name,
                     const std::string& section, const json& body, bool create);
    response_t answer(http::status status, const json& body);
    /// Call with the mutex held.
    void store_object(const std::string& kind, const std::string& name,
                      json object);

    record_file& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, json>> m_kinds;
    std::deque<change> m_history;
    std::unique_ptr<http_server> m_server;
};

/// How a replica works.
struct replica_options
{
    std::string service;
    std::string zone;
    std::string version = "v1";
    int slots = 8;
    int queue = 24;
    int work_ms = 10;
    /// Share of the runs that fail with a 500 of the replica's own.
    double bad_share = 0;
    /// A run whose body contains this text crashes the replica; empty: none.
    std::string poison;
    double down_s = 2; ///< how long it stays away after a crash
};

struct arrival
{
    double at = 0;
    std::string request_id;
    std::string path;
    bool ran = false;
    bool failed = false;
};

/// A replica of a service; registers itself in the store.
class replica
{
public:
    replica(store& registry, record_file& record, std::string name,
            replica_options options);
    ~replica();

    const std::string& id() const
    {
        return m_id;
    }

    /// Its entry is removed although it has not reported "draining".
    /// @return the time of the store's acknowledgement
    double leave_unannounced();
    /// The process exits.
    void exit();
    std::vector<arrival> arrivals();
    int crashes() const
    {
        return m_crashes;
    }

private:
    std::optional<response_t> handle(const request_t& request,
                                     connection& link);
    void start(std::uint16_t port);
    void crash();
    void restart_later();

    store& m_registry;
    record_file& m_record;
    std::string m_name;
    replica_options m_options;
    std::string m_id;
    std::uint16_t m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_slot_free;
    int m_running = 0;
    int m_waiting = 0;
    int m_boot = 0;
    std::atomic<int> m_crashes = 0;
    bool m_exited = false;
    std::vector<arrival> m_arrivals;
    std::unique_ptr<http_server> m_server;
    std::vector<std::unique_ptr<http_server>> m_old_servers;
    std::vector<std::thread> m_restarts;
    std::minstd_rand m_random{std::random_device{}()};
};

/// A host: the program of the deploy file with a settings file.
struct host_options
{
    std::string name;
    std::string zone;
    double cpu_share = 0.25;
    double link_mbps = 1000;
};

class host
{
public:
    host(const std::filesystem::path& folder, const std::string& program,
         const std::string& store_address, const json& zones,
         host_options options);
    ~host();

    void start();
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Waits until the process has ended.
    void wait_for_end();
    bool running() const
    {
        return m_pid > 0;
    }
    /// Whether the process has ended although nobody has ended it.
    bool ended_by_itself();
    const host_options& options() const
    {
        return m_options;
    }
    tcp::endpoint front() const
    {
        return m_front;
    }
    tcp::endpoint ready() const
    {
        return m_ready;
    }

private:
    host_options m_options;
    std::string m_program;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    tcp::endpoint m_front;
    tcp::endpoint m_ready;
    pid_t m_pid = 0;
};

struct answer
{
    int status = 0; ///< 0: none
    std::string body;
    double sent = 0;
    double ended = 0;
    double retry_after = 0;
    bool signed_by_replica = false;
    bool connected = false;
};

/// A consumer's channel; opened when it is first used and kept.
class channel
{
public:
    explicit channel(tcp::endpoint to) : m_to(std::move(to))
    {
    }

    answer call(const request_t& request, double timeout_s);

private:
    bool open(double timeout_s);

    tcp::endpoint m_to;
    std::unique_ptr<tcp::socket> m_socket;
};

/// The installation of a case.
class site
{
public:
    /// @param[in] folder  of the case, for record.txt
    explicit site(const std::filesystem::path& folder);
    ~site();

    host& add_host(host_options options);
    /// Starts all hosts and waits until they are ready.
    /// @return whether they are within 15 s
    bool start_hosts();
    bool wait_ready(const std::vector<host*>& hosts, double limit_s);
    /// Whether the balancer sends new channels to a host.
    bool in_rotation(const host& each);
    replica& add_replica(const std::string& name, replica_options options);
    /// Publishes a desired state.
    double publish(json spec);

    store& platform()
    {
        return *m_store;
    }
    record_file& record()
    {
        return *m_record;
    }
    std::vector<std::unique_ptr<host>>& hosts()
    {
        return m_hosts;
    }
    std::vector<std::unique_ptr<replica>>& replicas()
    {
        return m_replicas;
    }

    static std::string next_id();

private:
    void poll_readiness();

    std::filesystem::path m_temporary;
    std::unique_ptr<record_file> m_record;
    std::unique_ptr<store> m_store;
    std::vector<std::unique_ptr<replica>> m_replicas;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::mutex m_mutex;
    std::map<const host*, int> m_misses;
    std::atomic<bool> m_stopping = false;
    std::thread m_poller;
};

/// A route of a desired state.
json make_route(const std::string& prefix, const std::string& kind,
                const std::string& service, int attempts, int timeout_ms = 3000,
                int aim_ms = 300);
json make_limits();
/// A request of a consumer.
request_t make_request(http::verb method, const std::string& path,
                       const std::string& key, int deadline_ms,
                       const std::string& body = {});

/// Whether the run has its disruption; the variable TROUBLE is not "0".
bool has_trouble();

} // namespace lab
