// Lists that the store answers from old copies, as calls that allow it may be.

#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;
using nlohmann::json;

namespace
{

/// Time after a fault in which a host must be up to date.
constexpr int contact_ms = 3000;

constexpr int serve_ms = 10000;

std::string endpoint_name(int number)
{
    return "i-" + std::to_string(number);
}

/// The endpoint that a request has run on; empty if it was not answered.
std::string serving_endpoint(const installation& site, const std::string& host)
{
    const auto answer = site.call(host, "/read/x");
    if (!answer || answer->status != 200)
        return {};
    return answer->get_header_value("Response-Signature").substr(2);
}

/// Whether a few requests reach exactly these endpoints.
bool serves_only(const installation& site, const std::string& host,
                 const std::set<std::string>& names)
{
    constexpr int requests = 80;
    std::set<std::string> serving;
    for (int i = 0; i < requests; ++i)
        serving.insert(serving_endpoint(site, host));
    return serving == names;
}

} // namespace

// Guards against taking the revision of a list's first page for that of the
// list: a server that drained came back to all hosts of the zone for good.
TEST_CASE("pages of different age bring no endpoint back and hide none",
          "[stale-lists][pages]")
{
    installation site;
    constexpr int endpoints = 7; // a page has five
    for (int i = 0; i < endpoints; ++i)
        site.start_replica(endpoint_name(i), "desk");
    for (const auto* host : {"h1", "h2"})
        site.start_host(host);
    REQUIRE(wait_until(
        [&]
        {
            return serving_endpoint(site, "h2") == "i-6";
        },
        serve_ms));

    site.set_store_fault({{"save", true}, {"stale", "later"}});
    site.list_replica("i-6", "desk", "draining");
    site.remove_object("servers", "i-5");
    site.start_replica("j-0", "desk");
    const std::set<std::string> listed{"i-0", "i-1", "i-2",
                                       "i-3", "i-4", "j-0"};
    for (const auto* host : {"h1", "h2"})
        CHECK(wait_until(
            [&]
            {
                return serves_only(site, host, listed);
            },
            serve_ms));

    // Each in turn, as one of them reads for both.
    for (const auto* restarted : {"h1", "h2"})
    {
        INFO(restarted);
        site.host(restarted).kill();
        site.spawn_host(restarted);
        for (const auto* host : {"h1", "h2"})
            CHECK(wait_until(
                [&]
                {
                    return serves_only(site, host, listed);
                },
                contact_ms));
    }
}

// Guards against counting a first list, which may be old, as of the host's
// start: its peers put off their own reading for it.
TEST_CASE("a host that has read nothing but an old list knows no age of it",
          "[stale-lists][age]")
{
    installation site;
    site.start_replica("i-0", "desk");
    site.set_store_fault({{"refuse_present", 503}});
    site.spawn_host("h1");
    CHECK(wait_until(
        [&]
        {
            return serving_endpoint(site, "h1") == "i-0";
        },
        serve_ms));
    CHECK(wait_until(
        [&]
        {
            return site.log_text("h1").find("state_age_ms=-1 ") !=
                   std::string::npos;
        },
        serve_ms));
    site.set_store_fault(json::object());
    CHECK(wait_until(
        [&]
        {
            const auto log = site.log_text("h1");
            return log.find("state_age_ms=", log.rfind("event=store_calls")) !=
                       std::string::npos &&
                   log.find("state_age_ms=-1 ",
                            log.rfind("event=store_calls")) ==
                       std::string::npos;
        },
        serve_ms));
}
