// Stand-in for an endpoint in trouble: it answers each request with bytes that
// never end, until the peer closes the connection.
//
// --mode says what the bytes are:
//   head      a header line without an end
//   stale     the body of a response to another request
//   unsigned  the body of a success without a signature
//   event     an event of a stream without an end
//   headers   header lines without an end
//   interim   responses that announce another one
//   size      the size of a chunk, after a complete one
//   extension the extension of a chunk, after a complete one
//   trailer   the trailer section, after a complete chunk
//   chunks    chunks of the body
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
DEFINE_uint64(most, 256U << 20U,
              "bytes after which a response stalls, so that a peer that keeps "
              "them all does not exhaust the machine");

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

/// The beginning of a chunked response, with a complete event or text.
std::string chunked_start(const std::string& id, bool stream)
{
    const std::string body = "id: 1\ndata: x\n\n";
    auto start =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." +
        FLAGS_id +
        "\r\nContent-Type: " + (stream ? "text/event-stream" : "text/plain") +
        "\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + body + "\r\n";
    if (FLAGS_mode == "trailer")
        start += "0\r\n";
    if (FLAGS_mode == "extension")
        start += "5;x=";
    return start;
}

bool is_chunked()
{
    return FLAGS_mode == "size" || FLAGS_mode == "extension" ||
           FLAGS_mode == "trailer" || FLAGS_mode == "chunks";
}

/// What the response repeats without end.
std::string repeated_bytes()
{
    if (FLAGS_mode == "size")
        return "0";
    if (FLAGS_mode == "headers" || FLAGS_mode == "trailer")
        return "X-Field: x\r\n";
    if (FLAGS_mode == "interim")
        return "HTTP/1.1 103 Early Hints\r\nX-Field: x\r\n\r\n";
    if (FLAGS_mode == "chunks")
        return "4\r\n:x\n\n\r\n";
    return "x";
}

/// The beginning of the response; more bytes follow without end.
std::string response_start(const std::string& id, bool stream)
{
    if (FLAGS_mode == "interim")
        return {};
    if (is_chunked())
        return chunked_start(id, stream);
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string signature = "Response-Signature: s." + FLAGS_id + "\r\n";
    if (FLAGS_mode == "stale")
        return status + "Request-Id: other\r\n" + signature + "\r\n";
    if (FLAGS_mode == "unsigned")
        return status + "Request-Id: " + id + "\r\n\r\n";
    if (FLAGS_mode == "event")
        return status + "Request-Id: " + id + "\r\n" + signature +
               "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
    if (FLAGS_mode == "headers")
        return status;
    return status + "X-Header: ";
}

/// Returns once the peer has closed the connection.
void write_endlessly(int socket)
{
    constexpr std::size_t least_block = 4096;
    std::string block;
    while (block.size() < least_block)
        block += repeated_bytes();
    for (std::size_t sent = 0; sent < FLAGS_most; sent += block.size())
        if (!write_all(socket, block))
            return;
    read_head(socket);
}

void serve(int socket)
{
    const auto head = read_head(socket);
    const auto path =
        head.substr(head.find(' ') + 1,
                    head.find(' ', head.find(' ') + 1) - head.find(' ') - 1);
    event_log().append({{"event", "run"}, {"path", path}});
    const bool stream = path.find("/stream/") != std::string::npos;
    if (!head.empty() &&
        write_all(socket,
                  response_start(header_value(head, "Request-Id"), stream)))
        write_endlessly(socket);
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
