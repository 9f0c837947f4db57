// An endpoint that is cold falls over if all hosts together send too much.

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;
using nlohmann::json;

namespace
{

constexpr int hosts = 3;
constexpr int cold_per_s = 5;

void list(const installation& site, const std::string& id, int cold_ms)
{
    site.upsert_object(
        "servers", id,
        {{"service", "desk"},
         {"address", "127.0.0.1:" + std::to_string(site.replica_port(id))},
         {"zone", "z1"},
         {"version", "v1"},
         {"slots", 50},
         {"state", "ready"},
         {"coldRemainingMs", cold_ms}});
}

/// Callers that send one request after the other, in turn to all hosts.
class callers
{
public:
    explicit callers(const installation& site)
    {
        constexpr int threads = 9;
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back(
                [this, &site, i]
                {
                    const auto host = "h" + std::to_string(i % hosts);
                    while (!m_stopping)
                    {
                        const auto answer = site.call(host, "/read/x");
                        if (answer && answer->status == 200)
                            ++m_served;
                    }
                });
    }

    ~callers()
    {
        m_stopping = true;
        for (auto& each : m_threads)
            each.join();
    }

    int served() const
    {
        return m_served;
    }

private:
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_served{0};
    std::vector<std::thread> m_threads;
};

std::size_t runs_at(const installation& site, const std::string& id)
{
    const auto runs = site.runs("/read/x");
    return std::count_if(runs.begin(), runs.end(),
                         [&](const json& each)
                         {
                             return each.at("replica") == id;
                         });
}

} // namespace

TEST_CASE("a cold endpoint gets some requests from all hosts together and does "
          "not fall over",
          "[cold]")
{
    installation site(json{
        {"services",
         {{{"name", "desk"}, {"coldStartS", 3.0}, {"coldPerS", cold_per_s}}}},
        {"routes",
         {{{"name", "read"},
           {"hostname", "a.example"},
           {"pathPrefix", "/read/"},
           {"kind", "idempotent"},
           {"timeoutMs", 3000},
           {"targetLatencyMs", 800},
           {"service", "desk"},
           {"maxAttempts", 2}}}}});
    for (const auto* id : {"warm", "cold"})
        site.start_replica(id, "desk");
    list(site, "warm", 0);
    list(site, "cold", 60000);
    site.set_replica_fault("cold", {{"cold_per_s", cold_per_s}});
    for (int i = 0; i < hosts; ++i)
        site.start_host("h" + std::to_string(i));
    const callers traffic(site);
    constexpr int enough = 600;
    REQUIRE(wait_until(
        [&]
        {
            return traffic.served() >= enough && runs_at(site, "cold") >= 10;
        },
        60000));
    CHECK(site.event_count("fall") == 0);
    CHECK(runs_at(site, "warm") > runs_at(site, "cold"));

    // It becomes warm and takes its part of the traffic.
    site.set_replica_fault("cold", json::object());
    list(site, "cold", 0);
    const auto before = runs_at(site, "cold");
    CHECK(wait_until(
        [&]
        {
            return runs_at(site, "cold") >= before + 100;
        },
        20000));
    CHECK(site.event_count("fall") == 0);
}
