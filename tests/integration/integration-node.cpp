// Tests of rhubarbgrade_node as a process, with stand-ins for the platform's
// store and the endpoints: request path, retries, budgets, configuration,
// drains and faults of the store.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "../../src/peers/peer_state.hpp"
#include "installation.hpp"

using harness::installation;
using harness::prepaid_tokens;
using harness::process;
using harness::wait_until;
using nlohmann::json;
namespace fs = std::filesystem;

namespace
{

std::string stream_text(int from, int to)
{
    std::string text;
    for (int i = from; i <= to; ++i)
        text += "id: " + std::to_string(i) + "\ndata: piece" +
                std::to_string(i) + "\n\n";
    return text;
}

} // namespace

TEST_CASE("requests and responses carry the expected headers", "[node]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.start_replica("i-2", "pool");
    site.start_host("h1");
    const auto response = site.call("h1", "/book/x", {{"Hold", "h"}});
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->get_header_value("Response-Signature") == "s.i-1");
    const auto runs = site.runs("/book/x");
    REQUIRE(runs.size() == 1);
    const auto& headers = runs[0]["headers"];
    CHECK(headers["Tenant-Id"] == "clerks");
    CHECK(headers["Expect-Instance"] == "i-1");
    CHECK(std::stoi(headers["Deadline-Ms"].get<std::string>()) <= 3000);
    CHECK_FALSE(headers.contains("Authorization"));
    CHECK_FALSE(headers.contains("Hold"));
    const auto stream = site.call("h1", "/stream/x", {{"Token-Usage", "10,5"}});
    REQUIRE(stream);
    CHECK(stream->status == 200);
    CHECK(stream->body == stream_text(1, 5));
    CHECK(site.call("h1", "/none/")->status == 404);
    CHECK(site.call("h1", "/book/x", {{"Authorization", "Token no"}})->status ==
          401);
}

TEST_CASE("requests over the size limits are refused and others are served",
          "[node]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.start_host("h1");
    const std::string oversized(30000, 'x');
    CHECK(site.call("h1", "/read/x", {{"X-Large", oversized}})->status == 431);
    const auto body = site.caller_client("h1").Post(
        "/read/x", {{"Host", "a.example"}, {"Authorization", "Token k1"}},
        oversized, "text/plain");
    REQUIRE(body);
    CHECK(body->status == 413);
    CHECK(site.call("h1", "/read/x")->status == 200);
    CHECK(site.runs("/read/x").size() == 1);
}

TEST_CASE("changed settings are applied without a restart", "[node]")
{
    const std::string no_retries =
        "graceS = 8\nretryBudgetRatio = 0\nretryBudgetSlack = 0";
    installation site;
    site.start_replica("i-1", "desk");
    site.start_replica("i-2", "desk");
    site.start_host("h1", no_retries);
    site.set_replica_fault("i-1", {{"lose_answer", true}});
    site.set_replica_fault("i-2", {{"lose_answer", true}});
    CHECK(site.call("h1", "/read/before")->status == 502);
    CHECK(site.runs("/read/before").size() == 1);
    int calls = 0;
    const auto is_retried = [&]
    {
        const auto path = "/read/" + std::to_string(++calls);
        return site.call("h1", path)->status == 502 &&
               site.runs(path).size() == 2;
    };
    SECTION("after a signal")
    {
        site.write_settings("h1");
        site.host("h1").signal(SIGHUP);
        CHECK(wait_until(is_retried));
    }
    SECTION("without a signal")
    {
        site.write_settings("h1");
        CHECK(wait_until(is_retried));
    }
    SECTION("invalid settings are logged and change nothing")
    {
        site.write_settings("h1", "drainMs = \"soon\"");
        site.host("h1").signal(SIGHUP);
        CHECK(wait_until(
            [&]
            {
                return site.log_text("h1").find("bounds.drainMs") !=
                       std::string::npos;
            }));
        CHECK_FALSE(is_retried());
    }
}

TEST_CASE("a request is retried only if that is safe", "[node]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.start_replica("i-2", "desk");
    site.start_host("h1");
    SECTION("the response is lost: only idempotent requests are retried")
    {
        site.set_replica_fault("i-1", {{"lose_answer", true}});
        site.set_replica_fault("i-2", {{"lose_answer", true}});
        CHECK(site.call("h1", "/book/x")->status == 502);
        CHECK(site.runs("/book/x").size() == 1);
        CHECK(site.call("h1", "/read/x")->status == 502);
        CHECK(site.runs("/read/x").size() == 2);
    }
    SECTION("the endpoint refuses without running: always retried")
    {
        site.set_replica_fault("i-1", {{"shed", true}});
        for (int i = 0; i < 6; ++i)
            CHECK(site.call("h1", "/book/x")->status == 200);
        site.set_replica_fault("i-2", {{"shed", true}});
        const auto refused = site.call("h1", "/book/y");
        CHECK(refused->status == 503);
        CHECK(refused->has_header("Retry-After"));
        CHECK(site.runs("/book/y").empty());
    }
}

TEST_CASE("an endpoint whose bytes never end holds no caller until the time "
          "limit",
          "[node]")
{
    const std::string mode = GENERATE("head", "stale", "unsigned", "event");
    installation site;
    site.start_endless_replica("i-1", "pool", mode);
    site.start_endless_replica("i-2", "desk", mode);
    site.start_host("h1");
    INFO(mode);
    const auto is_closed = [&](const std::string& path)
    {
        return wait_until(
            [&]
            {
                return site.runs(path + "#closed").size() ==
                       site.runs(path).size();
            });
    };
    // 504 would mean that the time limit was reached.
    const auto stream = site.call("h1", "/stream/x", {{"Token-Usage", "10,5"}});
    REQUIRE(stream);
    CHECK(stream->status == 502);
    CHECK(site.runs("/stream/x").size() == 1);
    CHECK(is_closed("/stream/x"));
    if (mode == "event")
        return; // a plain response of any length is passed on
    const auto booking = site.call("h1", "/book/x");
    REQUIRE(booking);
    CHECK(booking->status == 502);
    CHECK(site.runs("/book/x").size() == 1);
    CHECK(is_closed("/book/x"));
    site.start_replica("i-3", "desk");
    CHECK(wait_until(
        [&]
        {
            const auto answer = site.call("h1", "/read/x");
            return answer && answer->status == 200;
        }));
}

TEST_CASE("a broken stream resumes at another endpoint without repeated events",
          "[node]")
{
    installation site;
    site.start_replica("i-1", "pool");
    site.start_replica("i-2", "pool");
    for (const auto* id : {"i-1", "i-2"})
        site.set_replica_fault(id, {{"events", 6}, {"break_after", 3}});
    site.start_host("h1");
    const auto resumed =
        site.call("h1", "/stream/resumed/x", {{"Token-Usage", "10,6"}});
    REQUIRE(resumed);
    CHECK(resumed->body == stream_text(1, 6));
    const auto runs = site.runs("/stream/resumed/x");
    REQUIRE(runs.size() == 2);
    CHECK(runs[1]["headers"]["Last-Event-Id"] == "3");
    // An endpoint that fails to resume adds nothing to the response.
    for (const auto* id : {"i-1", "i-2"})
        site.set_replica_fault(
            id, {{"events", 6}, {"break_after", 3}, {"resume_status", 500}});
    CHECK_FALSE(
        site.call("h1", "/stream/resumed/z", {{"Token-Usage", "10,6"}}));
    // A route that is not resumable ends the response with an error.
    const auto broken = site.call("h1", "/stream/y", {{"Token-Usage", "10,6"}});
    CHECK_FALSE(broken);
    CHECK(site.runs("/stream/y").size() == 1);
}

TEST_CASE(
    "a stream that ends with its connection inside an event is broken off",
    "[node]")
{
    installation site;
    site.start_crashing_replica("i-1", "pool", "bad", {"--close_delimited"});
    site.start_crashing_replica("i-2", "pool", "bad",
                                {"--close_delimited", "--crash_after=2"});
    site.start_host("h1");
    int whole = 0;
    int refused = 0;
    int cut = 0;
    CHECK(wait_until(
        [&]
        {
            // A customer without a budget needs no bound of the tokens.
            const auto sound =
                site.call("h1", "/stream/x", {{"Authorization", "Token k2"}});
            if (sound && sound->status == 200)
            {
                CHECK(sound->body == stream_text(1, 6));
                ++whole;
            }
            const auto broken = site.call(
                "h1", "/stream/y",
                {{"Authorization", "Token k2"},
                 {"Prefix-Hash", site.next_id().substr(1) + "bad:9,e1:1"}});
            // Nothing of the first event has been passed on, or two events.
            CHECK_FALSE((broken && broken->status == 200));
            if (!broken)
                ++cut;
            else if (broken->status == 502)
                ++refused;
            return whole > 0 && refused > 0 && cut > 0;
        }));
}

TEST_CASE(
    "hosts do not overspend a shared budget across restarts and lost writes",
    "[node]")
{
    installation site;
    site.start_replica("i-1", "pool");
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
    SECTION("a host is killed")
    {
        site.host("h1").kill();
        site.start_host("h1");
    }
    SECTION("responses of writes are lost and the writes are late")
    {
        site.set_store_fault({{"lose_answers", 4}, {"late_ms", 1500}});
    }
    SECTION("a host stops gracefully")
    {
        site.host("h1").signal(SIGTERM);
        CHECK(site.host("h1").wait_exit() == 0);
        site.start_host("h1");
    }
    spend(40);
    CHECK(answered * 500 <= prepaid_tokens);
    CHECK(answered >= 12);
    const auto last = site.call("h2", "/stream/x", {{"Token-Usage", "9000,5"}});
    CHECK((last->status == 402 || last->status == 429));
}

TEST_CASE(
    "configuration and drains are applied after the store compacts its history",
    "[node]")
{
    installation site;
    for (int i = 1; i <= 7; ++i) // more than one page of the store
        site.start_replica("i-" + std::to_string(i), "desk");
    site.start_host("h1");
    site.upsert_object("servers", "unreadable", {{"state", 7}});
    site.set_store_fault({{"compact", true}});
    for (int i = 2; i <= 7; ++i)
        site.list_replica("i-" + std::to_string(i), "desk", "draining");
    site.publish_configuration(
        2, {{"tenants", {{{"name", "clerks"}, {"apiKeys", {"k3"}}}}}});
    CHECK(wait_until(
        [&]
        {
            const auto answer =
                site.call("h1", "/read/x", {{"Authorization", "Token k3"}});
            return answer && answer->status == 200;
        }));
    CHECK(site.call("h1", "/read/x")->status == 401);
    const auto before = site.runs("/read/z").size();
    CHECK(before == 0);
    CHECK(wait_until(
        [&]
        {
            const auto answer =
                site.call("h1", "/read/z", {{"Authorization", "Token k3"}});
            return answer &&
                   answer->get_header_value("Response-Signature") == "s.i-1";
        }));
}

TEST_CASE(
    "hosts serve while the store fails and apply configuration afterwards",
    "[node]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.start_host("h1");
    site.start_host("h2");
    // Hosts know each other once both are listed in the escrow object.
    CHECK(wait_until(
        [&]
        {
            const auto escrow_object =
                site.store_client().Get("/api/objects/escrow/main");
            return escrow_object && escrow_object->status == 200 &&
                   json::parse(escrow_object->body)["spec"]["hosts"].size() ==
                       2;
        }));
    site.set_store_fault({{"refuse", 503}});
    CHECK(site.call("h1", "/read/x")->status == 200);
    site.set_store_fault(json::object());
    site.publish_configuration(
        5, {{"tenants", {{{"name", "clerks"}, {"apiKeys", {"k5"}}}}}});
    for (const auto* name : {"h1", "h2"})
        CHECK(wait_until(
            [&]
            {
                const auto answer =
                    site.call(name, "/read/x", {{"Authorization", "Token k5"}});
                return answer && answer->status == 200;
            }));
}

TEST_CASE("a host that lacks its peers' newer configuration refuses and denies "
          "nothing",
          "[node]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.start_host("h1");
    CHECK(site.call("h1", "/none/")->status == 404);
    rhubarbgrade::peer_heartbeat heartbeat;
    heartbeat.host = "h2";
    heartbeat.configuration = 9;
    const auto bytes = rhubarbgrade::encode_heartbeat(heartbeat);
    boost::asio::io_context loop;
    boost::asio::ip::udp::socket socket(
        loop, {boost::asio::ip::address_v4::loopback(), 0});
    socket.send_to(boost::asio::buffer(bytes),
                   {boost::asio::ip::address_v4::loopback(),
                    static_cast<std::uint16_t>(site.host("h1").port("peers"))});
    CHECK(wait_until(
        [&]
        {
            const auto answer = site.call("h1", "/none/");
            return answer && answer->status == 503 &&
                   answer->has_header("Retry-After");
        }));
    CHECK_FALSE(site.ready("h1"));
    CHECK(site.call("h1", "/read/x")->status == 503);
    site.publish_configuration(9, {});
    CHECK(wait_until(
        [&]
        {
            return site.ready("h1");
        }));
    CHECK(site.call("h1", "/read/x")->status == 200);
    CHECK(site.call("h1", "/none/")->status == 404);
}

TEST_CASE("a graceful stop completes the requests in flight", "[node]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.set_replica_fault("i-1", {{"delay_ms", 1500}});
    site.start_host("h1");
    httplib::Result answer(nullptr, httplib::Error::Unknown);
    std::thread caller_thread(
        [&]
        {
            answer = site.call("h1", "/book/x");
        });
    CHECK(wait_until(
        [&]
        {
            return !site.runs("/book/x").empty();
        }));
    site.host("h1").signal(SIGTERM);
    CHECK(wait_until(
        [&]
        {
            return !site.ready("h1");
        }));
    caller_thread.join();
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(site.host("h1").wait_exit() == 0);
}

TEST_CASE("a host with invalid settings reports them all and does not start",
          "[node]")
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
