// Budgets, billing and serving while zones, the platform or links fail.

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "fleet.hpp"
#include "until.hpp"

using harness::fleet;
using harness::fleet_config;
using harness::wait_until;

namespace
{

fleet_config two_zones(long prepaid)
{
    fleet_config config;
    config.zones = {{"a", 2}, {"b", 2}};
    config.engines = {{"e1", "a"}, {"e2", "b"}};
    config.prepaid = prepaid;
    config.engine_flags = {{"e1", {"--step_us=100"}},
                           {"e2", {"--step_us=100"}}};
    config.extra_settings =
        "heartbeat_ms = 250\nsuspect_after_ms = 800\nclose_after_ms = 1500\n";
    return config;
}

/// Sends requests to all routers in turn until each of them refuses.
void spend_all(fleet& cluster, const std::vector<std::string>& hosts,
               int tokens)
{
    for (bool served = true; served;)
    {
        served = false;
        for (const auto& host : hosts)
            served |= cluster.chat(host, tokens, false).status == 200;
    }
}

} // namespace

TEST_CASE("a budget can be spent from every zone to the last token")
{
    const auto config = two_zones(40000);
    fleet cluster(config);
    spend_all(cluster, {"a1", "a2", "b1", "b2"}, 400);
    cluster.check_bills(config.prepaid);
    long spent = 0;
    for (const auto& [request, tokens] : cluster.runs())
        spent += tokens;
    // Less than the reservation of one request is left: no host holds back
    // tokens that others could spend.
    CHECK(spent > config.prepaid - 600);
}

TEST_CASE("a zone without connection to the platform and the other zones")
{
    const auto mode = GENERATE(std::string("cut"), std::string("silent"));
    const auto config = two_zones(60000);
    fleet cluster(config);
    cluster.set_outside_links("b", mode);

    SECTION("keeps serving, and neither side overspends")
    {
        CHECK(cluster.chat("b1", 20).complete);
        CHECK(cluster.chat("b2", 20).complete);
        spend_all(cluster, {"a1", "b1", "a2", "b2"}, 400);
        cluster.set_outside_links("b", "pass");
        cluster.check_bills(config.prepaid);
    }

    SECTION("a top-up reaches the connected zone, and the other one afterwards")
    {
        spend_all(cluster, {"a1", "a2"}, 400);
        CHECK(cluster.apply(config.prepaid + 50000) == 0);
        CHECK(wait_until(
            [&]
            {
                return cluster.chat("a1", 400, false).status == 200;
            }));
        cluster.set_outside_links("b", "pass");
        CHECK(wait_until(
            [&]
            {
                return cluster.status("b1")["generation"] == 2 &&
                       cluster.status("b2")["generation"] == 2;
            }));
        cluster.check_bills(config.prepaid + 50000);
    }
}

TEST_CASE("a zone whose traffic to the platform is lost while responses arrive")
{
    const auto config = two_zones(60000);
    fleet cluster(config);
    cluster.set_platform_link("b1", "silent_up");
    cluster.set_platform_link("b2", "silent_up");
    CHECK(cluster.chat("b1", 20).complete);
    spend_all(cluster, {"a1", "b1", "a2", "b2"}, 400);
    cluster.set_platform_link("b1", "pass");
    cluster.set_platform_link("b2", "pass");
    cluster.check_bills(config.prepaid);
}

TEST_CASE("the platform fails")
{
    const auto config = two_zones(60000);
    fleet cluster(config);

    SECTION("down: held tokens are spent, and billed when it recovers")
    {
        cluster.set_platform_fault("down");
        CHECK(cluster.chat("a1", 50).complete);
        CHECK(cluster.chat("b2", 50).complete);
        spend_all(cluster, {"a1", "b1", "a2", "b2"}, 400);
        cluster.set_platform_fault("pass");
        cluster.check_bills(config.prepaid);
    }

    SECTION("responses are lost after the writes took effect")
    {
        cluster.set_platform_fault("drop_answers");
        spend_all(cluster, {"a1", "b1", "a2", "b2"}, 400);
        cluster.set_platform_fault("pass");
        spend_all(cluster, {"a1", "b1", "a2", "b2"}, 400);
        cluster.check_bills(config.prepaid);
    }

    SECTION("slow: requests are served from held tokens")
    {
        cluster.set_platform_fault("pass", 300);
        CHECK(cluster.chat("a1", 50).complete);
        spend_all(cluster, {"a1", "b1"}, 400);
        cluster.set_platform_fault("pass");
        cluster.check_bills(config.prepaid);
    }
}

TEST_CASE("a host crashes in a zone without outside connections")
{
    const auto config = two_zones(60000);
    fleet cluster(config);
    cluster.set_outside_links("b", "cut");
    cluster.router("b2").kill();
    CHECK(wait_until(
        [&]
        {
            return cluster.chat("b1", 20).complete;
        }));
    spend_all(cluster, {"a1", "b1", "a2"}, 400);
    cluster.set_outside_links("b", "pass");
    CHECK(wait_until(
        [&]
        {
            return cluster.status("b1")["pairing"] == "alone";
        }));
    spend_all(cluster, {"a1", "b1", "a2"}, 400);
    cluster.check_bills(config.prepaid);
}

TEST_CASE("existing connections go silent for good while new ones work")
{
    const auto config = two_zones(60000);
    fleet cluster(config);
    for (const char* const host : {"a1", "a2", "b1", "b2"})
        cluster.set_platform_link(host, "stale");
    cluster.set_host_link("a1", "a2", "stale");
    cluster.set_host_link("a2", "a1", "stale");
    CHECK(wait_until(
        [&]
        {
            return cluster.chat("a1", 20).complete;
        }));
    CHECK(cluster.apply(config.prepaid + 1) == 0);
    for (const std::string host : {"a1", "a2", "b1", "b2"})
        CHECK(wait_until(
            [&]
            {
                return cluster.status(host)["generation"] == 2;
            }));
    CHECK(wait_until(
        [&]
        {
            return cluster.status("a1")["pairing"] == "paired";
        }));
    cluster.check_bills(config.prepaid);
}
