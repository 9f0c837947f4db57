// Requests that are late in the grace period of a planned stop.

#include <arpa/inet.h>
#include <csignal>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "installation.hpp"

using harness::installation;
using harness::json;
using harness::wait_until;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

namespace
{

/// A connection on which a request is sent in parts.
class slow_caller
{
public:
    explicit slow_caller(int port)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        REQUIRE(::connect(m_socket, reinterpret_cast<sockaddr*>(&address),
                          sizeof address) == 0);
    }

    ~slow_caller()
    {
        ::close(m_socket);
    }

    slow_caller(const slow_caller&) = delete;
    slow_caller& operator=(const slow_caller&) = delete;

    void send(const std::string& bytes) const
    {
        REQUIRE(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }

    /// Reads to the end of the connection.
    std::string read_all() const
    {
        return read_until("");
    }

    /// Reads until the text has @a end in it, or to the end of the connection.
    std::string read_until(const std::string& end) const
    {
        std::string text;
        std::array<char, 4096> bytes{};
        ssize_t count = 0;
        while ((end.empty() || text.find(end) == std::string::npos) &&
               (count = ::recv(m_socket, bytes.data(), bytes.size(), 0)) > 0)
            text.append(bytes.data(), static_cast<std::size_t>(count));
        return text;
    }

private:
    int m_socket;
};

/// The head of a request whose body has four bytes.
std::string request_head(const std::string& path, int deadline_ms)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " +
           installation::next_id() +
           "\r\nAuthorization: Token k2\r\nContent-Length: 4\r\nDeadline-Ms: " +
           std::to_string(deadline_ms) + "\r\n\r\n";
}

void wait_for(milliseconds duration)
{
    const auto until = clock_type::now() + duration;
    wait_until(
        [&]
        {
            return clock_type::now() >= until;
        });
}

std::string whole_request(const std::string& path, int deadline_ms = 3000)
{
    return request_head(path, deadline_ms) + "body";
}

/// Whether the text has a whole answer that is no failure: a success, or a
/// refusal that tells when to come again.
bool is_answered(const std::string& text)
{
    return text.starts_with("HTTP/1.1 200") ||
           (text.starts_with("HTTP/1.1 503") &&
            text.find("Retry-After") != std::string::npos);
}

constexpr const char* last_chunk = "0\r\n\r\n";

/// When the balancer has stopped sending connections, with some time over.
constexpr milliseconds late{3200};

} // namespace

TEST_CASE(
    "a request that is read late in a planned stop is refused if it can't "
    "end in time, and served if it can",
    "[stop]")
{
    installation site;
    site.start_replica("i-1", "desk");
    const bool fits = GENERATE(false, true);
    INFO((fits ? "fits" : "does not fit"));
    site.set_replica_fault("i-1", {{"delay_ms", fits ? 100 : 2400}});
    site.start_host("h1", "graceS = 5");
    const slow_caller caller(site.host("h1").port());
    caller.send(request_head("/book/late", fits ? 800 : 3000) + "bo");
    site.host("h1").signal(SIGTERM);
    wait_for(late);
    caller.send("dy");
    const auto answer = caller.read_all();
    const auto status = answer.substr(0, answer.find('\r'));
    if (fits)
    {
        CHECK(status == "HTTP/1.1 200 OK");
        CHECK(site.runs("/book/late").size() == 1);
    }
    else
    {
        CHECK(status == "HTTP/1.1 503 Service Unavailable");
        CHECK(answer.find("Retry-After") != std::string::npos);
        CHECK(site.runs("/book/late").empty());
    }
    CHECK(site.host("h1").wait_exit() == 0);
}

TEST_CASE(
    "a request that still runs at the end of the grace period is answered",
    "[stop]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.set_replica_fault("i-1", {{"delay_ms", 8000}});
    site.start_host("h1", "graceS = 3");
    httplib::Result answer(nullptr, httplib::Error::Unknown);
    std::thread caller(
        [&]
        {
            answer = site.call(
                "h1", "/book/x",
                {{"Deadline-Ms", "9000"}, {"Authorization", "Token k2"}});
        });
    CHECK(wait_until(
        [&]
        {
            return !site.runs("/book/x").empty();
        }));
    site.host("h1").signal(SIGTERM);
    caller.join();
    REQUIRE(answer);
    CHECK(answer->status == 504);
    CHECK(site.host("h1").wait_exit() == 0);
}

TEST_CASE("a request after a stream that kept its connection open is answered "
          "although the host stops",
          "[stop]")
{
    installation site;
    site.start_replica("i-1", "pool");
    site.set_replica_fault("i-1", {{"gap_ms", 200}});
    site.start_host("h1");
    const slow_caller caller(site.host("h1").port());
    caller.send(whole_request("/stream/x"));
    const auto begun = caller.read_until("\r\n\r\n");
    CHECK(begun.find("Connection: close") == std::string::npos);
    CHECK(begun.find(last_chunk) == std::string::npos);
    site.host("h1").signal(SIGTERM);
    REQUIRE(caller.read_until(last_chunk).ends_with(last_chunk));
    caller.send(whole_request("/stream/y"));
    const auto next = caller.read_all();
    CHECK(site.host("h1").wait_exit() == 0);
    INFO(next << site.log_text("h1"));
    CHECK(is_answered(next));
}

TEST_CASE("a request that is sent along with another one is answered although "
          "the host stops",
          "[stop]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.set_replica_fault("i-1", {{"delay_ms", 300}});
    site.start_host("h1");
    const slow_caller caller(site.host("h1").port());
    caller.send(whole_request("/read/x"));
    CHECK(wait_until(
        [&]
        {
            return !site.runs("/read/x").empty();
        }));
    site.host("h1").signal(SIGTERM);
    caller.send(whole_request("/read/y"));
    const auto answers = caller.read_all();
    CHECK(site.host("h1").wait_exit() == 0);
    INFO(answers << site.log_text("h1"));
    const auto next = answers.find("HTTP/1.1 ", 1);
    REQUIRE(next != std::string::npos);
    CHECK(is_answered(answers));
    CHECK(is_answered(answers.substr(next)));
}

TEST_CASE("a request that a late host reads as its stop ends is answered",
          "[stop]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.set_replica_fault("i-1", {{"delay_ms", 400}});
    site.start_host("h1");
    const bool is_new = GENERATE(false, true);
    INFO((is_new ? "on a new connection" : "on a kept connection"));
    std::optional<slow_caller> caller;
    if (!is_new)
    {
        caller.emplace(site.host("h1").port());
        caller->send(whole_request("/read/before"));
        REQUIRE(is_answered(caller->read_until("run 1")));
    }
    site.host("h1").signal(SIGTERM);
    wait_for(milliseconds(500));
    site.host("h1").signal(SIGSTOP);
    if (is_new)
        caller.emplace(site.host("h1").port());
    caller->send(whole_request("/read/x"));
    wait_for(late - milliseconds(500));
    site.host("h1").signal(SIGCONT);
    const auto answer = caller->read_all();
    CHECK(site.host("h1").wait_exit() == 0);
    INFO(answer << site.log_text("h1"));
    CHECK(is_answered(answer));
}

TEST_CASE("requests on connections that wait to be accepted as the host stops "
          "accepting are answered",
          "[stop]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.start_host("h1");
    site.host("h1").signal(SIGTERM);
    wait_for(milliseconds(500));
    site.host("h1").signal(SIGSTOP);
    constexpr int callers = 8;
    std::deque<slow_caller> waiting;
    for (int i = 0; i < callers; ++i)
        waiting.emplace_back(site.host("h1").port())
            .send(whole_request("/read/x"));
    wait_for(late - milliseconds(500));
    site.host("h1").signal(SIGCONT);
    for (const auto& each : waiting)
        CHECK(is_answered(each.read_all()));
    CHECK(site.host("h1").wait_exit() == 0);
}

TEST_CASE("a request that waits for an endpoint as the host stops is answered "
          "by the end of the grace period",
          "[stop]")
{
    const json route{{"name", "/read/"},       {"hostname", "a.example"},
                     {"pathPrefix", "/read/"}, {"kind", "idempotent"},
                     {"timeoutMs", 20000},     {"targetLatencyMs", 18000},
                     {"service", "desk"},      {"maxAttempts", 1}};
    const json routes{{"routes", json::array({route})}};
    installation site(routes);
    site.start_host("h1", "graceS = 3");
    const slow_caller caller(site.host("h1").port());
    caller.send(whole_request("/read/x", 20000));
    wait_for(milliseconds(300));
    site.host("h1").signal(SIGTERM);
    const auto answer = caller.read_all();
    CHECK(site.host("h1").wait_exit() == 0);
    INFO(answer << site.log_text("h1"));
    CHECK(is_answered(answer));
}
