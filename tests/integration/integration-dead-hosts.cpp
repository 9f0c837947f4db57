#include <csignal>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.hpp"
#include "until.hpp"

using harness::fleet;
using harness::plan;
using harness::reply;
using harness::until;

namespace
{

plan two_hosts()
{
    plan wanted;
    wanted.zones = {{"a", 2}};
    wanted.settings =
        "heartbeat_ms = 250\nsuspect_after_ms = 800\nclose_after_ms = 1500\n";
    return wanted;
}

/// Starts a stream and returns once its run has begun.
std::thread begin_stream(fleet& all, const std::string& host, reply& got,
                         int tokens, const std::string& key)
{
    std::thread caller(
        [&all, &got, host, tokens, key]
        {
            got = all.chat(host, tokens, true, key);
        });
    CHECK(until(
        [&]
        {
            return !all.record("engine.rec").empty();
        }));
    return caller;
}

} // namespace

TEST_CASE("a router that dies with a stream open")
{
    const auto wanted = two_hosts();
    fleet all(wanted);
    reply cut;
    auto caller = begin_stream(all, "a1", cut, 600, "k1");
    all.router("a1").kill();
    caller.join();
    CHECK_FALSE(cut.whole);

    SECTION("and whose caller tries again elsewhere: one whole answer, one "
            "run, one bill")
    {
        const auto again = all.chat("a2", 600, true, "k1");
        CHECK(again.status == 200);
        CHECK(again.whole);
        all.check_bills(wanted.prepaid);
        CHECK(all.runs().size() == 1);
    }

    SECTION("and whose caller never tries again: the run is billed all the "
            "same and its second host gets the tokens back")
    {
        CHECK(until(
            [&]
            {
                return all.runs().size() == 1;
            }));
        all.check_bills(wanted.prepaid);
        CHECK(all.log("a2").find("event=ledger_adopted") != std::string::npos);
        CHECK(until(
            [&]
            {
                return all.status("a2")["reservations"] == 0;
            }));
    }

    SECTION("and is replaced at once: its new process serves and nothing is "
            "billed twice")
    {
        all.start_router("a1");
        CHECK(until(
            [&]
            {
                return all.ready("a1");
            }));
        CHECK(until(
            [&]
            {
                return all.chat("a1", 5).status == 200;
            }));
        CHECK(until(
            [&]
            {
                return all.runs().size() == 2;
            }));
        all.check_bills(wanted.prepaid);
    }
}

TEST_CASE("a router that is frozen for longer than every time limit")
{
    auto wanted = two_hosts();
    wanted.prepaid = 20000;
    fleet all(wanted);
    reply frozen;
    auto caller = begin_stream(all, "a1", frozen, 600, "k1");
    all.router("a1").signal(SIGSTOP);
    REQUIRE(until(
        [&]
        {
            return all.log("a2").find("event=ledger_adopted") !=
                   std::string::npos;
        }));

    SECTION("and its caller tries again elsewhere")
    {
        CHECK(all.chat("a2", 600, true, "k1").whole);
        all.router("a1").signal(SIGCONT);
        caller.join();
        CHECK(until(
            [&]
            {
                return all.status("a1")["pairing"] == "paired";
            }));
        all.check_bills(wanted.prepaid);
        CHECK(all.runs().size() == 1);
    }

    SECTION("and the budget is spent meanwhile")
    {
        while (all.chat("a2", 400, false).status == 200)
            ;
        all.router("a1").signal(SIGCONT);
        caller.join();
        CHECK(until(
            [&]
            {
                return all.ready("a1");
            }));
        while (all.chat("a1", 400, false).status == 200)
            ;
        all.check_bills(wanted.prepaid);
    }
}

TEST_CASE("a second host that dies")
{
    const auto wanted = two_hosts();
    fleet all(wanted);
    all.router("a2").kill();

    SECTION("while the platform answers: the other goes on alone")
    {
        CHECK(until(
            [&]
            {
                return all.chat("a1", 20).status == 200;
            }));
        CHECK(until(
            [&]
            {
                return all.status("a1")["pairing"] == "alone";
            }));
        CHECK(all.chat("a1", 20).whole);
        all.check_bills(wanted.prepaid);
    }

    SECTION("while the platform is down: the other spends what it set aside")
    {
        all.platform_fault("down");
        CHECK(until(
            [&]
            {
                return all.chat("a1", 20).status == 200;
            }));
        CHECK(all.status("a1")["pairing"] == "cut");
        CHECK(all.chat("a1", 20).whole);
        all.platform_fault("pass");
        CHECK(until(
            [&]
            {
                return all.status("a1")["pairing"] == "alone";
            }));
        all.check_bills(wanted.prepaid);
    }
}
