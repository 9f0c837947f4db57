// Endpoints that fall over when they have to turn too many requests away.

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

namespace
{

constexpr int replicas = 8;
constexpr int slots = 2;
constexpr int run_ms = 400;

/// Falls that are allowed: 2 and a tenth of the endpoints.
constexpr int allowed_falls = 2 + replicas / 10;

/// Time for which the endpoints have been brittle when the count ends.
constexpr milliseconds brittle_time{12000};

/// Sends requests at a fixed rate, in turn through all hosts.
class steady_traffic
{
public:
    steady_traffic(const installation& site, int hosts, int per_s)
        : m_site(site), m_hosts(hosts)
    {
        constexpr int threads = 40;
        const milliseconds interval(1000 * threads / per_s);
        const auto begin = clock_type::now();
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back(
                [this, i, interval, first = begin + i * interval / threads]
                {
                    send(i, interval, first);
                });
    }

    ~steady_traffic()
    {
        m_stopping = true;
        for (auto& each : m_threads)
            each.join();
    }

    int sent() const
    {
        return m_sent;
    }

    int served() const
    {
        return m_served;
    }

private:
    void send(int worker, milliseconds interval, clock_type::time_point next)
    {
        for (int i = worker; !m_stopping; i += 7)
        {
            wait_until(
                [&]
                {
                    return m_stopping || clock_type::now() >= next;
                });
            next += interval;
            const auto answer =
                m_site.call("h" + std::to_string(i % m_hosts + 1), "/read/x",
                            {{"Authorization", "Token k2"}});
            ++m_sent;
            if (answer && answer->status == 200)
                ++m_served;
        }
    }

    const installation& m_site;
    int m_hosts;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_sent{0};
    std::atomic<int> m_served{0};
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_CASE("brittle endpoints seldom fall over because they turn requests away",
          "[brittle]")
{
    const int hosts = GENERATE(9, 3);
    const int percent = GENERATE(125, 70);
    INFO(hosts << " hosts, load " << percent << " %");
    installation site;
    for (int i = 1; i <= replicas; ++i)
    {
        const auto id = "i-" + std::to_string(i);
        site.start_replica(id, "desk");
        site.list_replica(id, "desk", "ready", "v1", slots);
        site.set_replica_fault(id, {{"delay_ms", run_ms}, {"slots", slots}});
    }
    for (int i = 1; i <= hosts; ++i)
        site.start_host("h" + std::to_string(i));
    constexpr int capacity = 1000 * replicas * slots / run_ms;
    const steady_traffic traffic(site, hosts, capacity * percent / 100);
    REQUIRE(wait_until(
        [&]
        {
            return traffic.served() >= capacity;
        }));
    for (int i = 1; i <= replicas; ++i)
        site.set_replica_fault(
            "i-" + std::to_string(i),
            {{"delay_ms", run_ms}, {"slots", slots}, {"brittle", "3"}});
    const auto until = clock_type::now() + brittle_time;
    const auto sent_before = traffic.sent();
    const auto served_before = traffic.served();
    wait_until(
        [&]
        {
            return clock_type::now() >= until;
        });
    const auto sent = traffic.sent() - sent_before;
    const auto served = traffic.served() - served_before;
    INFO("served " << served << " of " << sent);
    CHECK(static_cast<int>(site.runs("fall").size()) <= allowed_falls);
    CHECK(2 * served >= sent);
}
