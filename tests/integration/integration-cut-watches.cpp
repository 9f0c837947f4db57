// Watches of the store that are cut off while it answers all other calls.

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
