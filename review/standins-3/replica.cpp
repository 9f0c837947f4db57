// Stand-in for a replica, as PROTOCOL.md describes it. It registers itself in
// the store, writes there each 1.2 s, compares Expect-Instance, and logs each
// request that it runs. On SIGTERM it reports "draining", serves on for 2 s
// (drainMs) after the store has accepted that and until it has answered all
// that it runs, and exits.
//
// usage: replica ID SERVICE VERSION STORE_PORT RECORD [KEY=VALUE...]
//   bytes=N      size of the answer's body (800)
//   list_bytes=N the same for paths that end with "list"
//   work_ms=N    time that a run takes (5)
//   fail=SHARE   part of the runs that end with status 500 (0)
//   stride=N     it is an engine: it generates as many tokens as the request
//                allows at most (Token-Usage), in events of N tokens if the
//                path begins with /stream/, else in one body
//   unframed=1   answers of an engine have no length and end with their
//   channel;
//                an event comes each work_ms. A path that ends with /N makes it
//                generate N tokens
//   comment=1    these answers begin with a comment
//   stay=1       it doesn't exit on SIGTERM, but drains on
//   crash_on=TEXT ends the process when it begins to run a request whose body
//                is TEXT

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <mutex>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include "net.hpp"

using nlohmann::json;

namespace
{

std::string id;
std::string service;
std::string version;
int store_port = 0;
int record_file = -1;
std::size_t body_bytes = 800;
std::size_t list_bytes = 800;
int work_ms = 5;
double fail_share = 0;
std::string crash_on;
int stride = 0;
bool unframed = false;
bool comment = false;
bool stays = false;
std::atomic<int> running{0};
volatile std::sig_atomic_t draining = 0;

void log(const json& event)
{
    const auto line = event.dump() + "\n";
    (void)!::write(record_file, line.data(), line.size());
}

/// Byte I of each body; tests can tell whether a body is whole.
char byte_at(std::size_t i)
{
    return static_cast<char>('a' + i % 26);
}

bool fails()
{
    static std::mutex mutex;
    static std::mt19937 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    return std::uniform_real_distribution<double>(0, 1)(random) < fail_share;
}

void log_run(const net::message& request)
{
    log({{"at", net::now_ms()},
         {"event", "run"},
         {"replica", id},
         {"version", version},
         {"request", request.field("request-id")},
         {"line", request.first_line}});
}

void log_generated(const net::message& request, int in, int out)
{
    log({{"at", net::now_ms()},
         {"event", "generated"},
         {"replica", id},
         {"request", request.field("request-id")},
         {"tenant", request.field("tenant-id")},
         {"in", in},
         {"out", out}});
}

/// Sends an event stream without a length; its channel ends it.
void stream_unframed(int connection, const net::message& request, int in,
                     int out)
{
    net::send_all(connection, "HTTP/1.1 200 OK\r\nRequest-Id: " +
                                  request.field("request-id") +
                                  "\r\nResponse-Signature: s." + id +
                                  "\r\nContent-Type: text/event-stream\r\n"
                                  "Connection: close\r\n\r\n" +
                                  (comment ? ": connected\n\n" : ""));
    for (int made = 0, event = 1; made < out; ++event)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(work_ms));
        std::string text = "id: " + std::to_string(event) + "\ndata:";
        for (int i = 0; i < stride && made < out; ++i, ++made)
            text += " token";
        net::send_all(connection, text + "\n\n");
    }
    log_generated(request, in, out);
}

/// Generates the tokens of an answer and sends them.
bool generate(int connection, const net::message& request)
{
    log_run(request);
    const auto usage = request.field("token-usage");
    const int in = std::atoi(usage.c_str());
    const int out = std::atoi(usage.c_str() + usage.find(',') + 1);
    if (unframed)
    {
        const auto& line = request.first_line;
        const auto path = line.substr(0, line.rfind(' '));
        const int wanted = std::atoi(path.c_str() + path.rfind('/') + 1);
        stream_unframed(connection, request, in,
                        wanted != 0 ? std::min(wanted, out) : out);
        return false; // the channel ends the answer
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(work_ms));
    const bool is_stream =
        request.first_line.find(" /stream/") != std::string::npos;
    std::string body;
    for (int made = 0, event = 1; made < out; ++event)
    {
        if (is_stream)
            body += "id: " + std::to_string(event) + "\ndata:";
        for (int i = 0; i < (is_stream ? stride : out) && made < out; ++i)
        {
            body += " token";
            ++made;
        }
        body += is_stream ? "\n\n" : "\n";
    }
    const bool sent = net::send_all(
        connection,
        "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("request-id") +
            "\r\nResponse-Signature: s." + id + "\r\nContent-Type: " +
            (is_stream ? "text/event-stream" : "application/json") +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body);
    log_generated(request, in, out);
    return sent;
}

/// Counts a request while it runs.
struct busy
{
    busy()
    {
        ++running;
    }

    ~busy()
    {
        --running;
    }
};

void serve(int connection)
{
    net::reader in(connection);
    for (;;)
    {
        const auto request = in.read(false);
        if (!request.complete)
            break;
        const busy answering;
        const auto request_id = request.field("request-id");
        if (request.field("expect-instance") != id &&
            !request.field("expect-instance").empty())
        {
            if (!net::send_all(connection,
                               "HTTP/1.1 421 Misdirected Request\r\n"
                               "Replica-Id: " +
                                   id + "\r\nContent-Length: 0\r\n\r\n"))
                break;
            continue;
        }
        if (stride != 0)
        {
            const bool goes_on = generate(connection, request);
            if (!goes_on)
                ::shutdown(connection, SHUT_RDWR);
            if (!goes_on)
                break;
            continue;
        }
        log_run(request);
        std::this_thread::sleep_for(std::chrono::milliseconds(work_ms));
        if (!crash_on.empty() && request.body == crash_on)
        {
            log({{"at", net::now_ms()},
                 {"event", "crash"},
                 {"replica", id},
                 {"request", request_id}});
            std::_Exit(1);
        }
        const bool failed = fails();
        const bool is_list =
            request.first_line.find("list ") != std::string::npos;
        std::string body(is_list ? list_bytes : body_bytes, ' ');
        for (std::size_t i = 0; i < body.size(); ++i)
            body[i] = byte_at(i);
        const std::string head =
            std::string(failed ? "HTTP/1.1 500 Internal Server Error"
                               : "HTTP/1.1 200 OK") +
            "\r\nRequest-Id: " + request_id + "\r\nResponse-Signature: s." +
            id + "\r\nContent-Type: text/plain\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n";
        const bool sent = net::send_all(connection, head + body);
        log({{"at", net::now_ms()},
             {"event", sent ? "answered" : "answer not taken"},
             {"replica", id},
             {"request", request_id},
             {"status", failed ? 500 : 200}});
        if (!sent)
            break;
    }
    ::close(connection);
}

void register_with_store(int port)
{
    const auto born = net::unix_ms();
    for (std::uint64_t sequence = 1;; ++sequence)
    {
        const json spec{{"service", service},
                        {"address", "127.0.0.1:" + std::to_string(port)},
                        {"zone", "zone-a"},
                        {"version", version},
                        {"slots", 128},
                        {"state", draining != 0 ? "draining" : "ready"},
                        {"coldRemainingMs", 0},
                        {"sequence", sequence},
                        {"born", born}};
        const auto body =
            json{{"metadata", {{"name", id}}}, {"spec", spec}}.dump();
        if (sequence == 1)
            net::call(store_port, "POST", "/api/objects/servers", body);
        else
            net::call(store_port, "PUT", "/api/objects/servers/" + id, body);
        const bool before = draining != 0;
        if (before && !stays)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(2000));
            while (running != 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            log({{"at", net::now_ms()}, {"event", "exit"}, {"replica", id}});
            net::call(store_port, "DELETE", "/api/objects/servers/" + id);
            std::_Exit(0);
        }
        for (int i = 0; i < 60 && before == (draining != 0); ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace

int main(int count, char** arguments)
{
    id = arguments[1];
    service = arguments[2];
    version = arguments[3];
    store_port = std::atoi(arguments[4]);
    record_file =
        ::open(arguments[5], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    for (int i = 6; i < count; ++i)
    {
        const std::string option = arguments[i];
        const auto equals = option.find('=');
        const auto name = option.substr(0, equals);
        const auto value = option.substr(equals + 1);
        if (name == "bytes")
            body_bytes = std::stoul(value);
        else if (name == "list_bytes")
            list_bytes = std::stoul(value);
        else if (name == "work_ms")
            work_ms = std::stoi(value);
        else if (name == "fail")
            fail_share = std::stod(value);
        else if (name == "stride")
            stride = std::stoi(value);
        else if (name == "unframed")
            unframed = value == "1";
        else if (name == "stay")
            stays = value == "1";
        else if (name == "comment")
            comment = value == "1";
        else if (name == "crash_on")
            crash_on = value;
    }
    std::signal(SIGTERM,
                [](int)
                {
                    draining = 1;
                });
    std::signal(SIGPIPE, SIG_IGN);
    int port = 0;
    const int acceptor = net::listen_on(port);
    if (acceptor < 0)
        return 1;
    std::thread(register_with_store, port).detach();
    for (;;)
    {
        const int connection = ::accept(acceptor, nullptr, nullptr);
        if (connection < 0)
            continue;
        const int on = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread(serve, connection).detach();
    }
}
