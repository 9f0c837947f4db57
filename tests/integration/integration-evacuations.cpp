// An operator evacuates availability zones: requests reach endpoints of the
// others only, from all hosts, until the zone is taken back.

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;
using nlohmann::json;

namespace
{

/// Time within which a host has to follow an evacuation.
constexpr int evacuate_ms = 4000;
const std::string bounds = "graceS = 8\nevacuateMs = 4000";

constexpr int calls_per_host = 20;

void evacuate(const installation& site, const std::string& zone)
{
    site.upsert_object("evacuations", zone, json::object());
}

void take_back(const installation& site, const std::string& zone)
{
    site.remove_object("evacuations", zone);
}

/// The zones that a host has logged as evacuated last.
std::string evacuated_zones(const installation& site, const std::string& host)
{
    const std::string label = "event=evacuations zones=[";
    const auto log = site.log_text(host);
    const auto at = log.rfind(label);
    if (at == std::string::npos)
        return {};
    const auto begin = at + label.size();
    return log.substr(begin, log.find(']', begin) - begin);
}

bool all_follow(const installation& site, const std::vector<std::string>& hosts,
                const std::string& zones)
{
    return wait_until(
        [&]
        {
            for (const auto& each : hosts)
                if (evacuated_zones(site, each) != zones)
                    return false;
            return true;
        },
        evacuate_ms);
}

/// Runs by endpoint of some requests to each host, all of which are served.
std::map<std::string, int> runs_of_calls(const installation& site,
                                         const std::vector<std::string>& hosts)
{
    static int number = 0;
    const auto path = "/read/count" + std::to_string(++number);
    for (const auto& host : hosts)
        for (int i = 0; i < calls_per_host; ++i)
        {
            const auto answer = site.call(host, path);
            REQUIRE(answer);
            CHECK(answer->status == 200);
        }
    std::map<std::string, int> counts;
    for (const auto& each : site.runs(path))
        ++counts[each.at("replica").get<std::string>()];
    return counts;
}

/// A host whose calls to the store pass through a fault proxy.
class link_to_store
{
public:
    explicit link_to_store(const installation& site)
        : m_proxy({std::string(RHUBARBGRADE_BUILD) + "/tests/standin_proxy"},
                  "/dev/null")
    {
        httplib::Client control("127.0.0.1", m_proxy.port("control"));
        REQUIRE(control.Put("/target", std::to_string(site.store_port()),
                            "text/plain"));
    }

    int port()
    {
        return m_proxy.port();
    }

    void set_mode(const std::string& mode)
    {
        httplib::Client control("127.0.0.1", m_proxy.port("control"));
        REQUIRE(control.Put("/fault",
                            json{{"mode", mode}, {"delay_ms", 0}}.dump(),
                            "application/json"));
    }

private:
    harness::process m_proxy;
};

} // namespace

TEST_CASE("an evacuated zone gets no request from any host until it is taken "
          "back",
          "[evacuations]")
{
    installation site;
    site.start_replica("a", "desk", "z1");
    site.start_replica("b", "desk", "z2");
    const std::vector<std::string> hosts{"h1", "h2"};
    for (const auto& each : hosts)
        site.start_host(each, bounds);
    // The hosts' own zone is preferred.
    CHECK(runs_of_calls(site, hosts).at("a") == 2 * calls_per_host);

    evacuate(site, "z1");
    REQUIRE(all_follow(site, hosts, "z1"));
    const auto during = runs_of_calls(site, hosts);
    CHECK(during.count("a") == 0);
    CHECK(during.at("b") == 2 * calls_per_host);

    // Another writer's entries are ignored, the operator's holds.
    site.upsert_object("evacuations", "z2", json::array({"z2"}));
    // One zone is taken back while the next one is evacuated, and set again.
    take_back(site, "z1");
    REQUIRE(all_follow(site, hosts, ""));
    CHECK(runs_of_calls(site, hosts).at("a") == 2 * calls_per_host);
    site.remove_object("evacuations", "z2");
    evacuate(site, "z2");
    REQUIRE(all_follow(site, hosts, "z2"));
    const auto swapped = runs_of_calls(site, hosts);
    CHECK(swapped.count("b") == 0);
    CHECK(swapped.at("a") == 2 * calls_per_host);
}

TEST_CASE("requests are refused at once and not run while all zones of a "
          "service are evacuated",
          "[evacuations]")
{
    installation site;
    site.start_replica("a", "desk", "z1");
    site.start_replica("b", "desk", "z2");
    site.start_host("h1", bounds);
    evacuate(site, "z1");
    evacuate(site, "z2");
    REQUIRE(all_follow(site, {"h1"}, "z1,z2"));
    for (int i = 0; i < calls_per_host; ++i)
    {
        const auto before = std::chrono::steady_clock::now();
        const auto answer = site.call("h1", "/read/refused");
        const auto waited = std::chrono::steady_clock::now() - before;
        REQUIRE(answer);
        CHECK(answer->status == 503);
        CHECK(answer->has_header("Retry-After"));
        // A quarter of the route's objective.
        CHECK(waited < std::chrono::milliseconds(200));
    }
    CHECK(site.runs("/read/refused").empty());
    take_back(site, "z2");
    REQUIRE(all_follow(site, {"h1"}, "z1"));
    CHECK(runs_of_calls(site, {"h1"}).at("b") == calls_per_host);
}

TEST_CASE("a host that is cut from the store follows an evacuation that others "
          "tell it of",
          "[evacuations]")
{
    installation site;
    site.start_replica("a", "desk", "z1");
    site.start_replica("b", "desk", "z2");
    site.start_host("h1", bounds);
    link_to_store link(site);
    site.start_host_beside("cut", link.port());
    REQUIRE(wait_until(
        [&]
        {
            return site.ready("cut") &&
                   site.log_text("h1").find(" live=2 ") != std::string::npos;
        },
        20000));
    link.set_mode("refuse");
    evacuate(site, "z1");
    REQUIRE(all_follow(site, {"h1", "cut"}, "z1"));
    CHECK(runs_of_calls(site, {"h1", "cut"}).count("a") == 0);
    take_back(site, "z1");
    REQUIRE(all_follow(site, {"h1", "cut"}, ""));
    CHECK(runs_of_calls(site, {"h1", "cut"}).at("a") == 2 * calls_per_host);
}
