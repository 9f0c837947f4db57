// Requests that routers must refuse, quarantine or drop, and similar ones that
// they must serve.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "fleet.hpp"
#include "until.hpp"

using harness::fleet;
using harness::fleet_config;
using harness::wait_until;

TEST_CASE(
    "a call is refused as not run while the endpoints of all zones drain, "
    "and may later run under the same key")
{
    fleet_config config;
    config.zones = {{"a", 2}, {"b", 2}};
    config.engines = {{"e1", "a"}, {"e2", "b"}};
    config.services = {{"s1", "a"}, {"s2", "b"}};
    config.plain_call_tokens = 3;
    fleet cluster(config);
    for (const char* const name : {"s1", "s2"})
        cluster.set_service_fault(name, {{"draining", true}});
    int tries = 0;
    CHECK(wait_until(
        [&]
        {
            const auto key = "try" + std::to_string(++tries);
            return cluster.post_order("a1", key).ran == "no";
        }));
    CHECK(cluster.post_order("a1", "k2").ran == "no");
    CHECK(cluster.order_runs().count("k2") == 0);
    for (const char* const name : {"s1", "s2"})
        cluster.set_service_fault(name, {{"draining", false}});
    CHECK(wait_until(
        [&]
        {
            return cluster.post_order("a1", "k2").status == 200;
        }));
    CHECK(cluster.order_runs()["k2"] == 1);
}

TEST_CASE("a request is not quarantined for engines that crashed before it")
{
    fleet_config config;
    config.engines = {{"e1", "a"}, {"e2", "a"}, {"e3", "a"}};
    for (const char* const name : {"e1", "e2", "e3"})
        config.engine_flags[name] = {"--crash_on=poison"};
    fleet cluster(config);
    CHECK(cluster.chat("a1", 10, true, {}, "poison").status == 422);
    CHECK(cluster.chat("a2", 10, true, {}, "other").complete);
}

TEST_CASE(
    "concurrent requests are not refused while the budget covers them all")
{
    fleet_config config;
    config.engine_flags = {{"e1", {"--step_us=50", "--capacity=1000"}}};
    config.max_in_flight = 256;
    fleet cluster(config);
    constexpr int requests = 40;
    std::vector<harness::reply> answers(requests);
    std::vector<std::thread> callers;
    for (auto& answer : answers)
        callers.emplace_back(
            [&cluster, &answer]
            {
                answer = cluster.chat("a1", 4000, false);
            });
    for (auto& caller : callers)
        caller.join();
    for (const auto& answer : answers)
        CHECK(answer.status == 200);
    cluster.check_bills(config.prepaid);
}

TEST_CASE("callers that do not read take little memory and are dropped")
{
    fleet_config config;
    config.engine_flags = {{"e1", {"--step_us=50", "--capacity=1000"}}};
    config.max_in_flight = 64;
    config.extra_settings = "stream_buffer_bytes = 16384\n";
    fleet cluster(config);
    const auto resident_bytes = [&]
    {
        std::ifstream in("/proc/" + std::to_string(cluster.router("a1").pid()) +
                         "/statm");
        long pages = 0;
        in >> pages >> pages;
        return pages * ::sysconf(_SC_PAGESIZE);
    };
    const auto before = resident_bytes();
    constexpr int readers = 20;
    const std::string body = R"({"model":"m","stream":true,"max_tokens":4000,)"
                             R"("messages":[{"role":"user","content":"x"}]})";
    const std::string request =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
        "Bearer customer-key\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    std::vector<int> sockets;
    for (int count = 0; count < readers; ++count)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int buffer_bytes = 2048;
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                     sizeof buffer_bytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port =
            htons(static_cast<std::uint16_t>(cluster.router("a1").port()));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&address),
                          sizeof address) == 0);
        REQUIRE(::send(fd, request.data(), request.size(), 0) ==
                static_cast<ssize_t>(request.size()));
        sockets.push_back(fd);
    }
    // Whether a run ends or is stopped by backpressure, the router drops a
    // caller that reads nothing after the reader timeout, and bills the run.
    CHECK(wait_until(
        [&]
        {
            return cluster.runs_started("e1") == readers;
        }));
    CHECK(wait_until(
        [&]
        {
            return cluster.bills().size() == readers;
        },
        60000));
    const auto bytes_per_reader = (resident_bytes() - before) / readers;
    WARN("resident bytes per reader: " << bytes_per_reader);
    CHECK(bytes_per_reader < 300000);
    for (const int fd : sockets)
        ::close(fd);
    cluster.check_bills(config.prepaid);
}
