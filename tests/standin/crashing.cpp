// Stand-in for an engine that crashes as soon as it begins to answer a request
// with a certain prompt part. It restarts after a while under the same id and
// address, and lists itself in the store each time.
//
//   --part             id of the part, in hexadecimal
//   --close_delimited  responses have neither a length nor chunks and end with
//                      their connection
//
// Prints "listening PORT". Each request and each crash is logged with the time
// of the monotonic clock.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "delay.hpp"
#include "record.hpp"

DEFINE_string(id, "i-1", "id of this process in the store");
DEFINE_string(service, "pool", "service in the store");
DEFINE_string(record, "/dev/null", "file that requests are appended to");
DEFINE_string(part, "", "part that crashes the engine");
DEFINE_int32(store, 0, "port of the store");
DEFINE_int32(events, 6, "events of a stream");
DEFINE_int32(crash_after, 0, "events before the crash");
DEFINE_int32(gap_ms, 30, "time before each event");
DEFINE_int32(restart_ms, 1200, "time from a crash to the restart");
DEFINE_bool(close_delimited, false, "responses end with their connection");

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

standin::event_log& event_log()
{
    static standin::event_log log(FLAGS_record);
    return log;
}

template <typename Clock>
long long now_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               Clock::now().time_since_epoch())
        .count();
}

bool write_all(int socket, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto count = ::write(socket, bytes.data(), bytes.size());
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/// Reads a request with a Content-Length.
/// @return an empty text if the connection ends before
std::string read_request(int socket)
{
    std::string request;
    std::array<char, 4096> bytes{};
    for (;;)
    {
        if (const auto end = request.find("\r\n\r\n"); end != std::string::npos)
        {
            const std::string name = "Content-Length: ";
            const auto length = request.find(name);
            const auto body =
                length == std::string::npos
                    ? 0UL
                    : std::stoul(request.substr(length + name.size()));
            if (request.size() >= end + 4 + body)
                return request;
        }
        const auto count = ::read(socket, bytes.data(), bytes.size());
        if (count <= 0)
            return {};
        request.append(bytes.data(), static_cast<std::size_t>(count));
    }
}

std::string header_value(const std::string& head, const std::string& name)
{
    const auto line = head.find("\r\n" + name + ": ");
    if (line == std::string::npos)
        return {};
    const auto begin = line + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string chunk(const std::string& bytes)
{
    if (FLAGS_close_delimited)
        return bytes;
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

/// Answers one request.
/// @return whether the connection can carry another one
bool answer(int socket, const std::string& request)
{
    const auto path_begin = request.find(' ') + 1;
    const auto path = request.substr(
        path_begin, request.find_first_of("? ", path_begin) - path_begin);
    const auto id = header_value(request, "Request-Id");
    const bool crashes =
        !FLAGS_part.empty() &&
        header_value(request, "Prefix-Hash").find(FLAGS_part + ":") !=
            std::string::npos;
    event_log().append({{"event", "run"},
                        {"replica", FLAGS_id},
                        {"path", path},
                        {"id", id},
                        {"crashes", crashes},
                        {"at_ms", now_ms<std::chrono::steady_clock>()}});
    const std::string framing =
        FLAGS_close_delimited ? "" : "Transfer-Encoding: chunked\r\n";
    if (!write_all(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                           "\r\nRequest-Id: " +
                               id + "\r\nResponse-Signature: s." + FLAGS_id +
                               "\r\n" + framing + "\r\n"))
        return false;
    const auto last = header_value(request, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    for (int i = first; i <= FLAGS_events; ++i)
    {
        standin::delay(milliseconds(FLAGS_gap_ms));
        const auto event = "id: " + std::to_string(i) + "\ndata: piece" +
                           std::to_string(i) + "\n\n";
        if (crashes && i > FLAGS_crash_after)
        {
            event_log().append(
                {{"event", "crash"},
                 {"replica", FLAGS_id},
                 {"path", "crash"},
                 {"at_ms", now_ms<std::chrono::steady_clock>()}});
            write_all(socket, chunk(event.substr(0, event.size() / 2)));
            ::_exit(1);
        }
        if (!write_all(socket, chunk(event)))
            return false;
    }
    return !FLAGS_close_delimited && write_all(socket, "0\r\n\r\n");
}

void serve(int socket)
{
    for (;;)
    {
        const auto request = read_request(socket);
        if (request.empty() || !answer(socket, request))
            break;
    }
    ::close(socket);
}

int bind_socket(sockaddr_in& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    socklen_t size = sizeof address;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) !=
            0)
        ::_exit(2);
    return socket;
}

void list_in_store(int port)
{
    const json body{{"metadata", {{"name", FLAGS_id}}},
                    {"spec",
                     {{"service", FLAGS_service},
                      {"address", "127.0.0.1:" + std::to_string(port)},
                      {"zone", "z1"},
                      {"version", "v1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"born", now_ms<std::chrono::system_clock>()}}}};
    httplib::Client store("127.0.0.1", FLAGS_store);
    store.set_default_headers({{"X-Operator", "1"}});
    const auto created =
        store.Post("/api/objects/servers", body.dump(), "application/json");
    if (created && created->status == 409)
        store.Put("/api/objects/servers/" + FLAGS_id, body.dump(),
                  "application/json");
}

/// Serves until a request crashes the process.
[[noreturn]] void run(sockaddr_in address)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr int backlog = 64;
    const int listener = bind_socket(address);
    if (::listen(listener, backlog) != 0)
        ::_exit(2);
    list_in_store(ntohs(address.sin_port));
    for (;;)
    {
        const int socket = ::accept(listener, nullptr, nullptr);
        if (socket >= 0)
            std::thread(serve, socket).detach();
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // Reserves the port; connections are refused while no child listens on it.
    bind_socket(address);
    std::cout << "listening " << ntohs(address.sin_port) << std::endl;
    for (;;)
    {
        const auto child = ::fork();
        if (child == 0)
            run(address);
        ::waitpid(child, nullptr, 0);
        standin::delay(milliseconds(FLAGS_restart_ms));
    }
}
