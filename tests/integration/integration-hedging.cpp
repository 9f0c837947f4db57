// Hedged requests of rhubarbgrade_node as a process: an endpoint becomes slow
// for reads, and requests that may run once are left alone.

#include <chrono>
#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace
{

constexpr int learned_requests = 24; ///< more than a quantile needs
constexpr int slow_ms = 2500;
constexpr milliseconds in_time{1500};

httplib::Headers headers_of(const std::string& id)
{
    return {{"Host", "a.example"},
            {"Request-Id", id},
            {"Deadline-Ms", "3000"},
            {"Authorization", "Token k1"}};
}

/// Endpoints at which the requests with an id have run.
std::set<std::string> endpoints_of(const installation& site,
                                   const std::string& path,
                                   const std::string& id)
{
    std::set<std::string> endpoints;
    for (const auto& run : site.runs(path))
        if (run["id"] == id)
            endpoints.insert(run["replica"]);
    return endpoints;
}

void start(installation& site, const std::vector<std::string>& options)
{
    site.start_replica("i-1", "desk");
    site.start_replica("i-2", "desk");
    site.start_host("h1", "graceS = 8", 0, options);
    for (int i = 0; i < learned_requests; ++i)
        REQUIRE(site.call("h1", "/read/x")->status == 200);
    site.set_replica_fault("i-1", {{"delay_ms", slow_ms}});
}

} // namespace

TEST_CASE("a read at a slow endpoint is answered by another one, once",
          "[hedging]")
{
    installation site;
    start(site, {"--hedge-share", "1"});
    auto client = site.caller_client("h1");
    client.set_keep_alive(true);
    int hedged = 0;
    // Several on one connection: a late answer of the slow endpoint must not
    // be taken for the answer to a later request.
    CHECK(wait_until(
        [&]
        {
            const auto id = installation::next_id();
            const auto sent_at = steady_clock::now();
            const auto answer =
                client.Post("/read/late", headers_of(id), "b", "text/plain");
            REQUIRE(answer);
            CHECK(answer->status == 200);
            CHECK(answer->get_header_value("Request-Id") == id);
            CHECK(answer->get_header_value("Response-Signature") == "s.i-2");
            CHECK(steady_clock::now() - sent_at < in_time);
            const auto endpoints = endpoints_of(site, "/read/late", id);
            CHECK(endpoints.contains("i-2"));
            if (endpoints.size() == 2)
                ++hedged;
            return hedged == 3;
        }));
    for (const auto& run : site.runs("/read/late"))
        CHECK(std::stoi(run["headers"]["Deadline-Ms"].get<std::string>()) <=
              3000);
}

TEST_CASE("a request that may run once is not hedged", "[hedging]")
{
    installation site;
    start(site, {"--hedge-share", "1"});
    for (int i = 0; i < 6; ++i)
    {
        const auto id = installation::next_id();
        const auto answer = site.call("h1", "/book/late", {{"Request-Id", id}});
        REQUIRE(answer);
        CHECK(endpoints_of(site, "/book/late", id).size() == 1);
    }
}

TEST_CASE("without the operators' consent nothing is hedged", "[hedging]")
{
    installation site;
    start(site, {});
    for (int i = 0; i < 6; ++i)
    {
        const auto id = installation::next_id();
        const auto answer = site.call("h1", "/read/late", {{"Request-Id", id}});
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(endpoints_of(site, "/read/late", id).size() == 1);
    }
}
