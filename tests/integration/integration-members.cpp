// Hosts meet and learn of each other, with and without a prepaid budget.

#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;
using nlohmann::json;

namespace
{

std::string host_name(int number)
{
    return "h" + std::to_string(number);
}

json customers(bool with_budget)
{
    json customer{{"name", "clerks"}, {"apiKeys", {"k1"}}};
    if (with_budget)
        customer["prepaid"] = 1000000;
    return {{"tenants", {customer}}};
}

/// Whether the last count that a host has logged says that it takes this many
/// hosts for live.
bool knows(const installation& site, const std::string& host, int live)
{
    const auto log = site.log_text(host);
    const auto line = log.rfind("event=members ");
    return line != std::string::npos &&
           log.find(" live=" + std::to_string(live) + " ", line) !=
               std::string::npos;
}

bool all_know(const installation& site, int hosts)
{
    for (int i = 0; i < hosts; ++i)
        if (!knows(site, host_name(i), hosts))
            return false;
    return true;
}

} // namespace

TEST_CASE("hosts meet without any prepaid budget", "[members]")
{
    const auto hosts = GENERATE(3, 9, 24);
    INFO(hosts << " hosts");
    installation site(customers(false));
    site.start_replica("i-1", "pool");
    for (int i = 0; i < hosts; ++i)
        site.start_host(host_name(i));
    CHECK(wait_until(
        [&]
        {
            return all_know(site, hosts);
        },
        30000));
}

TEST_CASE("hosts know each other on while the first budget comes and the last "
          "one goes",
          "[members]")
{
    constexpr int hosts = 5;
    installation site(customers(false));
    site.start_replica("i-1", "pool");
    for (int i = 0; i < hosts; ++i)
        site.start_host(host_name(i));
    REQUIRE(wait_until(
        [&]
        {
            return all_know(site, hosts);
        },
        30000));
    int version = 1;
    for (const bool with_budget : {true, false})
    {
        site.publish_configuration(++version, customers(with_budget));
        const auto in_force =
            "configuration version " + std::to_string(version);
        for (int i = 0; i < hosts; ++i)
            CHECK(wait_until(
                [&]
                {
                    const auto log = site.log_text(host_name(i));
                    const auto at = log.find(in_force);
                    return at != std::string::npos &&
                           log.find("event=members ", at) != std::string::npos;
                },
                30000));
        CHECK(all_know(site, hosts));
        const auto answer =
            site.call(host_name(0), "/stream/x", {{"Token-Usage", "10,6"}});
        REQUIRE(answer);
        CHECK(answer->status == 200);
    }
    site.host(host_name(hosts - 1)).kill();
    CHECK(wait_until(
        [&]
        {
            return knows(site, host_name(0), hosts - 1);
        },
        30000));
}
