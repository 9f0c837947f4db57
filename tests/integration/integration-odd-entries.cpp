// Entries of other writers that stand in the list of endpoints before a host
// starts. Such an entry names no endpoint; all others must be served, whatever
// the entry is called and wherever it stands in the pages of the list.

#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "installation.hpp"
#include "memory.hpp"

using harness::installation;
using harness::peak_memory_kb;
using harness::wait_until;
using nlohmann::json;

namespace
{

/// Memory that a host may need.
constexpr long max_memory_kb = 64L * 1024;

/// Objects on a page of the stand-in for the store.
constexpr int page_size = 5;

const json odd_spec{{"service", "desk"}};

std::string endpoint_name(int number)
{
    return "i-" + std::to_string(number);
}

/// Endpoints that fill more than one page.
std::set<std::string> list_endpoints(installation& site)
{
    std::set<std::string> names;
    for (int i = 0; i < page_size + 2; ++i)
    {
        names.insert(endpoint_name(i));
        site.start_replica(endpoint_name(i), "desk");
    }
    return names;
}

/// Sends requests until as many endpoints as expected have run one.
/// @return the endpoints that have run a request in time
std::set<std::string> serving_endpoints(const installation& site,
                                        const std::string& host,
                                        std::size_t expected)
{
    constexpr int serve_ms = 8000;
    std::set<std::string> serving;
    wait_until(
        [&]
        {
            const auto answer = site.call(host, "/read/x");
            if (answer && answer->status == 200)
                serving.insert(
                    answer->get_header_value("Response-Signature").substr(2));
            return serving.size() == expected;
        },
        serve_ms);
    return serving;
}

/// Starts a host and checks that it uses exactly the endpoints of @a names.
void check_serves(installation& site, const std::set<std::string>& names)
{
    site.spawn_host("h1");
    CHECK(serving_endpoints(site, "h1", names.size()) == names);
    CHECK(peak_memory_kb(site.host("h1").pid()) < max_memory_kb);
}

} // namespace

TEST_CASE("an entry of any name ends a page of the list", "[odd-entries][last]")
{
    const auto rest = GENERATE(as<std::string>{}, "&", "&after=i-6", "#", "+",
                               "%", "%41", "%ff", " x", "/", "?", "\"", "\\",
                               "\r\nX: 1", std::string(1, '\0'), "\x7f",
                               "\u00e9", std::string(9000, 'n'));
    INFO("i-3" << rest.substr(0, 20));
    installation site;
    const auto names = list_endpoints(site);
    // The last one of the first page.
    site.upsert_object("servers", "i-3" + rest, odd_spec);
    check_serves(site, names);
}

TEST_CASE("hosts that start again beside an odd entry serve all endpoints",
          "[odd-entries][restart]")
{
    installation site;
    const auto names = list_endpoints(site);
    const std::vector<std::string> hosts{"h1", "h2", "h3"};
    for (const auto& host : hosts)
        site.start_host(host);
    site.upsert_object("servers", "i-3 & + # % x", odd_spec);
    for (const auto& host : hosts)
        site.host(host).kill();
    for (const auto& host : hosts)
        site.spawn_host(host);
    for (const auto& host : hosts)
        CHECK(serving_endpoints(site, host, names.size()) == names);
}

TEST_CASE("entries of any name fill a page of the list", "[odd-entries][fill]")
{
    const auto first = GENERATE(as<std::string>{}, "&", "#", "+", " ", "\r\n",
                                "%7e", "?", std::string(9000, 'a'));
    INFO(first.substr(0, 20));
    installation site;
    for (int i = 0; i < page_size; ++i)
        site.upsert_object("servers", first + std::to_string(i), odd_spec);
    check_serves(site, list_endpoints(site));
}

TEST_CASE("the list goes on behind objects whose metadata can't be read",
          "[odd-entries][metadata]")
{
    installation site;
    for (int i = 0; i < page_size; ++i)
        site.upsert_object("servers", "a" + std::to_string(i), odd_spec);
    site.set_store_fault({{"hide", "revision"}, {"hidden_from", "a"}});
    check_serves(site, list_endpoints(site));
}

TEST_CASE("a list that can't be read to its end removes no endpoint",
          "[odd-entries][incomplete]")
{
    installation site;
    const auto names = list_endpoints(site);
    check_serves(site, names);
    // The second page names nothing that the third could begin behind.
    for (int i = 0; i < page_size; ++i)
        site.upsert_object("servers", "i-4x" + std::to_string(i), odd_spec);
    // A host that waits a moment between two watches loses the history.
    int changes = 0;
    REQUIRE(wait_until(
        [&]
        {
            site.upsert_object("servers", "i-4x0", {{"change", ++changes}});
            site.set_store_fault(
                {{"hide", "name"}, {"hidden_from", "i-4x"}, {"compact", true}});
            return site.log_text("h1").find("event=list_incomplete") !=
                   std::string::npos;
        }));
    CHECK(serving_endpoints(site, "h1", names.size()) == names);

    // It is watched, and read again once it has changed.
    site.start_replica("j-1", "desk");
    site.start_host("h2");
    auto all = names;
    all.insert("j-1");
    CHECK(serving_endpoints(site, "h1", all.size()) == all);
    site.set_store_fault({{"hide", ""}});
    for (int i = 0; i < page_size; ++i)
        site.remove_object("servers", "i-4x" + std::to_string(i));
    CHECK(serving_endpoints(site, "h1", all.size()) == all);
    CHECK(wait_until(
        [&]
        {
            const auto answer = site.call("h2", "/read/last");
            return answer &&
                   answer->get_header_value("Response-Signature") == "s.i-6";
        }));
}

TEST_CASE("an entry's name adds no headers to requests",
          "[odd-entries][header]")
{
    installation site;
    site.start_replica("i-0", "desk");
    site.upsert_object(
        "servers", "i-0\r\nTenant-Id: others\r\nInjected: 1",
        {{"service", "desk"},
         {"address", "127.0.0.1:" + std::to_string(site.replica_port("i-0"))},
         {"zone", "z1"},
         {"version", "v1"},
         {"slots", 8},
         {"state", "ready"}});
    site.start_host("h1");
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i)
        CHECK(site.call("h1", "/read/x")->status == 200);
    for (const auto& run : site.runs("/read/x"))
    {
        CHECK_FALSE(run["headers"].contains("Injected"));
        CHECK(run["headers"]["Tenant-Id"] == "clerks");
    }
}

TEST_CASE("an entry moves no service but the one that it is named after",
          "[odd-entries][move]")
{
    installation site;
    site.start_replica("i-0", "desk");
    const auto order = [](const std::string& service)
    {
        return json{{"service", service}, {"target", "v2"}, {"durationS", 1}};
    };
    site.upsert_object("rollouts", "odd", order("desk"));
    site.start_host("h1");
    // A later move of another service ends.
    site.upsert_object("rollouts", "pool", order("pool"));
    CHECK(wait_until(
        [&]
        {
            const auto log = site.log_text("h1");
            return log.find("event=move_decided service=pool") !=
                   std::string::npos;
        }));
    CHECK(site.log_text("h1").find("event=move_decided service=desk") ==
          std::string::npos);
}

TEST_CASE("a move with a long name cuts no host off from its peers",
          "[odd-entries][long-move]")
{
    installation site;
    site.start_replica("i-0", "desk");
    // Evidence on running moves is a part of each message between hosts.
    site.upsert_object("rollouts", "desk",
                       {{"service", "desk"},
                        {"target", std::string(60000, 'v')},
                        {"durationS", 600}});
    site.start_host("h1");
    site.start_host("h2");
    site.upsert_object(
        "rollouts", "pool",
        {{"service", "pool"}, {"target", "v2"}, {"durationS", 1}});
    for (const auto* host : {"h1", "h2"})
    {
        CHECK(wait_until(
            [&]
            {
                return site.log_text(host).find(
                           "event=move_decided service=pool") !=
                       std::string::npos;
            }));
        CHECK(site.log_text(host).find("event=datagram_too_large") ==
              std::string::npos);
    }
}

TEST_CASE("an entry's name begins no line of the log", "[odd-entries][log]")
{
    installation site;
    site.start_replica("i-0", "desk");
    site.start_host("h1", "graceS = 8\nevacuateMs = 2000");
    const std::string forged = "x\r\n{\"message\":\"forged\"}";
    for (const auto* kind : {"servers", "rollouts", "evacuations"})
        site.upsert_object(kind, forged, odd_spec);
    const auto logs = [&](const std::string& text)
    {
        return wait_until(
            [&]
            {
                return site.log_text("h1").find(text) != std::string::npos;
            });
    };
    CHECK(logs("event=endpoint_ignored"));
    CHECK(logs("ignored a move object"));
    CHECK(logs("event=evacuation_ignored"));
    CHECK(site.store_client()
              .Delete("/api/objects/servers/x%0D%0A%7B%22message%22%3A"
                      "%22forged%22%7D")
              ->status == 200);
    CHECK(logs("event=endpoint_removed"));
    CHECK(site.log_text("h1").find("\n{\"message\"") == std::string::npos);
}

TEST_CASE("a list that the store refuses is logged with its place",
          "[odd-entries][log]")
{
    installation site;
    site.set_store_fault({{"refuse", 503}});
    site.spawn_host("h1");
    CHECK(wait_until(
        [&]
        {
            return site.log_text("h1").find("event=list_failed kind=servers "
                                            "after= status=503") !=
                   std::string::npos;
        }));
}
