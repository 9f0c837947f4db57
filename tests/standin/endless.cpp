// Stand-in for an endpoint in trouble: it answers each request with bytes that
// never end, until the peer closes the connection.
//
// --mode says what the bytes are:
//   head      a header line without an end
//   stale     the body of a response to another request
//   unsigned  the body of a success without a signature
//   event     an event of a stream without an end
//
// Prints "listening PORT". Each request is logged when it arrives and when its
// peer has closed the connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "record.hpp"

DEFINE_string(id, "i-1", "id of this process in the log");
DEFINE_string(mode, "head", "what the bytes are: see the top of the file");
DEFINE_string(record, "/dev/null", "file that requests are appended to");

namespace
{

standin::event_log& event_log()
{
    static standin::event_log log(FLAGS_record);
    return log;
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

/// Reads a request up to the end of its header.
/// @return an empty text if the connection ends before
std::string read_head(int socket)
{
    std::string head;
    std::array<char, 4096> bytes{};
    while (head.find("\r\n\r\n") == std::string::npos)
    {
        const auto count = ::read(socket, bytes.data(), bytes.size());
        if (count <= 0)
            return {};
        head.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return head;
}

std::string header_value(const std::string& head, const std::string& name)
{
    const auto line = head.find("\r\n" + name + ": ");
    if (line == std::string::npos)
        return {};
    const auto begin = line + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// The beginning of the response; more bytes follow without end.
std::string response_start(const std::string& id)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string signature = "Response-Signature: s." + FLAGS_id + "\r\n";
    if (FLAGS_mode == "stale")
        return status + "Request-Id: other\r\n" + signature + "\r\n";
    if (FLAGS_mode == "unsigned")
        return status + "Request-Id: " + id + "\r\n\r\n";
    if (FLAGS_mode == "event")
        return status + "Request-Id: " + id + "\r\n" + signature +
               "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
    return status + "X-Header: ";
}

void serve(int socket)
{
    const auto head = read_head(socket);
    const auto path =
        head.substr(head.find(' ') + 1,
                    head.find(' ', head.find(' ') + 1) - head.find(' ') - 1);
    event_log().append({{"event", "run"}, {"path", path}});
    if (!head.empty() &&
        write_all(socket, response_start(header_value(head, "Request-Id"))))
    {
        const std::string block(4096, 'x');
        while (write_all(socket, block))
        {
        }
    }
    event_log().append({{"event", "closed"}, {"path", path + "#closed"}});
    ::close(socket);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    constexpr int backlog = 64;
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(listener, backlog) != 0 ||
        ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
            0)
        return 1;
    std::cout << "listening " << ntohs(address.sin_port) << std::endl;
    for (;;)
    {
        const int socket = ::accept(listener, nullptr, nullptr);
        if (socket >= 0)
            std::thread(serve, socket).detach();
    }
}
