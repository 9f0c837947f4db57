// Routers that crash or freeze: failover to the second host, which holds the
// replica of the ledger, and billing of the runs that they had started.

#include <csignal>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.hpp"
#include "until.hpp"

using harness::fleet;
using harness::fleet_config;
using harness::reply;
using harness::wait_until;

namespace
{

fleet_config two_hosts()
{
    fleet_config config;
    config.zones = {{"a", 2}};
    config.extra_settings =
        "heartbeat_ms = 250\nsuspect_after_ms = 800\nclose_after_ms = 1500\n";
    return config;
}

/// Starts a stream in a thread and returns once the engine runs it.
std::thread begin_stream(fleet& cluster, const std::string& host, reply& result,
                         int tokens, const std::string& key)
{
    std::thread caller(
        [&cluster, &result, host, tokens, key]
        {
            result = cluster.chat(host, tokens, true, key);
        });
    CHECK(wait_until(
        [&]
        {
            return !cluster.read_events("engine.rec").empty();
        }));
    return caller;
}

} // namespace

TEST_CASE("a router crashes with a stream open")
{
    const auto config = two_hosts();
    fleet cluster(config);
    reply interrupted;
    auto caller = begin_stream(cluster, "a1", interrupted, 600, "k1");
    cluster.router("a1").kill();
    caller.join();
    CHECK_FALSE(interrupted.complete);

    SECTION(
        "and the caller retries at another router: one complete answer, one "
        "run, one bill")
    {
        const auto retried = cluster.chat("a2", 600, true, "k1");
        CHECK(retried.status == 200);
        CHECK(retried.complete);
        cluster.check_bills(config.prepaid);
        CHECK(cluster.runs().size() == 1);
    }

    SECTION("and the caller does not retry: the run is billed and the second "
            "host releases its reservation")
    {
        CHECK(wait_until(
            [&]
            {
                return cluster.runs().size() == 1;
            }));
        cluster.check_bills(config.prepaid);
        CHECK(cluster.log_text("a2").find("event=ledger_adopted") !=
              std::string::npos);
        CHECK(wait_until(
            [&]
            {
                return cluster.status("a2")["reservations"] == 0;
            }));
    }

    SECTION("and restarts at once: the new process serves and nothing is "
            "billed twice")
    {
        cluster.start_router("a1");
        CHECK(wait_until(
            [&]
            {
                return cluster.ready("a1");
            }));
        CHECK(wait_until(
            [&]
            {
                return cluster.chat("a1", 5).status == 200;
            }));
        CHECK(wait_until(
            [&]
            {
                return cluster.runs().size() == 2;
            }));
        cluster.check_bills(config.prepaid);
    }
}

TEST_CASE("a router is frozen until the second host adopts its ledger")
{
    auto config = two_hosts();
    config.prepaid = 20000;
    fleet cluster(config);
    reply response;
    auto caller = begin_stream(cluster, "a1", response, 600, "k1");
    cluster.router("a1").signal(SIGSTOP);
    REQUIRE(wait_until(
        [&]
        {
            return cluster.log_text("a2").find("event=ledger_adopted") !=
                   std::string::npos;
        }));

    SECTION("and the caller retries at the second host")
    {
        CHECK(cluster.chat("a2", 600, true, "k1").complete);
        cluster.router("a1").signal(SIGCONT);
        caller.join();
        CHECK(wait_until(
            [&]
            {
                return cluster.status("a1")["pairing"] == "paired";
            }));
        cluster.check_bills(config.prepaid);
        CHECK(cluster.runs().size() == 1);
    }

    SECTION("and the budget is spent before it resumes")
    {
        while (cluster.chat("a2", 400, false).status == 200)
            ;
        cluster.router("a1").signal(SIGCONT);
        caller.join();
        CHECK(wait_until(
            [&]
            {
                return cluster.ready("a1");
            }));
        while (cluster.chat("a1", 400, false).status == 200)
            ;
        cluster.check_bills(config.prepaid);
    }
}

TEST_CASE("a second host crashes")
{
    const auto config = two_hosts();
    fleet cluster(config);
    cluster.router("a2").kill();

    SECTION("while the platform is up: the other host goes on unpaired")
    {
        CHECK(wait_until(
            [&]
            {
                return cluster.chat("a1", 20).status == 200;
            }));
        CHECK(wait_until(
            [&]
            {
                return cluster.status("a1")["pairing"] == "alone";
            }));
        CHECK(cluster.chat("a1", 20).complete);
        cluster.check_bills(config.prepaid);
    }

    SECTION("while the platform is down: the other host spends its solo tokens")
    {
        cluster.set_platform_fault("down");
        CHECK(wait_until(
            [&]
            {
                return cluster.chat("a1", 20).status == 200;
            }));
        CHECK(cluster.status("a1")["pairing"] == "cut");
        CHECK(cluster.chat("a1", 20).complete);
        cluster.set_platform_fault("pass");
        CHECK(wait_until(
            [&]
            {
                return cluster.status("a1")["pairing"] == "alone";
            }));
        cluster.check_bills(config.prepaid);
    }
}
