// Who is refused, blamed or dropped, and that nobody else is.

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
using harness::plan;
using harness::until;

TEST_CASE("a call is refused as not run when every endpoint leaves, also those "
          "of other zones, and may then run under the same key")
{
    plan wanted;
    wanted.zones = {{"a", 2}, {"b", 2}};
    wanted.engines = {{"e1", "a"}, {"e2", "b"}};
    wanted.services = {{"s1", "a"}, {"s2", "b"}};
    wanted.price = 3;
    fleet all(wanted);
    for (const char* const name : {"s1", "s2"})
        all.service_fault(name, {{"draining", true}});
    int tries = 0;
    CHECK(until(
        [&]
        {
            const auto key = "try" + std::to_string(++tries);
            return all.order("a1", key).ran == "no";
        }));
    CHECK(all.order("a1", "k2").ran == "no");
    CHECK(all.orders_run().count("k2") == 0);
    for (const char* const name : {"s1", "s2"})
        all.service_fault(name, {{"draining", false}});
    CHECK(until(
        [&]
        {
            return all.order("a1", "k2").status == 200;
        }));
    CHECK(all.orders_run()["k2"] == 1);
}

TEST_CASE("a request is not blamed for engines that were dead before it")
{
    plan wanted;
    wanted.engines = {{"e1", "a"}, {"e2", "a"}, {"e3", "a"}};
    for (const char* const name : {"e1", "e2", "e3"})
        wanted.engine_flags[name] = {"--crash_on=poison"};
    fleet all(wanted);
    CHECK(all.chat("a1", 10, true, {}, "poison").status == 422);
    CHECK(all.chat("a2", 10, true, {}, "other").whole);
}

TEST_CASE("requests that come at once are not refused while the budget covers "
          "them all")
{
    plan wanted;
    wanted.engine_flags = {{"e1", {"--step_us=50", "--capacity=1000"}}};
    wanted.max_in_flight = 256;
    fleet all(wanted);
    constexpr int requests = 40;
    std::vector<harness::reply> answers(requests);
    std::vector<std::thread> callers;
    for (auto& answer : answers)
        callers.emplace_back(
            [&all, &answer]
            {
                answer = all.chat("a1", 4000, false);
            });
    for (auto& caller : callers)
        caller.join();
    for (const auto& answer : answers)
        CHECK(answer.status == 200);
    all.check_bills(wanted.prepaid);
}

TEST_CASE("callers that stop reading hold little memory")
{
    plan wanted;
    wanted.engine_flags = {{"e1", {"--step_us=50", "--capacity=1000"}}};
    wanted.max_in_flight = 64;
    wanted.settings = "stream_buffer_bytes = 16384\n";
    fleet all(wanted);
    const auto resident = [&]
    {
        std::ifstream in("/proc/" + std::to_string(all.router("a1").pid()) +
                         "/statm");
        long pages = 0;
        in >> pages >> pages;
        return pages * ::sysconf(_SC_PAGESIZE);
    };
    const auto before = resident();
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
        const int small = 2048;
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port =
            htons(static_cast<std::uint16_t>(all.router("a1").port()));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) ==
                0);
        REQUIRE(::send(fd, request.data(), request.size(), 0) ==
                static_cast<ssize_t>(request.size()));
        sockets.push_back(fd);
    }
    // Every run ends on the engine or is held up; either way the readers that
    // take nothing are dropped after the reader timeout and billed.
    CHECK(until(
        [&]
        {
            return all.starts("e1") == readers;
        }));
    CHECK(until(
        [&]
        {
            return all.bills().size() == readers;
        },
        60000));
    const auto each = (resident() - before) / readers;
    WARN("bytes a reader " << each);
    CHECK(each < 300000);
    for (const int fd : sockets)
        ::close(fd);
    all.check_bills(wanted.prepaid);
}
