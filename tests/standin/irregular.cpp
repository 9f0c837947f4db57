// Stand-in for an endpoint whose answers have neither a length nor chunks, or
// are not what they should be. It lists itself in the store, and restarts under
// the same id and address if it crashes.
//
// A request's header field "Fault" names what becomes of its answer, or
// "Resume-Fault" if the request resumes a stream. "FAULT@ID" holds only at the
// endpoint with that id.
//   (none)        whole; ends with its connection
//   chunked       whole, in chunks
//   crash         breaks off between two events, or in the middle of a plain
//                 body, as the process ends
//   cut           the same, while the process lives on
//   reset         the same, by a reset of the connection
//   inside        breaks off inside an event
//   empty         ends after the header
//   half_head     ends inside the header
//   error         status 500 with a text
//   large_error   status 500 with a chunked text that breaks off late
//   text          status 200 with a text instead of events
//   midway        whole, but begins inside an event
//   status_NNN    that status, with a length and a text
//   interim       whole, after a head with status 103
//   interims      the same after many of them
//   interim_body  the same after a head with status 103, a length and a body
//                 that reads like an answer
//   unidentified  a refusal without the request's id; it is sent once more when
//                 the next request arrives on the connection
//
// Prints "listening PORT". Each run is logged.

#include <sys/prctl.h>
#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>

#include <gflags/gflags.h>

#include "delay.hpp"
#include "raw_http.hpp"
#include "record.hpp"

DEFINE_string(id, "i-1", "id of this process in the store");
DEFINE_string(service, "pool", "service in the store");
DEFINE_string(record, "/dev/null", "file that runs are appended to");
DEFINE_int32(store, 0, "port of the store");
DEFINE_int32(events, 6, "events of a stream");
DEFINE_int32(gap_ms, 5, "time before each event");
DEFINE_int32(restart_ms, 300, "time from a crash to the restart");

using standin::chunk;
using standin::header_value;
using standin::write_all;
using std::chrono::milliseconds;

namespace
{

constexpr int events_before_fault = 2;
constexpr std::size_t plain_size = 800;
constexpr std::size_t large_size = 100000;

const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                            "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

standin::event_log& event_log()
{
    static standin::event_log log(FLAGS_record);
    return log;
}

std::string answer_head(const std::string& request, const std::string& status,
                        const std::string& type, const std::string& framing)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: " + type +
           "\r\nRequest-Id: " + header_value(request, "Request-Id") +
           "\r\nResponse-Signature: s." + FLAGS_id + "\r\n" + framing + "\r\n";
}

std::string length_of(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece" +
           std::to_string(number) + "\n\n";
}

void reset(int socket)
{
    const linger at_once{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

/// Ends an answer as its fault says. The connection is closed afterwards.
void break_off(int socket, const std::string& fault)
{
    if (fault == "crash")
        ::_exit(1);
    if (fault == "reset")
        reset(socket);
}

bool breaks_off(const std::string& fault)
{
    return fault == "crash" || fault == "cut" || fault == "reset" ||
           fault == "inside";
}

void send_stream(int socket, const std::string& request,
                 const std::string& fault)
{
    const bool chunked = fault == "chunked";
    const auto framed = [chunked](const std::string& bytes)
    {
        return chunked ? chunk(bytes) : bytes;
    };
    write_all(socket,
              answer_head(request, "200 OK", "text/event-stream",
                          chunked ? "Transfer-Encoding: chunked\r\n" : ""));
    if (fault == "empty")
        return;
    const auto last = header_value(request, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    if (fault == "midway")
        write_all(socket, "ece" + std::to_string(first - 1) + "\n\n");
    for (int i = first; i <= FLAGS_events; ++i)
    {
        standin::delay(milliseconds(FLAGS_gap_ms));
        if (breaks_off(fault) && i - first == events_before_fault)
        {
            if (fault == "inside")
                write_all(socket, event(i).substr(0, event(i).size() / 2));
            break_off(socket, fault);
            return;
        }
        if (!write_all(socket, framed(event(i))))
            return;
    }
    if (chunked)
        write_all(socket, "0\r\n\r\n");
}

void send_plain(int socket, const std::string& request,
                const std::string& fault)
{
    const std::string body(plain_size, 'x');
    write_all(socket, answer_head(request, "200 OK", "text/plain", ""));
    if (!breaks_off(fault))
    {
        write_all(socket, body);
        return;
    }
    write_all(socket, body.substr(0, body.size() / 2));
    standin::delay(milliseconds(FLAGS_gap_ms));
    break_off(socket, fault);
}

void send_large_error(int socket, const std::string& request)
{
    write_all(socket,
              answer_head(request, "500 Internal Server Error", "text/plain",
                          "Transfer-Encoding: chunked\r\n"));
    write_all(socket, chunk(std::string(large_size, 'e')));
    standin::delay(milliseconds(FLAGS_gap_ms));
}

void send_text(int socket, const std::string& request,
               const std::string& status)
{
    const std::string body = "a text in place of events";
    write_all(socket,
              answer_head(request, status, "text/plain", length_of(body)) +
                  body);
}

void send_interim(int socket, const std::string& request,
                  const std::string& framing)
{
    write_all(socket, answer_head(request, "103 Early Hints", "text/plain",
                                  "Link: </style.css>\r\n" + framing));
}

void send_interims(int socket, const std::string& request,
                   const std::string& fault)
{
    if (fault == "interim_body")
    {
        const auto body =
            answer_head(request, "200 OK", "text/plain", "") + "other";
        send_interim(socket, request, length_of(body));
        write_all(socket, body);
        return;
    }
    constexpr int many = 200;
    const int count = fault == "interims" ? many : 1;
    for (int i = 0; i < count; ++i)
        send_interim(socket, request, "");
}

std::string fault_of(const std::string& request)
{
    const bool resumes = !header_value(request, "Last-Event-Id").empty();
    const auto fault =
        header_value(request, resumes ? "Resume-Fault" : "Fault");
    const auto at = fault.find('@');
    if (at == std::string::npos)
        return fault;
    return fault.substr(at + 1) == FLAGS_id ? fault.substr(0, at) : "";
}

/// Answers one request; the connection ends with the answer unless it was
/// refused.
/// @return whether the connection can carry another one
bool answer(int socket, const std::string& request)
{
    const auto fault = fault_of(request);
    const auto path = standin::path_of(request);
    if (fault == "unidentified")
        return write_all(socket, refusal);
    event_log().append({{"event", "run"},
                        {"replica", FLAGS_id},
                        {"path", path},
                        {"id", header_value(request, "Request-Id")}});
    constexpr std::string_view status = "status_";
    if (fault.starts_with("interim"))
        send_interims(socket, request, fault);
    if (fault == "half_head")
        write_all(socket, "HTTP/1.1 200 OK\r\nContent-Le");
    else if (fault == "error")
        send_text(socket, request, "500 Internal Server Error");
    else if (fault == "large_error")
        send_large_error(socket, request);
    else if (fault.starts_with(status))
        send_text(socket, request, fault.substr(status.size()) + " Strange");
    else if (fault == "text")
        send_text(socket, request, "200 OK");
    else if (path.find("/stream/") == std::string::npos)
        send_plain(socket, request, fault);
    else
        send_stream(socket, request, fault);
    return fault == "chunked" && path.find("/stream/") != std::string::npos;
}

void serve(int socket)
{
    for (std::string previous;;)
    {
        const auto request = standin::read_request(socket);
        if (request.empty())
            break;
        if (fault_of(previous) == "unidentified" && !write_all(socket, refusal))
            break;
        if (!answer(socket, request))
            break;
        previous = request;
    }
    ::close(socket);
}

/// Serves until a request crashes the process.
[[noreturn]] void run(sockaddr_in address)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr int backlog = 64;
    const int listener = standin::bind_socket(address);
    if (::listen(listener, backlog) != 0)
        ::_exit(2);
    standin::list_in_store(FLAGS_store, FLAGS_id, FLAGS_service,
                           ntohs(address.sin_port));
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
    standin::bind_socket(address);
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
