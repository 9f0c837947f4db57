#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "fleet.hpp"
#include "until.hpp"

using harness::fleet;
using harness::plan;
using harness::until;

namespace
{

plan two_zones(long prepaid)
{
    plan wanted;
    wanted.zones = {{"a", 2}, {"b", 2}};
    wanted.engines = {{"e1", "a"}, {"e2", "b"}};
    wanted.prepaid = prepaid;
    wanted.engine_flags = {{"e1", {"--step_us=100"}},
                           {"e2", {"--step_us=100"}}};
    wanted.settings =
        "heartbeat_ms = 250\nsuspect_after_ms = 800\nclose_after_ms = 1500\n";
    return wanted;
}

/// Spends until every router refuses.
void spend_all(fleet& all, const std::vector<std::string>& hosts, int tokens)
{
    for (bool served = true; served;)
    {
        served = false;
        for (const auto& host : hosts)
            served |= all.chat(host, tokens, false).status == 200;
    }
}

} // namespace

TEST_CASE("a customer drawn on from every zone down to the last token")
{
    const auto wanted = two_zones(40000);
    fleet all(wanted);
    spend_all(all, {"a1", "a2", "b1", "b2"}, 400);
    all.check_bills(wanted.prepaid);
    long spent = 0;
    for (const auto& [request, tokens] : all.runs())
        spent += tokens;
    // Less than the bound of one request is left over: nothing is stranded.
    CHECK(spent > wanted.prepaid - 600);
}

TEST_CASE("a zone cut off from the platform and the other zones")
{
    const auto mode = GENERATE(std::string("cut"), std::string("silent"));
    const auto wanted = two_zones(60000);
    fleet all(wanted);
    all.cut_zone("b", mode);

    SECTION("goes on serving, and nobody overspends on either side")
    {
        CHECK(all.chat("b1", 20).whole);
        CHECK(all.chat("b2", 20).whole);
        spend_all(all, {"a1", "b1", "a2", "b2"}, 400);
        all.cut_zone("b", "pass");
        all.check_bills(wanted.prepaid);
    }

    SECTION("a top-up meanwhile reaches the connected zone")
    {
        spend_all(all, {"a1", "a2"}, 400);
        CHECK(all.apply(wanted.prepaid + 50000) == 0);
        CHECK(until(
            [&]
            {
                return all.chat("a1", 400, false).status == 200;
            }));
        all.cut_zone("b", "pass");
        CHECK(until(
            [&]
            {
                return all.status("b1")["generation"] == 2 &&
                       all.status("b2")["generation"] == 2;
            }));
        all.check_bills(wanted.prepaid + 50000);
    }
}

TEST_CASE("a zone that hears the platform but can't speak to it")
{
    const auto wanted = two_zones(60000);
    fleet all(wanted);
    all.platform_link("b1", "silent_up");
    all.platform_link("b2", "silent_up");
    CHECK(all.chat("b1", 20).whole);
    spend_all(all, {"a1", "b1", "a2", "b2"}, 400);
    all.platform_link("b1", "pass");
    all.platform_link("b2", "pass");
    all.check_bills(wanted.prepaid);
}

TEST_CASE("the platform fails")
{
    const auto wanted = two_zones(60000);
    fleet all(wanted);

    SECTION("down: what is held is served, and billed afterwards")
    {
        all.platform_fault("down");
        CHECK(all.chat("a1", 50).whole);
        CHECK(all.chat("b2", 50).whole);
        spend_all(all, {"a1", "b1", "a2", "b2"}, 400);
        all.platform_fault("pass");
        all.check_bills(wanted.prepaid);
    }

    SECTION("answers are lost after the write took effect")
    {
        all.platform_fault("drop_answers");
        spend_all(all, {"a1", "b1", "a2", "b2"}, 400);
        all.platform_fault("pass");
        spend_all(all, {"a1", "b1", "a2", "b2"}, 400);
        all.check_bills(wanted.prepaid);
    }

    SECTION("slow: nothing waits for it while tokens are held")
    {
        all.platform_fault("pass", 300);
        CHECK(all.chat("a1", 50).whole);
        spend_all(all, {"a1", "b1"}, 400);
        all.platform_fault("pass");
        all.check_bills(wanted.prepaid);
    }
}

TEST_CASE("two faults at once: a cut zone loses a host")
{
    const auto wanted = two_zones(60000);
    fleet all(wanted);
    all.cut_zone("b", "cut");
    all.router("b2").kill();
    CHECK(until(
        [&]
        {
            return all.chat("b1", 20).whole;
        }));
    spend_all(all, {"a1", "b1", "a2"}, 400);
    all.cut_zone("b", "pass");
    CHECK(until(
        [&]
        {
            return all.status("b1")["pairing"] == "alone";
        }));
    spend_all(all, {"a1", "b1", "a2"}, 400);
    all.check_bills(wanted.prepaid);
}

TEST_CASE("connections that go silent for good while new ones work")
{
    const auto wanted = two_zones(60000);
    fleet all(wanted);
    for (const char* const host : {"a1", "a2", "b1", "b2"})
        all.platform_link(host, "stale");
    all.host_link("a1", "a2", "stale");
    all.host_link("a2", "a1", "stale");
    CHECK(until(
        [&]
        {
            return all.chat("a1", 20).whole;
        }));
    CHECK(all.apply(wanted.prepaid + 1) == 0);
    for (const std::string host : {"a1", "a2", "b1", "b2"})
        CHECK(until(
            [&]
            {
                return all.status(host)["generation"] == 2;
            }));
    CHECK(until(
        [&]
        {
            return all.status("a1")["pairing"] == "paired";
        }));
    all.check_bills(wanted.prepaid);
}
