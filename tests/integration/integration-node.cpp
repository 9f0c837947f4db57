// Hosts on the users' platform as real processes, before a store and endpoints
// that speak its protocol: the whole path, retries, budgets, configuration,
// drains, troubles of the store.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::prepaid;
using harness::process;
using harness::until;
using nlohmann::json;
namespace fs = std::filesystem;

namespace
{

std::string events(int from, int to)
{
    std::string text;
    for (int i = from; i <= to; ++i)
        text += "id: " + std::to_string(i) + "\ndata: piece" +
                std::to_string(i) + "\n\n";
    return text;
}

} // namespace

TEST_CASE("requests go the whole path with the right heads", "[node]")
{
    installation site;
    site.add_replica("i-1", "desk");
    site.add_replica("i-2", "pool");
    site.start_host("h1");
    const auto plain = site.call("h1", "/book/x", {{"Hold", "h"}});
    REQUIRE(plain);
    CHECK(plain->status == 200);
    CHECK(plain->get_header_value("Response-Signature") == "s.i-1");
    const auto runs = site.runs("/book/x");
    REQUIRE(runs.size() == 1);
    const auto& heads = runs[0]["headers"];
    CHECK(heads["Tenant-Id"] == "clerks");
    CHECK(heads["Expect-Instance"] == "i-1");
    CHECK(std::stoi(heads["Deadline-Ms"].get<std::string>()) <= 3000);
    CHECK_FALSE(heads.contains("Authorization"));
    CHECK_FALSE(heads.contains("Hold"));
    const auto stream = site.call("h1", "/stream/x", {{"Token-Usage", "10,5"}});
    REQUIRE(stream);
    CHECK(stream->status == 200);
    CHECK(stream->body == events(1, 5));
    CHECK(site.call("h1", "/none/")->status == 404);
    CHECK(site.call("h1", "/book/x", {{"Authorization", "Token no"}})->status ==
          401);
}

TEST_CASE("requests that break the limits harm nothing", "[node]")
{
    installation site;
    site.add_replica("i-1", "desk");
    site.start_host("h1");
    const std::string large(30000, 'x');
    CHECK(site.call("h1", "/read/x", {{"X-Large", large}})->status == 431);
    const auto body = site.caller("h1").Post(
        "/read/x", {{"Host", "a.example"}, {"Authorization", "Token k1"}},
        large, "text/plain");
    REQUIRE(body);
    CHECK(body->status == 413);
    CHECK(site.call("h1", "/read/x")->status == 200);
    CHECK(site.runs("/read/x").size() == 1);
}

TEST_CASE("changed settings are taken over while running", "[node]")
{
    const std::string no_retries =
        "graceS = 8\nretryBudgetRatio = 0\nretryBudgetSlack = 0";
    installation site;
    site.add_replica("i-1", "desk");
    site.add_replica("i-2", "desk");
    site.start_host("h1", no_retries);
    site.replica_fault("i-1", {{"lose_answer", true}});
    site.replica_fault("i-2", {{"lose_answer", true}});
    CHECK(site.call("h1", "/read/before")->status == 502);
    CHECK(site.runs("/read/before").size() == 1);
    int calls = 0;
    const auto retries_begin = [&]
    {
        const auto path = "/read/" + std::to_string(++calls);
        return site.call("h1", path)->status == 502 &&
               site.runs(path).size() == 2;
    };
    SECTION("after a signal")
    {
        site.write_settings("h1");
        site.host("h1").signal(SIGHUP);
        CHECK(until(retries_begin));
    }
    SECTION("without one")
    {
        site.write_settings("h1");
        CHECK(until(retries_begin));
    }
    SECTION("faulty ones change nothing and are logged")
    {
        site.write_settings("h1", "drainMs = \"soon\"");
        site.host("h1").signal(SIGHUP);
        CHECK(until(
            [&]
            {
                return site.written("h1").find("bounds.drainMs") !=
                       std::string::npos;
            }));
        CHECK_FALSE(retries_begin());
    }
}

TEST_CASE("only what may be repeated is sent again", "[node]")
{
    installation site;
    site.add_replica("i-1", "desk");
    site.add_replica("i-2", "desk");
    site.start_host("h1");
    SECTION("a lost answer")
    {
        site.replica_fault("i-1", {{"lose_answer", true}});
        site.replica_fault("i-2", {{"lose_answer", true}});
        CHECK(site.call("h1", "/book/x")->status == 502);
        CHECK(site.runs("/book/x").size() == 1);
        CHECK(site.call("h1", "/read/x")->status == 502);
        CHECK(site.runs("/read/x").size() == 2);
    }
    SECTION("a refusal")
    {
        site.replica_fault("i-1", {{"shed", true}});
        for (int i = 0; i < 6; ++i)
            CHECK(site.call("h1", "/book/x")->status == 200);
        site.replica_fault("i-2", {{"shed", true}});
        const auto refused = site.call("h1", "/book/y");
        CHECK(refused->status == 503);
        CHECK(refused->has_header("Retry-After"));
        CHECK(site.runs("/book/y").empty());
    }
}

TEST_CASE("a stream goes on at another endpoint, no piece twice", "[node]")
{
    installation site;
    site.add_replica("i-1", "pool");
    site.add_replica("i-2", "pool");
    for (const auto* id : {"i-1", "i-2"})
        site.replica_fault(id, {{"events", 6}, {"break_after", 3}});
    site.start_host("h1");
    const auto resumed =
        site.call("h1", "/stream/resumed/x", {{"Token-Usage", "10,6"}});
    REQUIRE(resumed);
    CHECK(resumed->body == events(1, 6));
    const auto runs = site.runs("/stream/resumed/x");
    REQUIRE(runs.size() == 2);
    CHECK(runs[1]["headers"]["Last-Event-Id"] == "3");
    // An endpoint that fails instead of going on adds nothing to the answer.
    for (const auto* id : {"i-1", "i-2"})
        site.replica_fault(
            id, {{"events", 6}, {"break_after", 3}, {"resume_status", 500}});
    CHECK_FALSE(
        site.call("h1", "/stream/resumed/z", {{"Token-Usage", "10,6"}}));
    // Where the route doesn't allow it, the answer ends as broken.
    const auto broken = site.call("h1", "/stream/y", {{"Token-Usage", "10,6"}});
    CHECK_FALSE(broken);
    CHECK(site.runs("/stream/y").size() == 1);
}

TEST_CASE("hosts together spend no more than the budget, over kills", "[node]")
{
    installation site;
    site.add_replica("i-1", "pool");
    site.start_host("h1");
    site.start_host("h2");
    int answered = 0;
    const auto spend = [&](int calls)
    {
        for (int i = 0; i < calls; ++i)
        {
            const auto answer = site.call(i % 2 == 0 ? "h1" : "h2", "/stream/x",
                                          {{"Token-Usage", "495,5"}});
            if (answer && answer->status == 200)
                ++answered;
        }
    };
    spend(6);
    CHECK(answered == 6);
    SECTION("kill")
    {
        site.host("h1").kill();
        site.start_host("h1");
    }
    SECTION("lost and late writes")
    {
        site.store_fault({{"lose_answers", 4}, {"late_ms", 1500}});
    }
    SECTION("graceful stop")
    {
        site.host("h1").signal(SIGTERM);
        CHECK(site.host("h1").wait_exit() == 0);
        site.start_host("h1");
    }
    spend(40);
    CHECK(answered * 500 <= prepaid);
    CHECK(answered >= 12);
    const auto last = site.call("h2", "/stream/x", {{"Token-Usage", "9000,5"}});
    CHECK((last->status == 402 || last->status == 429));
}

TEST_CASE("configuration and drains are followed over lost history", "[node]")
{
    installation site;
    for (int i = 1; i <= 7; ++i) // more than a page
        site.add_replica("i-" + std::to_string(i), "desk");
    site.start_host("h1");
    site.put_object("servers", "unreadable", {{"state", 7}});
    site.store_fault({{"compact", true}});
    for (int i = 2; i <= 7; ++i)
        site.list_replica("i-" + std::to_string(i), "desk", "draining");
    site.put_configuration(
        2, {{"tenants", {{{"name", "clerks"}, {"apiKeys", {"k3"}}}}}});
    CHECK(until(
        [&]
        {
            const auto answer =
                site.call("h1", "/read/x", {{"Authorization", "Token k3"}});
            return answer && answer->status == 200;
        }));
    CHECK(site.call("h1", "/read/x")->status == 401);
    const auto before = site.runs("/read/z").size();
    CHECK(before == 0);
    CHECK(until(
        [&]
        {
            const auto answer =
                site.call("h1", "/read/z", {{"Authorization", "Token k3"}});
            return answer &&
                   answer->get_header_value("Response-Signature") == "s.i-1";
        }));
}

TEST_CASE("a host that the store refuses learns from its peers", "[node]")
{
    installation site;
    site.add_replica("i-1", "desk");
    site.start_host("h1");
    site.start_host("h2");
    // Both hosts know each other once both stand in the shared account.
    CHECK(until(
        [&]
        {
            const auto book = site.store().Get("/api/objects/escrow/main");
            return book && book->status == 200 &&
                   json::parse(book->body)["spec"]["hosts"].size() == 2;
        }));
    site.store_fault({{"refuse", 503}});
    CHECK(site.call("h1", "/read/x")->status == 200);
    site.store_fault({});
    site.put_configuration(
        5, {{"tenants", {{{"name", "clerks"}, {"apiKeys", {"k5"}}}}}});
    for (const auto* name : {"h1", "h2"})
        CHECK(until(
            [&]
            {
                const auto answer =
                    site.call(name, "/read/x", {{"Authorization", "Token k5"}});
                return answer && answer->status == 200;
            }));
}

TEST_CASE("a stop cuts no request in flight", "[node]")
{
    installation site;
    site.add_replica("i-1", "desk");
    site.replica_fault("i-1", {{"delay_ms", 1500}});
    site.start_host("h1");
    httplib::Result answer(nullptr, httplib::Error::Unknown);
    std::thread waiting(
        [&]
        {
            answer = site.call("h1", "/book/x");
        });
    CHECK(until(
        [&]
        {
            return !site.runs("/book/x").empty();
        }));
    site.host("h1").signal(SIGTERM);
    CHECK(until(
        [&]
        {
            return !site.ready("h1");
        }));
    waiting.join();
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(site.host("h1").wait_exit() == 0);
}

TEST_CASE("faulty settings are listed and nothing is served", "[node]")
{
    const auto path = fs::temp_directory_path() /
                      ("rhubarbgrade-bad-" + std::to_string(::getpid()));
    std::ofstream(path) << "nodeName = 3\n[listen]\nfront = \"nowhere\"\n";
    const auto log = path.string() + ".log";
    const auto command = std::vector<std::string>{
        std::string(RHUBARBGRADE_BUILD) + "/rhubarbgrade_node", path.string()};
    CHECK_THROWS(process(command, log));
    std::ifstream in(log);
    const std::string text(std::istreambuf_iterator<char>(in), {});
    CHECK(text.find("nodeName") != std::string::npos);
    CHECK(text.find("listen.front") != std::string::npos);
    CHECK(text.find("platform.address") != std::string::npos);
    fs::remove(path);
    fs::remove(log);
}
