#pragma once
// A small deployment on loopback: the store, replicas and hosts as processes of
// their own. All are ended with it.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.hpp"

namespace review
{

using nlohmann::json;
namespace fs = std::filesystem;

inline void sleep_ms(long long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Exit codes of a script.
enum result
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

/// A port of which the next one is free, too.
inline int free_ports()
{
    static int next =
        20000 + static_cast<int>(std::random_device{}() % 10000) * 2;
    for (int i = 0; i < 2000; ++i, next += 2)
    {
        int first = next;
        int second = next + 1;
        const int a = net::listen_on(first);
        const int b = net::listen_on(second);
        ::close(a);
        ::close(b);
        if (a >= 0 && b >= 0)
        {
            next += 2;
            return first;
        }
    }
    std::exit(could_not_run);
}

struct host
{
    int front = 0;
    int ready = 0;
    int peers = 0;
    int store = 0; ///< 0: the store's first port
    std::string zone = "zone-a";
    pid_t process = -1;
};

class fleet
{
public:
    /// @param[in] folder  of the case; record.txt is written there
    /// @param[in] store_options  further words of the store's command line
    explicit fleet(const fs::path& folder,
                   const std::vector<std::string>& store_options = {})
        : m_bin(fs::read_symlink("/proc/self/exe").parent_path())
    {
        char pattern[] = "/tmp/review-3-XXXXXX";
        m_temporary = ::mkdtemp(pattern);
        m_record = std::ofstream(folder / "record.txt", std::ios::trunc);
        store_port = free_ports();
        std::vector<std::string> command{(m_bin / "store").string(),
                                         std::to_string(store_port)};
        command.insert(command.end(), store_options.begin(),
                       store_options.end());
        m_store = start(command, "store");
        wait(
            [&]
            {
                return net::call(store_port, "GET", "/api/objects/config")
                           .status() == 200;
            });
    }

    ~fleet()
    {
        for (const auto& [process, name] : m_processes)
        {
            ::kill(process, SIGCONT);
            ::kill(process, SIGKILL);
        }
        while (::wait(nullptr) > 0)
            ;
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr)
            fs::remove_all(m_temporary, ignored);
        else
            std::fprintf(stderr, "logs: %s\n", m_temporary.c_str());
    }

    void note(const json& event)
    {
        const std::lock_guard lock(m_mutex);
        m_record << event.dump() << '\n' << std::flush;
    }

    /// Appends what replicas have logged to the record.
    void copy_runs()
    {
        const std::lock_guard lock(m_mutex);
        std::ifstream in(runs_file());
        m_record << in.rdbuf() << std::flush;
    }

    std::vector<json> runs() const
    {
        std::vector<json> all;
        std::ifstream in(runs_file());
        for (std::string line; std::getline(in, line);)
            all.push_back(json::parse(line));
        return all;
    }

    std::string runs_file() const
    {
        return (m_temporary / "runs").string();
    }

    std::string log_file(const std::string& name) const
    {
        return (m_temporary / name).string();
    }

    void write_object(const std::string& kind, const std::string& name,
                      const json& spec)
    {
        const auto body =
            json{{"metadata", {{"name", name}}}, {"spec", spec}}.dump();
        auto answer =
            net::call(store_port, "POST", "/api/objects/" + kind, body);
        if (answer.status() == 409)
            answer = net::call(store_port, "PUT",
                               "/api/objects/" + kind + "/" + name, body);
        if (answer.status() / 100 != 2)
            fail("the store refuses " + kind + "/" + name);
        note({{"at", net::now_ms()},
              {"event", "operator writes"},
              {"object", kind + "/" + name}});
    }

    json read_object(const std::string& kind, const std::string& name) const
    {
        const auto answer =
            net::call(store_port, "GET", "/api/objects/" + kind + "/" + name);
        return json::parse(answer.body, nullptr, false);
    }

    pid_t start_replica(const std::string& id, const std::string& service,
                        const std::string& version,
                        const std::vector<std::string>& options = {})
    {
        std::vector<std::string> command{
            (m_bin / "replica").string(), id,         service, version,
            std::to_string(store_port),   runs_file()};
        command.insert(command.end(), options.begin(), options.end());
        return start(command, id);
    }

    void kill_process(pid_t process)
    {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
        m_processes.erase(process);
    }

    /// Whether a process has ended by itself.
    bool has_ended(pid_t process)
    {
        if (::waitpid(process, nullptr, WNOHANG) != process)
            return false;
        m_processes.erase(process);
        return true;
    }

    /// Removes an object of the store, as the platform does for a replica that
    /// is silent.
    void remove_object(const std::string& kind, const std::string& name)
    {
        net::call(store_port, "DELETE", "/api/objects/" + kind + "/" + name);
    }

    /// Sends SIGTERM to all processes whose names begin so.
    void terminate_all(const std::string& prefix)
    {
        for (const auto& [process, name] : m_processes)
            if (name.starts_with(prefix))
                ::kill(process, SIGTERM);
    }

    /// Starts a host by the command of the deploy file.
    host& start_host(const std::string& name, const std::string& bounds)
    {
        auto& added = hosts[name];
        if (added.front == 0)
        {
            added.front = free_ports();
            added.ready = added.front + 1;
            added.peers = free_ports();
        }
        const auto path = m_temporary / (name + ".toml");
        std::ofstream(path)
            << "nodeName = \"" << name << "\"\nzone = \"" << added.zone
            << "\"\n"
            << "region = \"region-a\"\nip = \"127.0.0.1\"\n"
            << "internalPortRange = [" << added.peers << "," << added.peers + 1
            << "]\nbootstrap = true\nheartbeatMs = 1200\n"
            << "[listen]\nfront = \"127.0.0.1:" << added.front
            << "\"\nready = \"127.0.0.1:" << added.ready << "\"\n"
            << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
               "maxFds = 4100\nlinkMbps = 1000.0\n"
            << "[platform]\naddress = \"127.0.0.1:"
            << (added.store == 0 ? store_port : added.store) << "\"\n[bounds]\n"
            << bounds;
        added.process = start({"target/rhubarbgrade_node"}, name,
                              "RHUBARBGRADE_BOOT=" + path.string());
        return added;
    }

    void wait_ready(const std::string& name)
    {
        const auto port = hosts.at(name).ready;
        if (!wait(
                [&]
                {
                    return net::call(port, "GET", "/api/ready").status() == 200;
                }))
            fail(name + " isn't ready");
    }

    template <typename Condition>
    static bool wait(Condition condition, int limit_ms = 15000)
    {
        for (const auto end = net::now_ms() + limit_ms; net::now_ms() < end;
             sleep_ms(50))
            if (condition())
                return true;
        return false;
    }

    [[noreturn]] void fail(const std::string& reason)
    {
        std::fprintf(stderr, "can't run: %s\n", reason.c_str());
        note({{"event", "can't run"}, {"reason", reason}});
        this->~fleet();
        std::_Exit(could_not_run);
    }

    int store_port = 0;
    std::map<std::string, host> hosts;

private:
    pid_t start(const std::vector<std::string>& command,
                const std::string& name, std::string setting = {})
    {
        std::vector<char*> words;
        for (const auto& each : command)
            words.push_back(const_cast<char*>(each.c_str()));
        words.push_back(nullptr);
        const auto log = log_file(name + ".log");
        const auto process = ::fork();
        if (process == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (!setting.empty())
                ::putenv(setting.data());
            ::execv(words[0], words.data());
            std::_Exit(127);
        }
        m_processes[process] = name;
        return process;
    }

    fs::path m_bin;
    fs::path m_temporary;
    std::ofstream m_record;
    std::mutex m_mutex;
    pid_t m_store = -1;
    std::map<pid_t, std::string> m_processes;
};

/// Bounds as those of the site dysoa.
inline std::string usual_bounds()
{
    return "contactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 8\n"
           "lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n"
           "outerMs = 5000\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n"
           "budgetWindowS = 10\nretryBudgetSlack = 54\nexposureShare = 0.1\n"
           "exposureSlack = 50\nrollbackMs = 5000\nrecoveryS = 12\n";
}

inline json route(const std::string& prefix, const std::string& kind,
                  const std::string& service, int timeout_ms)
{
    return {{"name", "r" + prefix},
            {"hostname", "a.example"},
            {"pathPrefix", prefix},
            {"kind", kind},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", 300},
            {"priority", 1},
            {"service", service},
            {"maxAttempts", kind == "idempotent" ? 2 : 1},
            {"public", false},
            {"resumable", false}};
}

inline json desired_state(int version, const json& routes, const json& services)
{
    return {
        {"version", version},
        {"routes", routes},
        {"services", services},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}},
        {"tenants", json::array({json{{"name", "tenant-a"},
                                      {"apiKeys", json::array({"key-a"})}}})}};
}

inline std::string request(const std::string& method, const std::string& path,
                           const std::string& id, int deadline_ms,
                           const std::string& body = {})
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Token key-a\r\n" +
           (method == "GET"
                ? std::string()
                : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

} // namespace review
