// Watches of the store that are cut off, or lose their response, while it
// answers all other calls.

#include <algorithm>
#include <map>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;

namespace
{

/// Time in which a host must send nothing more to an endpoint that has left.
constexpr int drain_ms = 2000;

/// Whether none of a few requests reaches an endpoint.
bool avoids(const installation& site, const std::string& host,
            const std::string& endpoint)
{
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i)
    {
        const auto answer = site.call(host, "/read/x");
        if (!answer || answer->status != 200 ||
            answer->get_header_value("Response-Signature") == "s." + endpoint)
            return false;
    }
    return true;
}

/// Time after a fault in which a host must be up to date.
constexpr int contact_ms = 3000;

/// Starts two hosts, of which one reads the store for both, and which use two
/// endpoints.
void start_hosts(installation& site)
{
    site.start_replica("i-1", "desk");
    site.start_replica("i-2", "desk");
    for (const auto* host : {"h1", "h2"})
        site.start_host(host, "graceS = 8\nevacuateMs = 2000");
    for (const auto* host : {"h1", "h2"})
        for (const auto* endpoint : {"i-1", "i-2"})
            REQUIRE(wait_until(
                [&]
                {
                    return !avoids(site, host, endpoint);
                },
                20000));
}

/// Checks that both hosts send nothing more to i-2 within the contact bound.
void check_avoided(const installation& site)
{
    CHECK(wait_until(
        [&]
        {
            return avoids(site, "h1", "i-2") && avoids(site, "h2", "i-2");
        },
        contact_ms));
}

int failed_watches(const installation& site, const std::string& host)
{
    const std::string line = "event=watch_failed kind=servers";
    const auto log = site.log_text(host);
    int found = 0;
    for (auto at = log.find(line); at != std::string::npos;
         at = log.find(line, at + 1))
        ++found;
    return found;
}

void cut_watch(const installation& site, const std::string& host)
{
    const auto before = failed_watches(site, host);
    REQUIRE(wait_until(
        [&]
        {
            // Until one was waiting.
            site.set_store_fault({{"cut_watches", "servers"}});
            return failed_watches(site, host) > before;
        },
        10000));
}

} // namespace

// Guards against taking one failed call for an outage of the store: the only
// host of a zone kept an endpoint that had left for up to 12 s.
TEST_CASE("a host whose watch was cut off notices that an endpoint leaves",
          "[watches]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.start_replica("i-2", "desk");
    site.start_host("h1");
    REQUIRE(wait_until(
        [&]
        {
            return !avoids(site, "h1", "i-1") && !avoids(site, "h1", "i-2");
        },
        20000));
    const bool cut_again = GENERATE(false, true);
    cut_watch(site, "h1");
    site.store_client().Delete("/api/objects/servers/i-2");
    if (cut_again)
        cut_watch(site, "h1");
    CHECK(wait_until(
        [&]
        {
            return avoids(site, "h1", "i-2");
        },
        drain_ms));
    CHECK(site.log_text("h1").find("event=endpoint_removed id=i-2 ") !=
          std::string::npos);
    CHECK_FALSE(avoids(site, "h1", "i-1"));
}

// Guards against taking the answers to other calls for a sign that a watch has
// lost nothing: both hosts sent requests to a leaving endpoint for 8 s.
TEST_CASE("hosts notice that an endpoint leaves whose watch gets no response",
          "[watches][lost]")
{
    installation site;
    start_hosts(site);
    const bool removed = GENERATE(false, true);
    // The second loss in a row must be found as fast as the first one.
    for (int losses = 0; losses < 2; ++losses)
    {
        site.set_store_fault({{"lose_watches", 1}, {"lost_kind", "servers"}});
        if (removed)
            site.remove_object("servers", "i-2");
        else
            site.list_replica("i-2", "desk", "draining");
        check_avoided(site);
        site.list_replica("i-2", "desk", "ready");
        REQUIRE(wait_until(
            [&]
            {
                return !avoids(site, "h1", "i-2") && !avoids(site, "h2", "i-2");
            },
            20000));
    }
}

// The same for the other kinds: a dropped route was served for 8 s.
TEST_CASE("hosts learn of a configuration whose watch gets no response",
          "[watches][lost]")
{
    installation site;
    start_hosts(site);
    site.set_store_fault({{"lose_watches", 1}, {"lost_kind", "config"}});
    site.publish_configuration(2, {{"routes", nlohmann::json::array()}});
    CHECK(wait_until(
        [&]
        {
            return site.call("h1", "/read/x")->status == 404 &&
                   site.call("h2", "/read/x")->status == 404;
        },
        contact_ms));
}

TEST_CASE("hosts learn of an evacuation whose watch gets no response",
          "[watches][lost]")
{
    installation site;
    start_hosts(site);
    site.set_store_fault({{"lose_watches", 1}, {"lost_kind", "evacuations"}});
    site.upsert_object("evacuations", "z1", nlohmann::json::object());
    CHECK(wait_until(
        [&]
        {
            return site.call("h1", "/read/x")->status == 503 &&
                   site.call("h2", "/read/x")->status == 503;
        },
        contact_ms));
}

TEST_CASE("a host learns of a move whose watch gets no response",
          "[watches][lost]")
{
    installation site;
    start_hosts(site);
    site.set_store_fault({{"lose_watches", 1}, {"lost_kind", "rollouts"}});
    site.upsert_object(
        "rollouts", "desk",
        {{"service", "desk"}, {"target", "v2"}, {"durationS", 1}});
    // The move itself ends a second after a host has learned of it.
    CHECK(wait_until(
        [&]
        {
            return (site.log_text("h1") + site.log_text("h2"))
                       .find("event=move_decided service=desk") !=
                   std::string::npos;
        },
        contact_ms + 1000));
}

// A cheap call may be answered from an old copy, which proves nothing.
TEST_CASE("a lost response is found although copies of the store are old",
          "[watches][lost]")
{
    installation site;
    start_hosts(site);
    site.set_store_fault({{"save", true},
                          {"stale", "all"},
                          {"lose_watches", 1},
                          {"lost_kind", "servers"}});
    site.list_replica("i-2", "desk", "draining");
    // By this the hosts know that the store has gone on.
    site.publish_configuration(2, nlohmann::json::object());
    check_avoided(site);
}

namespace
{

/// Without budgets hosts write no account, so that no write of their own tells
/// them a later revision.
nlohmann::json without_budgets()
{
    return {{"tenants", {{{"name", "clerks"}, {"apiKeys", {"k1"}}}}}};
}

/// Number of watches that hosts have begun, by kind.
std::map<std::string, int> begun_watches(const installation& site)
{
    const auto response = site.store_client().Get("/watches");
    REQUIRE(response);
    return nlohmann::json::parse(response->body);
}

/// Lets the store lose the next response to a watch of a kind, and answer from
/// old copies what may be. All watches have just begun, so that none ends soon
/// and tells the present revision.
void lose_response(const installation& site, const std::string& kind)
{
    constexpr std::size_t kinds = 4;
    REQUIRE(wait_until(
        [&]
        {
            return begun_watches(site).size() == kinds;
        },
        20000));
    REQUIRE(wait_until(
        [&, before = begun_watches(site)]
        {
            const auto now = begun_watches(site);
            return std::all_of(now.begin(), now.end(),
                               [&](const auto& each)
                               {
                                   return each.second > before.at(each.first);
                               });
        },
        20000));
    site.set_store_fault({{"save", true},
                          {"stale", "all"},
                          {"lose_watches", 1},
                          {"lost_kind", kind}});
}

} // namespace

// Guards against a proof without a time: a copy from before the loss shows no
// changes, and while nothing else is written no later revision is known either.
// Hosts sent requests to a leaving endpoint for up to 8 s, and counted their
// state as current.
TEST_CASE("a lost response is found while copies are old and nothing else is "
          "written",
          "[watches][lost][old]")
{
    installation site(without_budgets());
    start_hosts(site);
    // The second loss in a row must be found as fast as the first one.
    for (int losses = 0; losses < 2; ++losses)
    {
        lose_response(site, "servers");
        site.list_replica("i-2", "desk", "draining");
        check_avoided(site);
        site.list_replica("i-2", "desk", "ready");
        REQUIRE(wait_until(
            [&]
            {
                return !avoids(site, "h1", "i-2") && !avoids(site, "h2", "i-2");
            },
            20000));
    }
}

TEST_CASE("a lost configuration is found while copies are old",
          "[watches][lost][old]")
{
    installation site(without_budgets());
    start_hosts(site);
    lose_response(site, "config");
    site.publish_configuration(2, {{"routes", nlohmann::json::array()}});
    CHECK(wait_until(
        [&]
        {
            return site.call("h1", "/read/x")->status == 404 &&
                   site.call("h2", "/read/x")->status == 404;
        },
        contact_ms));
}

TEST_CASE("a lost evacuation is found while copies are old",
          "[watches][lost][old]")
{
    installation site(without_budgets());
    start_hosts(site);
    lose_response(site, "evacuations");
    site.upsert_object("evacuations", "z1", nlohmann::json::object());
    CHECK(wait_until(
        [&]
        {
            return site.call("h1", "/read/x")->status == 503 &&
                   site.call("h2", "/read/x")->status == 503;
        },
        contact_ms));
}

TEST_CASE("a lost move is found while copies are old", "[watches][lost][old]")
{
    installation site(without_budgets());
    start_hosts(site);
    lose_response(site, "rollouts");
    site.upsert_object(
        "rollouts", "desk",
        {{"service", "desk"}, {"target", "v2"}, {"durationS", 1}});
    // The move itself ends a second after a host has learned of it.
    CHECK(wait_until(
        [&]
        {
            return (site.log_text("h1") + site.log_text("h2"))
                       .find("event=move_decided service=desk") !=
                   std::string::npos;
        },
        contact_ms + 1000));
}
