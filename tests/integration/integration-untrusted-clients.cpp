// Crowds of clients that keep to no limit, and the memory and descriptors of a
// host that serves ordinary callers beside them.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"
#include "memory.hpp"
#include "until.hpp"

using harness::installation;
using harness::peak_memory_kb;

namespace
{

/// The machine's limits, in the host's settings.
constexpr long memory_mb = 32;
constexpr std::size_t max_descriptors = 400;

/// Descriptors that the platform keeps for files; sockets and pipes share the
/// others.
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t max_sockets = max_descriptors - file_descriptors;

/// Limits for a head and a body in the configuration, in bytes. The crowd's
/// bodies or heads together exceed the machine's memory.
constexpr std::size_t size_limit = 256UL * 1024;
constexpr std::size_t crowd_size = 160;

/// Connections that exceed the machine's descriptors.
constexpr std::size_t silent_crowd_size = 300;

struct descriptor_count
{
    std::size_t sockets = 0; ///< and pipes
    std::size_t files = 0;
};

descriptor_count count_descriptors(pid_t pid)
{
    namespace fs = std::filesystem;
    descriptor_count count;
    for (const auto& each :
         fs::directory_iterator("/proc/" + std::to_string(pid) + "/fd"))
    {
        std::error_code closed_meanwhile;
        const auto target = fs::read_symlink(each, closed_meanwhile).string();
        if (target.starts_with("socket:") || target.starts_with("pipe:"))
            ++count.sockets;
        else if (!closed_meanwhile)
            ++count.files;
    }
    return count;
}

/// Whether connections to a local port have bytes that its process has not
/// read yet.
bool has_unread_bytes(int port)
{
    std::ostringstream suffix;
    suffix << ':' << std::uppercase << std::hex << port;
    std::ifstream in("/proc/net/tcp");
    std::string line;
    std::getline(in, line); // names of the columns
    while (std::getline(in, line))
    {
        std::istringstream columns(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // to be sent, received
        columns >> number >> local >> remote >> state >> queues;
        if (local.ends_with(suffix.str()) && remote != "00000000:0000" &&
            !queues.ends_with(":00000000"))
            return true;
    }
    return false;
}

/// A client's connection. What the host neither reads nor refuses is given up
/// after a second, and the connection stays open.
class connection
{
public:
    explicit connection(int port) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const timeval patience{1, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &patience,
                     sizeof patience);
        // A host without descriptors need not accept it.
        (void)::connect(m_socket, reinterpret_cast<sockaddr*>(&address),
                        sizeof address);
    }

    ~connection()
    {
        ::close(m_socket);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Returns whether the host has accepted all bytes.
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

std::string chunk(std::string_view bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

/// A body of a length in chunks, without the last chunk that ends it.
std::string unended_body(std::size_t length, std::size_t chunk_size)
{
    std::string body;
    for (std::size_t done = 0; done < length;)
    {
        const auto size = std::min(chunk_size, length - done);
        body += chunk(std::string(size, 'x'));
        done += size;
    }
    return body;
}

/// A request line with the header fields that an ordinary request has.
std::string head_of(const std::string& path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " +
           installation::next_id() +
           "\r\nDeadline-Ms: 3000\r\nAuthorization: Token k1\r\n";
}

std::string chunked_head()
{
    return head_of("/read/x") + "Transfer-Encoding: chunked\r\n\r\n";
}

/// A host with low limits, two endpoints and a crowd that stays connected.
class crowded_host
{
public:
    crowded_host()
        : m_site(nlohmann::json{{"limits",
                                 {{"maxHeaderBytes", size_limit},
                                  {"maxBodyBytes", size_limit},
                                  {"headerTimeoutMs", 60000},
                                  {"idleTimeoutMs", 60000}}}})
    {
        m_site.start_replica("i-1", "desk");
        m_site.start_replica("i-2", "pool");
        m_site.start_host("h1", "graceS = 8\n[limits]\nmemoryMb = " +
                                    std::to_string(memory_mb) + "\nmaxFds = " +
                                    std::to_string(max_descriptors));
        const auto files = count_descriptors(host().pid()).files;
        const rlimit limit{max_sockets + files, max_sockets + files};
        REQUIRE(::prlimit(host().pid(), RLIMIT_NOFILE, &limit, nullptr) == 0);
    }

    /// Adds a connection to the crowd.
    connection& connect(const std::string& port = "listening")
    {
        m_crowd.push_back(std::make_unique<connection>(host().port(port)));
        m_most_sockets =
            std::max(m_most_sockets, count_descriptors(host().pid()).sockets);
        return *m_crowd.back();
    }

    /// Adds connections that send the same bytes; each goes on until the host
    /// refuses them.
    void send_from_crowd(const std::string& bytes)
    {
        for (std::size_t i = 0; i < crowd_size; ++i)
            connect().write(bytes);
    }

    /// Waits until the host has read all that the crowd has sent.
    void wait_for_reads()
    {
        REQUIRE(harness::wait_until(
            [&]
            {
                return !has_unread_bytes(host().port());
            }));
    }

    /// Checks what must hold while the crowd is still connected.
    void check(const std::string& ordinary_path = "/read/ordinary")
    {
        // A customer without a budget needs no bound of the tokens.
        const auto answer =
            m_site.call("h1", ordinary_path, {{"Authorization", "Token k2"}});
        CHECK(answer);
        if (answer)
            CHECK(answer->status == 200);
        REQUIRE(host().running());
        m_most_sockets =
            std::max(m_most_sockets, count_descriptors(host().pid()).sockets);
        CHECK(peak_memory_kb(host().pid()) < memory_mb * 1024);
        CHECK(m_most_sockets <= max_sockets);
        CHECK(m_site.ready("h1"));
    }

    installation& site()
    {
        return m_site;
    }

private:
    harness::process& host()
    {
        return m_site.host("h1");
    }

    installation m_site;
    std::vector<std::unique_ptr<connection>> m_crowd;
    std::size_t m_most_sockets = 0;
};

} // namespace

TEST_CASE("a single request at the limit is served", "[single]")
{
    crowded_host host;
    const auto answer = host.site().caller_client("h1").Post(
        "/read/x",
        {{"Host", "a.example"},
         {"Request-Id", installation::next_id()},
         {"Deadline-Ms", "3000"},
         {"Authorization", "Token k1"}},
        std::string(size_limit, 'x'), "text/plain");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    REQUIRE(host.site().runs("/read/x").size() == 1);
    CHECK(host.site().runs("/read/x")[0]["body"].get<std::string>().size() ==
          size_limit);
    host.check();
}

TEST_CASE("bodies announced far over the limit", "[announced]")
{
    crowded_host host;
    host.send_from_crowd(head_of("/read/x") +
                         "Content-Length: 900000000000\r\n\r\n" +
                         std::string(size_limit, 'x'));
    host.wait_for_reads();
    host.check();
}

TEST_CASE("bodies that are announced within the limit and stop just short of "
          "their end",
          "[announced-within]")
{
    crowded_host host;
    host.send_from_crowd(head_of("/read/x") +
                         "Content-Length: " + std::to_string(size_limit) +
                         "\r\n\r\n" + std::string(size_limit - 1, 'x'));
    host.wait_for_reads();
    host.check();
}

TEST_CASE("chunked bodies far over the limit", "[chunked-over]")
{
    crowded_host host;
    host.send_from_crowd(chunked_head() +
                         unended_body(8 * size_limit, 64UL * 1024));
    host.wait_for_reads();
    host.check();
}

TEST_CASE("chunked bodies in large chunks that stop just short of their end",
          "[large-chunks]")
{
    crowded_host host;
    host.send_from_crowd(chunked_head() +
                         unended_body(size_limit - 1, 64UL * 1024));
    host.wait_for_reads();
    host.check();
}

TEST_CASE("chunked bodies in one-byte chunks that stop just short of their end",
          "[small-chunks]")
{
    crowded_host host;
    host.send_from_crowd(chunked_head() + unended_body(size_limit - 1, 1));
    host.wait_for_reads();
    host.check();
}

TEST_CASE("heads that never end", "[heads]")
{
    crowded_host host;
    const std::string field = "X-Field: " + std::string(1000, 'x') + "\r\n";
    std::string head = head_of("/read/x");
    while (head.size() + field.size() < size_limit)
        head += field;
    host.send_from_crowd(head);
    host.wait_for_reads();
    host.check();
}

TEST_CASE("whole bodies at the limit that wait for a slow endpoint",
          "[waiting]")
{
    crowded_host host;
    host.site().list_replica("i-1", "desk", "ready", "v1", crowd_size);
    host.site().set_replica_fault("i-1", {{"delay_ms", 2500}});
    host.send_from_crowd(head_of("/read/x") +
                         "Content-Length: " + std::to_string(size_limit) +
                         "\r\n\r\n" + std::string(size_limit, 'x'));
    host.check("/stream/ordinary");
}

TEST_CASE("connections that send nothing", "[silent]")
{
    const std::string port = GENERATE("listening", "peers", "ready");
    INFO(port);
    crowded_host host;
    for (std::size_t i = 0; i < silent_crowd_size; ++i)
        host.connect(port);
    host.check();
}

TEST_CASE("answers that are never read", "[unread]")
{
    crowded_host host;
    host.site().start_endless_replica("i-3", "desk", "chunks");
    host.site().list_replica("i-3", "desk", "ready", "v1", crowd_size);
    host.send_from_crowd(head_of("/read/x") + "Content-Length: 0\r\n\r\n");
    host.check("/stream/ordinary");
}

TEST_CASE("pipelined requests", "[pipelined]")
{
    crowded_host host;
    host.site().list_replica("i-1", "desk", "ready", "v1", crowd_size);
    host.site().set_replica_fault("i-1", {{"delay_ms", 2500}});
    std::string requests;
    while (requests.size() < size_limit)
        requests += head_of("/read/x") + "Content-Length: 0\r\n\r\n";
    host.send_from_crowd(requests);
    host.check("/stream/ordinary");
}
