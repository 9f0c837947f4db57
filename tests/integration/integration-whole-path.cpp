#include <csignal>
#include <fstream>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.hpp"
#include "until.hpp"

using harness::fleet;
using harness::plan;
using harness::until;
using nlohmann::json;

TEST_CASE("a whole path of real processes")
{
    plan wanted;
    wanted.zones = {{"a", 2}, {"b", 1}};
    wanted.engines = {{"e1", "a"}, {"e2", "b"}};
    wanted.services = {{"s1", "a"}};
    fleet all(wanted);

    SECTION("serves a stream and bills it once")
    {
        const auto got = all.chat("a1", 8);
        CHECK(got.status == 200);
        CHECK(got.whole);
        all.check_bills(wanted.prepaid);
        CHECK(all.bills().size() == 1);
    }

    SECTION("serves a whole answer and bills it once")
    {
        const auto got = all.chat("b1", 8, false);
        CHECK(got.status == 200);
        CHECK(json::parse(got.body)["usage"]["completion_tokens"] == 8);
        all.check_bills(wanted.prepaid);
    }

    SECTION("serves a plain POST once, and its repeat from the first answer")
    {
        CHECK(all.order("a1", "k1").status == 200);
        const auto again = all.order("b1", "k1");
        CHECK(again.status == 200);
        CHECK(again.headers.count("Idempotency-Replayed") == 1);
        CHECK(all.orders_run()["k1"] == 1);
    }

    SECTION("refuses what can't be understood and stays as it was")
    {
        httplib::Client client("127.0.0.1", all.router("a1").port());
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
        const std::string good =
            R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
        CHECK(post(good, {}) == 401);
        CHECK(post(good, {{"Authorization", "Bearer wrong"}}) == 401);
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
        auto twice = key;
        twice.emplace("Transfer-Encoding", "chunked");
        twice.emplace("Content-Length", "3");
        CHECK(post("abc", twice) == 400);
        const auto none = client.Get("/nothing", key);
        REQUIRE(none);
        CHECK(none->status == 404);
        CHECK(all.chat("a1", 3).whole);
        CHECK(all.runs().size() == 1);
    }

    SECTION("refuses a bad configuration whole, with its places")
    {
        std::string out;
        CHECK(all.run_cli(
                  {"apply", all.write_objects(500, "[[version]]\nname = \"v\"\n"
                                                   "service = \"none\"\n")},
                  out) == 3);
        CHECK(out.find("all.toml:") != std::string::npos);
        CHECK(out.find("no service is named \"none\"") != std::string::npos);
        CHECK(out.find("can't be lowered") != std::string::npos);
        CHECK(all.chat("a1", 3).whole);
    }

    SECTION("stops gracefully under load without cutting a request")
    {
        std::vector<harness::reply> got(6);
        std::vector<std::thread> callers;
        for (auto& slot : got)
            callers.emplace_back(
                [&all, &slot]
                {
                    slot = all.chat("a1", 400);
                });
        CHECK(until(
            [&]
            {
                return all.status("a1")["reservations"] == 6;
            }));
        all.router("a1").signal(SIGTERM);
        for (auto& caller : callers)
            caller.join();
        for (const auto& slot : got)
            CHECK(slot.whole);
        CHECK(all.router("a1").wait_exit() == 0);
        all.check_bills(wanted.prepaid);
        CHECK(all.bills().size() == 6);
    }
}
