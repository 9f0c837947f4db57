// Peers whose bytes never end, and the memory of a host that reads them.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <string>
#include <string_view>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"
#include "memory.hpp"

using harness::installation;
using harness::peak_memory_kb;
using harness::wait_until;

namespace
{

/// Memory that a host may need.
constexpr long max_memory_kb = 64L * 1024;

/// Whether the endpoint has seen all its connections of a path closed.
bool all_closed(const installation& site, const std::string& path)
{
    return wait_until(
        [&]
        {
            return site.runs(path + "#closed").size() == site.runs(path).size();
        });
}

class connection
{
public:
    explicit connection(int port) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        REQUIRE(::connect(m_socket, reinterpret_cast<sockaddr*>(&address),
                          sizeof address) == 0);
    }

    ~connection()
    {
        ::close(m_socket);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Returns whether the peer has accepted all bytes.
    bool write(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            const auto count =
                ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

private:
    int m_socket;
};

/// The beginning and the repeated bytes of a request that never ends.
struct endless_request
{
    std::string start;
    std::string repeated;
};

const std::string& request_line()
{
    // The same for all ports: it names a path of each.
    static const std::string line =
        "GET /state HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
        "Authorization: Token k1\r\n";
    return line;
}

endless_request endless_request_named(const std::string& name)
{
    const auto chunked = request_line() + "Transfer-Encoding: chunked\r\n\r\n";
    if (name == "line")
        return {request_line() + "X-Field: ", "x"};
    if (name == "headers")
        return {request_line(), "X-Field: x\r\n"};
    if (name == "body")
        return {request_line() + "Content-Length: 900000000000\r\n\r\n", "x"};
    if (name == "chunks")
        return {chunked, "4\r\nbody\r\n"};
    if (name == "size")
        return {chunked, "0"};
    if (name == "extension")
        return {chunked + "5;x=", "x"};
    return {chunked + "0\r\n", "X-Field: x\r\n"};
}

/// Sends a request until the host closes the connection.
/// @return false if the host needs too much memory before
bool is_cut_off(const harness::process& host, const std::string& port,
                const endless_request& request)
{
    constexpr std::size_t block_size = 1UL << 20U;
    std::string block;
    while (block.size() < block_size)
        block += request.repeated;
    connection caller(host.port(port));
    bool open = caller.write(request.start);
    while (open && peak_memory_kb(host.pid()) < max_memory_kb)
        open = caller.write(block);
    return !open;
}

} // namespace

// Guards against a chunk size, a chunk extension or a trailer section that is
// kept whole, however long it is.
TEST_CASE("an answer that never ends is given up, in bounded memory",
          "[endless]")
{
    const std::string mode =
        GENERATE("head", "headers", "interim", "stale", "unsigned", "event",
                 "size", "extension", "trailer");
    const auto [path, service] = GENERATE(table<std::string, std::string>(
        {{"/read/x", "desk"}, {"/book/x", "desk"}, {"/stream/x", "pool"}}));
    if (mode == "event" && service == "desk")
        return; // a plain answer of any length is passed on
    INFO(mode << " " << path);
    installation site;
    site.start_endless_replica("i-1", service, mode);
    site.start_endless_replica("i-2", service, mode);
    site.start_host("h1");
    const auto answer = site.call(
        "h1", path, {{"Token-Usage", "10,5"}, {"Deadline-Ms", "1500"}});
    // A begun stream is broken off. The time limit would give 504.
    if (answer)
        CHECK(answer->status == 502);
    else
        CHECK(path == "/stream/x");
    CHECK(all_closed(site, path));
    CHECK(peak_memory_kb(site.host("h1").pid()) < max_memory_kb);
    CHECK(site.ready("h1"));
}

// Guards against bytes of an answer that are kept for a caller who does not
// read them.
TEST_CASE("an answer that never ends waits for its caller, in bounded memory",
          "[endless]")
{
    const auto path = GENERATE("/read/x", "/stream/x");
    INFO(path);
    installation site;
    site.start_endless_replica("i-1", "desk", "chunks");
    site.start_endless_replica("i-2", "pool", "chunks");
    site.start_host("h1");
    connection caller(site.host("h1").port());
    REQUIRE(caller.write(std::string("POST ") + path +
                         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
                         "Authorization: Token k1\r\nToken-Usage: 10,5\r\n"
                         "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"));
    CHECK(wait_until(
        [&]
        {
            return !site.runs(path + std::string("#closed")).empty();
        }));
    CHECK(peak_memory_kb(site.host("h1").pid()) < max_memory_kb);
    CHECK(site.ready("h1"));
}

// Guards against a request that is kept whole, however long it is, by the port
// for callers, for other hosts, or for readiness checks.
TEST_CASE("a request that never ends is cut off, in bounded memory",
          "[endless]")
{
    const std::string port = GENERATE("listening", "peers", "ready");
    const std::string name = GENERATE("line", "headers", "body", "chunks",
                                      "size", "extension", "trailer");
    INFO(port << " " << name);
    installation site;
    site.start_host("h1");
    CHECK(is_cut_off(site.host("h1"), port, endless_request_named(name)));
    CHECK(peak_memory_kb(site.host("h1").pid()) < max_memory_kb);
    CHECK(site.ready("h1"));
}

// Guards against an answer of the store that is kept whole, however long it is.
TEST_CASE("a store whose answers never end is read in bounded memory",
          "[endless]")
{
    const auto mode = GENERATE("head", "headers", "interim", "stale", "size",
                               "extension", "trailer", "chunks");
    INFO(mode);
    installation site;
    site.start_endless_replica("i-1", "desk", mode);
    site.start_host_beside("h1", site.replica_port("i-1"));
    constexpr std::size_t calls = 20;
    CHECK(wait_until(
        [&]
        {
            return site.event_count("closed") >= calls;
        }));
    CHECK(peak_memory_kb(site.host("h1").pid()) < max_memory_kb);
    CHECK(site.host("h1").running());
}

// Guards against a bound on answers of the store that stops a host for good
// once it has missed many changes.
TEST_CASE("a host that has missed more changes than it reads at once gets the "
          "newest configuration",
          "[endless]")
{
    constexpr int versions = 12;
    installation site;
    site.start_replica("i-1", "desk");
    site.start_host("h1");
    const auto tenants = [](const std::string& key)
    {
        return nlohmann::json{{{"name", "others"}, {"apiKeys", {key}}}};
    };
    site.host("h1").signal(SIGSTOP);
    for (int version = 2; version <= versions; ++version)
        site.publish_configuration(
            version, {{"tenants", tenants("k" + std::to_string(version))},
                      {"padding", std::string(1UL << 20U, 'x')}});
    site.host("h1").signal(SIGCONT);
    CHECK(wait_until(
        [&]
        {
            const auto answer = site.call(
                "h1", "/read/x",
                {{"Authorization", "Token k" + std::to_string(versions)}});
            return answer && answer->status == 200;
        }));
    CHECK(site.log_text("h1").find("too_large=true") != std::string::npos);
}
