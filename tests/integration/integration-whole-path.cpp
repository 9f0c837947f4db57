// Requests through a fleet of real processes: streams, plain calls, refusals,
// configuration and a graceful stop.

#include <csignal>
#include <fstream>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.hpp"
#include "until.hpp"

using harness::fleet;
using harness::fleet_config;
using harness::wait_until;
using nlohmann::json;

TEST_CASE("a fleet of real processes")
{
    fleet_config config;
    config.zones = {{"a", 2}, {"b", 1}};
    config.engines = {{"e1", "a"}, {"e2", "b"}};
    config.services = {{"s1", "a"}};
    fleet cluster(config);

    SECTION("serves a stream and bills it once")
    {
        const auto result = cluster.chat("a1", 8);
        CHECK(result.status == 200);
        CHECK(result.complete);
        cluster.check_bills(config.prepaid);
        CHECK(cluster.bills().size() == 1);
    }

    SECTION("serves an answer without streaming and bills it once")
    {
        const auto result = cluster.chat("b1", 8, false);
        CHECK(result.status == 200);
        CHECK(json::parse(result.body)["usage"]["completion_tokens"] == 8);
        cluster.check_bills(config.prepaid);
    }

    SECTION("runs a plain POST once, and replays its answer to a retry")
    {
        CHECK(cluster.post_order("a1", "k1").status == 200);
        const auto retried = cluster.post_order("b1", "k1");
        CHECK(retried.status == 200);
        CHECK(retried.headers.count("Idempotency-Replayed") == 1);
        CHECK(cluster.order_runs()["k1"] == 1);
    }

    SECTION("refuses malformed requests and keeps serving")
    {
        httplib::Client client("127.0.0.1", cluster.router("a1").port());
        const httplib::Headers key{{"Authorization", "Bearer customer-key"}};
        const auto post =
            [&](const std::string& body, const httplib::Headers& headers)
        {
            const auto answer = client.Post("/v1/chat/completions", headers,
                                            body, "application/json");
            REQUIRE(answer);
            CHECK(json::parse(answer->body)["ran"] == "no");
            return answer->status;
        };
        const std::string valid_body =
            R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
        CHECK(post(valid_body, {}) == 401);
        CHECK(post(valid_body, {{"Authorization", "Bearer wrong"}}) == 401);
        CHECK(post("{", key) == 400);
        CHECK(post("[]", key) == 400);
        CHECK(post(R"({"model":"other","messages":[{}]})", key) == 404);
        CHECK(post(R"({"model":"m","messages":[]})", key) == 400);
        CHECK(post(R"({"model":"m","messages":[{}],"max_tokens":0})", key) ==
              400);
        CHECK(post(R"({"model":"m","messages":[{}],"max_tokens":99999999})",
                   key) == 400);
        CHECK(post(R"({"model":"m","messages":[{}],"max_tokens":"x"})", key) ==
              400);
        CHECK(post(std::string(2 << 20, 'x'), key) == 413);
        auto conflicting_lengths = key;
        conflicting_lengths.emplace("Transfer-Encoding", "chunked");
        conflicting_lengths.emplace("Content-Length", "3");
        CHECK(post("abc", conflicting_lengths) == 400);
        const auto unknown_page = client.Get("/nothing", key);
        REQUIRE(unknown_page);
        CHECK(unknown_page->status == 404);
        CHECK(cluster.chat("a1", 3).complete);
        CHECK(cluster.runs().size() == 1);
    }

    SECTION("refuses an invalid configuration as a whole and says where it is "
            "invalid")
    {
        std::string output;
        CHECK(cluster.run_cli({"apply", cluster.write_objects(
                                            500, "[[version]]\nname = \"v\"\n"
                                                 "service = \"none\"\n")},
                              output) == 3);
        CHECK(output.find("all.toml:") != std::string::npos);
        CHECK(output.find("no service is named \"none\"") != std::string::npos);
        CHECK(output.find("can't be lowered") != std::string::npos);
        CHECK(cluster.chat("a1", 3).complete);
    }

    SECTION("stops gracefully under load and completes all requests")
    {
        std::vector<harness::reply> results(6);
        std::vector<std::thread> callers;
        for (auto& response : results)
            callers.emplace_back(
                [&cluster, &response]
                {
                    response = cluster.chat("a1", 400);
                });
        CHECK(wait_until(
            [&]
            {
                return cluster.status("a1")["reservations"] == 6;
            }));
        cluster.router("a1").signal(SIGTERM);
        for (auto& caller : callers)
            caller.join();
        for (const auto& response : results)
            CHECK(response.complete);
        CHECK(cluster.router("a1").wait_exit() == 0);
        cluster.check_bills(config.prepaid);
        CHECK(cluster.bills().size() == 6);
    }
}
