// Stand-ins for the cases of this review: the platform's store, servers,
// clients and hosts, as PROTOCOL.md and DEPLOY.md describe them. Store, servers
// and clients are threads of the case's program; hosts are processes of their
// own, started with the command of deploy/system.toml. All addresses are
// loopback addresses.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace lab
{

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleep_ms(long ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// The record of what was sent, run and answered; one line each.
class record
{
public:
    explicit record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }

    long now_ms() const
    {
        return static_cast<long>(std::chrono::duration_cast<milliseconds>(
                                     clock_type::now() - m_start)
                                     .count());
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard lock(m_mutex);
        va_list arguments;
        va_start(arguments, format);
        std::fprintf(m_file, "%8.3f s  ", static_cast<double>(now_ms()) / 1000);
        std::vfprintf(m_file, format, arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
        va_end(arguments);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
    clock_type::time_point m_start = clock_type::now();
};

inline int listen_at(const std::string& ip, int& port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(handle, 512) != 0)
    {
        ::close(handle);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return handle;
}

/// A TCP port that was free a moment ago.
inline int free_port(const std::string& ip)
{
    int port = 0;
    const int handle = listen_at(ip, port);
    if (handle >= 0)
        ::close(handle);
    return port;
}

inline int connect_to(const std::string& ip, int port, int receive_buffer = 0)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer != 0)
        ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::connect(handle, reinterpret_cast<sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(handle);
        return -1;
    }
    return handle;
}

inline bool send_all(int handle, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = ::send(handle, bytes.data() + sent,
                                  bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// A message in HTTP/1.1: start line, fields (names in lower case) and body.
struct message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        for (const auto& [each, value] : fields)
            if (each == name)
                return value;
        return {};
    }

    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < index; ++i)
        {
            begin = start.find(' ', begin);
            if (begin == std::string::npos)
                return {};
            ++begin;
        }
        return start.substr(begin, start.find(' ', begin) - begin);
    }

    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

enum class read_end
{
    whole,
    closed, ///< the peer closed in order before a byte of a message
    broken, ///< closed or reset inside a message
    reset,  ///< reset before a byte of a message
    timed_out
};

/// Reads messages from a connection.
class reader
{
public:
    explicit reader(int handle) : m_handle(handle)
    {
    }

    /// Reads until `until`, or without a limit.
    read_end read(message& into,
                  std::optional<clock_type::time_point> until = std::nullopt)
    {
        into = {};
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos)
            if (const auto fault = fill(until); fault != read_end::whole)
                return m_bytes.empty()                ? fault
                       : fault == read_end::timed_out ? fault
                                                      : read_end::broken;
        parse_head(m_bytes.substr(0, end), into);
        m_bytes.erase(0, end + 4);
        if (into.field("transfer-encoding") == "chunked")
            return read_chunks(into, until);
        const auto length = static_cast<std::size_t>(
            std::atol(into.field("content-length").c_str()));
        while (m_bytes.size() < length)
            if (const auto fault = fill(until); fault != read_end::whole)
            {
                into.body = m_bytes;
                return fault == read_end::timed_out ? fault : read_end::broken;
            }
        into.body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        return read_end::whole;
    }

    /// Reads what comes next into the buffer.
    read_end fill(std::optional<clock_type::time_point> until)
    {
        pollfd waiting{m_handle, POLLIN, 0};
        const auto left =
            until ? std::max<long>(0, std::chrono::duration_cast<milliseconds>(
                                          *until - clock_type::now())
                                          .count())
                  : -1;
        if (::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return read_end::timed_out;
        char chunk[65536];
        const auto count =
            ::recv(m_handle, chunk, std::min(sizeof chunk, m_most), 0);
        if (count == 0)
            return read_end::closed;
        if (count < 0)
            return read_end::reset;
        m_bytes.append(chunk, static_cast<std::size_t>(count));
        return read_end::whole;
    }

    void set_most(std::size_t most)
    {
        m_most = most;
    }

    std::string& bytes()
    {
        return m_bytes;
    }

private:
    static void parse_head(const std::string& head, message& into)
    {
        std::size_t begin = 0;
        bool first = true;
        while (begin <= head.size())
        {
            auto end = head.find("\r\n", begin);
            if (end == std::string::npos)
                end = head.size();
            const auto line = head.substr(begin, end - begin);
            begin = end + 2;
            if (first)
            {
                into.start = line;
                first = false;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            for (auto& each : name)
                each = static_cast<char>(
                    std::tolower(static_cast<unsigned char>(each)));
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            into.fields.emplace_back(name, value);
        }
    }

    read_end read_chunks(message& into,
                         std::optional<clock_type::time_point> until)
    {
        for (;;)
        {
            std::size_t end = 0;
            while ((end = m_bytes.find("\r\n")) == std::string::npos)
                if (const auto fault = fill(until); fault != read_end::whole)
                    return fault == read_end::timed_out ? fault
                                                        : read_end::broken;
            const auto size = std::strtoul(m_bytes.c_str(), nullptr, 16);
            while (m_bytes.size() < end + 2 + size + 2)
                if (const auto fault = fill(until); fault != read_end::whole)
                    return fault == read_end::timed_out ? fault
                                                        : read_end::broken;
            into.body += m_bytes.substr(end + 2, size);
            m_bytes.erase(0, end + 2 + size + 2);
            if (size == 0)
                return read_end::whole;
        }
    }

    int m_handle;
    std::string m_bytes;
    std::size_t m_most = 65536;
};

/// Accepts connections and serves each in a thread of its own.
class server
{
public:
    using handler_t = std::function<void(int)>;

    server(std::string ip, handler_t handler)
        : m_ip(std::move(ip)), m_handler(std::move(handler))
    {
        m_listener = listen_at(m_ip, m_port);
        m_thread = std::thread(
            [this]
            {
                for (;;)
                {
                    const int handle =
                        ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                    if (handle < 0)
                        return;
                    const int on = 1;
                    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on,
                                 sizeof on);
                    {
                        std::lock_guard lock(m_mutex);
                        m_open.insert(handle);
                    }
                    std::thread(
                        [this, handle]
                        {
                            m_handler(handle);
                            std::lock_guard lock(m_mutex);
                            m_open.erase(handle);
                            ::close(handle);
                        })
                        .detach();
                }
            });
        m_thread.detach();
    }

    /// Resets all connections and takes no more, as the end of a process does.
    void end()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        std::lock_guard lock(m_mutex);
        for (const int each : m_open)
            ::shutdown(each, SHUT_RDWR);
    }

    int port() const
    {
        return m_port;
    }

    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

private:
    std::string m_ip;
    handler_t m_handler;
    int m_port = 0;
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_thread;
};

/// The platform's store.
class store
{
public:
    explicit store(record& log, const std::string& ip = "127.0.0.1")
        : m_record(log),
          m_ip(ip),
          m_server(ip,
                   [this](int handle)
                   {
                       serve(handle, 0);
                   })
    {
    }

    std::string address() const
    {
        return m_server.address();
    }

    /// A further address of the same store.
    /// @param[in] tag  of the calls that come there, see loses_answer
    std::string further_address(int tag)
    {
        m_further.push_back(std::make_unique<server>(m_ip,
                                                     [this, tag](int handle)
                                                     {
                                                         serve(handle, tag);
                                                     }));
        return m_further.back()->address();
    }

    /// The operator's, or a server's, write of an object.
    void put(const std::string& kind, const std::string& name, const json& spec)
    {
        std::lock_guard lock(m_mutex);
        auto& object = m_objects[kind][name];
        if (object.is_object() && object["spec"] == spec)
            return;
        ++m_revision;
        if (!object.is_object())
            object = {{"metadata",
                       {{"name", name},
                        {"created", m_revision},
                        {"finalizers", json::array()},
                        {"deleting", false}}},
                      {"status", nullptr}};
        object["spec"] = spec;
        object["metadata"]["revision"] = m_revision;
        m_history.push_back({m_revision, kind, object, false});
        if (!quiet)
            m_record.line("store acknowledges %s/%s revision %lu: %s",
                          kind.c_str(), name.c_str(),
                          static_cast<unsigned long>(m_revision),
                          spec.dump().substr(0, 120).c_str());
        m_changed.notify_all();
    }

    void remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return;
        ++m_revision;
        auto object = found->second;
        object["metadata"]["revision"] = m_revision;
        m_objects[kind].erase(found);
        m_history.push_back({m_revision, kind, object, true});
        m_record.line("store acknowledges the removal of %s/%s revision %lu",
                      kind.c_str(), name.c_str(),
                      static_cast<unsigned long>(m_revision));
        m_changed.notify_all();
    }

    json get(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end() ? json() : found->second;
    }

    /// Called for each call of a host, before it is carried out; may block.
    /// @return a status to answer with instead, 0 for none, -1 to reset
    std::function<int(const message&)> on_call;

    /// Whether the operator's and servers' writes are left out of the record.
    bool quiet = false;

    /// Most objects of a page of a list.
    std::size_t page_size = 500;

    /// Most bytes of long texts in a page of a list.
    std::size_t page_bytes = 1 << 20;

    /// How old the data are that a list with "serializable" returns, in ms.
    std::function<long(const message&)> staleness;

    /// Whether the answer to a call that has been carried out is lost; the
    /// channel then returns nothing further.
    std::function<bool(const message&, const json& body, int tag)> loses_answer;

private:
    struct change
    {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool removed;
        clock_type::time_point at = clock_type::now();
    };

    static std::string parameter(const std::string& target,
                                 const std::string& name)
    {
        const auto query = target.find('?');
        if (query == std::string::npos)
            return {};
        auto rest = "&" + target.substr(query + 1);
        const auto found = rest.find("&" + name + "=");
        if (found == std::string::npos)
            return {};
        rest = rest.substr(found + name.size() + 2);
        return rest.substr(0, rest.find('&'));
    }

    void serve(int handle, int tag)
    {
        reader input(handle);
        message call;
        while (input.read(call) == read_end::whole)
        {
            int status = on_call ? on_call(call) : 0;
            if (status < 0)
                return;
            json body = json::object();
            if (status == 0)
                status = carry_out(call, body);
            if (status == 200 && loses_answer && loses_answer(call, body, tag))
            {
                while (input.fill(std::nullopt) == read_end::whole)
                    input.bytes().clear();
                return;
            }
            const auto text = body.dump();
            if (!send_all(handle, "HTTP/1.1 " + std::to_string(status) +
                                      " X\r\nContent-Type: "
                                      "application/json\r\nContent-Length: " +
                                      std::to_string(text.size()) + "\r\n\r\n" +
                                      text))
                return;
        }
    }

    int carry_out(const message& call, json& body)
    {
        const auto method = call.word(0);
        const auto target = call.word(1);
        auto path = target.substr(0, target.find('?'));
        const std::string prefix = "/api/objects/";
        if (path.rfind(prefix, 0) != 0)
            return 404;
        path = path.substr(prefix.size());
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        auto name =
            slash == std::string::npos ? std::string() : path.substr(slash + 1);
        const auto status_end = name.rfind("/status");
        const bool of_status =
            status_end != std::string::npos && status_end + 7 == name.size();
        if (of_status)
            name = name.substr(0, status_end);
        std::unique_lock lock(m_mutex);
        if (method == "GET" && name.empty())
        {
            if (const auto watch = parameter(target, "watch"); !watch.empty())
                return wait_for_changes(
                    lock, kind, std::stoull(watch),
                    std::stol("0" + parameter(target, "waitMs")), body);
            auto revision = m_revision;
            const auto* listed = &m_objects[kind];
            std::map<std::string, json> objects;
            if (const long age =
                    parameter(target, "serializable") == "1" && staleness
                        ? staleness(call)
                        : 0;
                age > 0)
            {
                // The state of that time.
                listed = &objects;
                for (const auto& each : m_history)
                {
                    if (each.at > clock_type::now() - milliseconds(age))
                        break;
                    revision = each.revision;
                    if (each.kind != kind)
                        continue;
                    const auto name_of_it =
                        each.object["metadata"]["name"].get<std::string>();
                    if (each.removed)
                        objects.erase(name_of_it);
                    else
                        objects[name_of_it] = each.object;
                }
            }
            body = {{"items", json::array()},
                    {"hasMore", false},
                    {"storeRevision", revision}};
            std::size_t bytes = 0;
            for (auto each = listed->upper_bound(parameter(target, "after"));
                 each != listed->end(); ++each)
            {
                const auto size = each->second["spec"].is_string()
                                      ? each->second["spec"]
                                            .get_ref<const std::string&>()
                                            .size()
                                      : 0;
                if (body["items"].size() == page_size ||
                    (!body["items"].empty() && bytes + size > page_bytes))
                {
                    body["hasMore"] = true;
                    break;
                }
                bytes += size;
                body["items"].push_back(each->second);
            }
            return 200;
        }
        if (method == "GET")
        {
            const auto found = m_objects[kind].find(name);
            if (found == m_objects[kind].end())
                return 404;
            body = found->second;
            return 200;
        }
        const auto sent = json::parse(call.body, nullptr, false);
        if (method == "POST")
        {
            name = sent.at("metadata").at("name").get<std::string>();
            if (m_objects[kind].count(name) != 0)
            {
                body = m_objects[kind][name];
                return 409;
            }
            ++m_revision;
            m_objects[kind][name] = {{"metadata",
                                      {{"name", name},
                                       {"revision", m_revision},
                                       {"created", m_revision},
                                       {"finalizers", json::array()},
                                       {"deleting", false}}},
                                     {"spec", sent.value("spec", json())},
                                     {"status", nullptr}};
        }
        else if (method == "PUT")
        {
            const auto found = m_objects[kind].find(name);
            if (found == m_objects[kind].end())
                return 404;
            auto& object = found->second;
            if (const auto metadata = sent.value("metadata", json::object());
                metadata.contains("revision") &&
                metadata["revision"] != object["metadata"]["revision"])
            {
                body = object;
                return 409;
            }
            const char* part = of_status ? "status" : "spec";
            if (object[part] != sent.value(part, json()))
            {
                object[part] = sent.value(part, json());
                object["metadata"]["revision"] = ++m_revision;
                if (of_status)
                    m_record.line("store: %s/%s has the status %s",
                                  kind.c_str(), name.c_str(),
                                  object[part].dump().c_str());
            }
            else
            {
                body = object;
                return 200;
            }
        }
        else
            return 404;
        body = m_objects[kind][name];
        m_history.push_back({m_revision, kind, body, false});
        m_changed.notify_all();
        return 200;
    }

    int wait_for_changes(std::unique_lock<std::mutex>& lock,
                         const std::string& kind, std::uint64_t revision,
                         long wait_ms, json& body)
    {
        const auto until =
            clock_type::now() + milliseconds(std::min(wait_ms, 30000L));
        const auto add = [&]
        {
            body = {{"events", json::array()}, {"storeRevision", m_revision}};
            for (const auto& each : m_history)
                if (each.kind == kind && each.revision > revision)
                    body["events"].push_back(
                        {{"tombstone", each.removed}, {"object", each.object}});
            return !body["events"].empty();
        };
        while (!add() &&
               m_changed.wait_until(lock, until) != std::cv_status::timeout)
        {
        }
        add();
        return 200;
    }

    record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 10;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::deque<change> m_history;
    std::string m_ip;
    server m_server;
    std::vector<std::unique_ptr<server>> m_further;
};

/// A server (replica); the handler runs each request.
class replica
{
public:
    /// @return false to close the connection
    using handler_t = std::function<bool(int, const message&, replica&)>;

    replica(record& log, std::string id, handler_t handler,
            const std::string& ip = "127.0.0.1")
        : m_record(log),
          m_id(std::move(id)),
          m_handler(std::move(handler)),
          m_server(ip,
                   [this](int handle)
                   {
                       serve(handle);
                   })
    {
    }

    const std::string& id() const
    {
        return m_id;
    }
    std::string address() const
    {
        return m_server.address();
    }
    record& log()
    {
        return m_record;
    }
    void end()
    {
        m_server.end();
    }

    json entry(const std::string& service, const std::string& zone,
               int slots = 16, const std::string& state = "ready",
               const std::string& version = "v1") const
    {
        return {{"service", service},   {"address", address()},
                {"zone", zone},         {"version", version},
                {"slots", slots},       {"state", state},
                {"coldRemainingMs", 0}, {"sequence", 1}};
    }

    std::string head(const message& request,
                     const std::string& status = "200 OK") const
    {
        return "HTTP/1.1 " + status +
               "\r\nRequest-Id: " + request.field("request-id") +
               "\r\nResponse-Signature: " + m_id + "." +
               request.field("request-id") + "\r\n";
    }

private:
    void serve(int handle)
    {
        reader input(handle);
        message request;
        while (input.read(request) == read_end::whole)
        {
            const auto expected = request.field("expect-instance");
            if (!expected.empty() && expected != m_id)
            {
                if (!send_all(
                        handle,
                        "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: " +
                            m_id + "\r\nContent-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            if (!m_handler(handle, request, *this))
                return;
        }
    }

    record& m_record;
    std::string m_id;
    handler_t m_handler;
    server m_server;
};

/// A host: a process of the project's own program.
class host
{
public:
    host(record& log, const std::filesystem::path& folder, std::string name,
         std::string zone, const std::string& ip,
         const std::string& store_address, const std::string& bounds,
         int memory_mb = 260)
        : m_record(log), m_name(std::move(name)), m_ip(ip), m_folder(folder)
    {
        m_front = free_port(ip);
        m_ready = free_port(ip);
        m_settings = (folder / (m_name + ".toml")).string();
        int peers = 0;
        do
            peers = free_port(ip);
        while (peers > 65000);
        std::ofstream(m_settings)
            << "nodeName = \"" << m_name
            << "\"\nrole = \"router\"\nmachineClass = \"front\"\nserves = "
               "[\"front\"]\nip = \""
            << ip << "\"\nzone = \"" << zone
            << "\"\nregion = \"r\"\ninternalPortRange = [" << peers << ","
            << peers + 15
            << "]\nbootstrap = true\ndiscovery = \"platform\"\nentry = "
               "\"vip\"\nheartbeatMs = 1200\n[listen]\nfront = \""
            << front_address() << "\"\nready = \"" << ip << ":" << m_ready
            << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = "
            << memory_mb << "\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
            << "[bounds]\n"
            << bounds << "\n[platform]\naddress = \"" << store_address
            << "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = "
               "2000\nhistoryS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n";
    }

    ~host()
    {
        end();
    }

    /// Ends the process.
    void end()
    {
        if (m_pid > 0)
        {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
        m_pid = 0;
    }

    void start(const std::string& program = "target/rhubarbgrade_node")
    {
        const auto log = (m_folder / (m_name + ".log")).string();
        m_pid = ::fork();
        if (m_pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("RHUBARBGRADE_BOOT", m_settings.c_str(), 1);
            ::execl(program.c_str(), program.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
        m_record.line("%s starts", m_name.c_str());
    }

    bool ready() const
    {
        const int handle = connect_to(m_ip, m_ready);
        if (handle < 0)
            return false;
        reader input(handle);
        message answer;
        const bool answered =
            send_all(handle, "GET /api/ready HTTP/1.1\r\nHost: "
                             "x\r\nConnection: close\r\n\r\n") &&
            input.read(answer, clock_type::now() + milliseconds(1000)) ==
                read_end::whole;
        ::close(handle);
        return answered && answer.status() == 200;
    }

    bool wait_ready(long ms) const
    {
        const auto until = clock_type::now() + milliseconds(ms);
        while (clock_type::now() < until)
        {
            if (ready())
                return true;
            sleep_ms(50);
        }
        return false;
    }

    /// Whether the process has ended by itself.
    bool ended()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return m_pid <= 0;
        m_record.line("%s has ended: status %d, signal %d", m_name.c_str(),
                      WIFEXITED(status) ? WEXITSTATUS(status) : -1,
                      WIFSIGNALED(status) ? WTERMSIG(status) : 0);
        m_pid = 0;
        return true;
    }

    void signal(int number)
    {
        m_record.line("%s gets signal %d (%s)", m_name.c_str(), number,
                      ::strsignal(number));
        ::kill(m_pid, number);
        if (number == SIGKILL)
        {
            ::waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }

    /// Copies the lines of the host's log that have a word into the record.
    void copy_lines(const std::string& word, int most = 5) const
    {
        std::ifstream in((m_folder / (m_name + ".log")).string());
        for (std::string line; most > 0 && std::getline(in, line);)
            if (line.find(word) != std::string::npos)
            {
                m_record.line("log of %s: %s", m_name.c_str(), line.c_str());
                --most;
            }
    }

    /// Resident memory, in KB.
    long memory_kb() const
    {
        std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(in, line);)
            if (line.rfind("VmRSS:", 0) == 0)
                return std::atol(line.c_str() + 6);
        return 0;
    }

    pid_t pid() const
    {
        return m_pid;
    }
    const std::string& name() const
    {
        return m_name;
    }
    const std::string& ip() const
    {
        return m_ip;
    }
    int front() const
    {
        return m_front;
    }
    std::string front_address() const
    {
        return m_ip + ":" + std::to_string(m_front);
    }

private:
    record& m_record;
    std::string m_name;
    std::string m_ip;
    std::filesystem::path m_folder;
    std::string m_settings;
    int m_front = 0;
    int m_ready = 0;
    pid_t m_pid = 0;
};

/// The bounds of the sheet "dysoa".
inline const char* const sheet_bounds =
    "seedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = "
    "4\ndrainMs = 2000\ngraceS = 8\n"
    "lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nouterMs = "
    "5000\nstrictRevocation = false\n"
    "revokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = "
    "10\nretryBudgetSlack = 54\nexposureShare = 0.1\n"
    "exposureSlack = 50\nrollbackMs = 5000\nrecoveryS = 12\npassMs = "
    "120\nreuseWindowS = 7.7\nsettle_ms = 1500\n";

/// A desired state with a route of each kind, as in the sheet "dysoa".
inline json desired_state(int version)
{
    const auto route = [](const char* prefix, const char* kind,
                          const char* service, double timeout, int attempts,
                          bool resumable)
    {
        json made{{"name", std::string("r-") + kind},
                  {"hostname", "a.example"},
                  {"pathPrefix", prefix},
                  {"kind", kind},
                  {"timeoutMs", timeout},
                  {"targetLatencyMs", 300},
                  {"priority", 1},
                  {"service", service},
                  {"maxAttempts", attempts},
                  {"public", false}};
        if (std::string(kind) == "stream")
        {
            made["stickySessions"] = true;
            made["resumable"] = resumable;
            made["targetGapMs"] = 250;
        }
        return made;
    };
    return {{"version", version},
            {"routes",
             {route("/query/", "stream", "pool", 15000.0, 1, false),
              route("/summary/", "stream", "pool", 3000, 2, true),
              route("/file/", "non_idempotent", "app", 1500, 1, false),
              route("/look/", "idempotent", "app", 1500, 2, false)}},
            {"services",
             {{{"name", "pool"},
               {"healthPath", "/healthz"},
               {"maxConnections", 620},
               {"protocol", "h1"},
               {"tls", false},
               {"engine",
                {{"slots", 128},
                 {"kvCapacityTokens", 652207},
                 {"stride", 4},
                 {"models", {{{"name", "m"}}}}}}},
              {{"name", "app"},
               {"healthPath", "/healthz"},
               {"maxConnections", 100},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants",
             {{{"name", "clerks"},
               {"apiKeys", {"key-1"}},
               {"priority", 1},
               {"prepaid", 8866310}}}}};
}

inline std::string request_head(const std::string& method,
                                const std::string& target,
                                const std::string& id, long deadline_ms,
                                const std::string& more = "")
{
    return method + " " + target +
           " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Token key-1\r\n" + more;
}

/// A folder for settings and logs, removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "review2-XXXXXX")
                .string();
        m_path = ::mkdtemp(pattern.data());
    }

    ~temporary_folder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(m_path, ignored);
        else
            std::fprintf(stderr, "logs: %s\n", m_path.c_str());
    }

    const std::filesystem::path& path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

/// Ends the program without the threads of the stand-ins, which never end.
[[noreturn]] inline void leave(const temporary_folder& folder, int status)
{
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(folder.path(), ignored);
    std::_Exit(status);
}

inline bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace lab
