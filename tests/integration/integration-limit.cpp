// Endpoints that name a limit for the requests of all hosts together.

#include <algorithm>
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

namespace
{

/// Time after which all hosts know what one of them was told.
constexpr long long contact_ms = 3000;

constexpr long long window_ms = 4000;

constexpr int host_count = 9;

long long now_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::string host_name(int index)
{
    return "h" + std::to_string(index % host_count + 1);
}

/// Times of the requests that reached an endpoint after a moment.
std::vector<long long> arrivals(const installation& site,
                                const std::string& path, const std::string& id,
                                long long after)
{
    std::vector<long long> times;
    for (const auto& run : site.runs(path))
        if (run["replica"] == id && run["at_ms"] > after)
            times.push_back(run["at_ms"]);
    std::sort(times.begin(), times.end());
    return times;
}

int most_in_window(const std::vector<long long>& times)
{
    int most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last)
    {
        while (times[last] - times[first] >= window_ms)
            ++first;
        most = std::max(most, static_cast<int>(last - first + 1));
    }
    return most;
}

int allowed(double limit)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    return static_cast<int>(tolerance * limit * window_ms / 1000 + slack);
}

/// Requests in the background, through all hosts in turn.
class traffic
{
public:
    explicit traffic(const installation& site) : m_site(site)
    {
        constexpr int threads = 6;
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back(
                [this, i]
                {
                    send(i);
                });
    }

    ~traffic()
    {
        m_stopping = true;
        for (auto& each : m_threads)
            each.join();
    }

    int served() const
    {
        return m_served;
    }

    int failed() const
    {
        return m_failed;
    }

private:
    void send(int worker)
    {
        for (int i = worker; !m_stopping; ++i)
        {
            const auto answer = m_site.call(host_name(i), "/read/x",
                                            {{"Authorization", "Token k2"}});
            ++(answer && answer->status == 200 ? m_served : m_failed);
        }
    }

    const installation& m_site;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_served{0};
    std::atomic<int> m_failed{0};
    std::vector<std::thread> m_threads;
};

void start(installation& site, int replicas)
{
    for (int i = 1; i <= replicas; ++i)
    {
        const auto id = "i-" + std::to_string(i);
        site.start_replica(id, "desk");
        site.set_replica_fault(id, {{"delay_ms", 60}});
    }
    for (int i = 0; i < host_count; ++i)
        site.start_host(host_name(i));
}

} // namespace

TEST_CASE("an endpoint gets no more requests than the limit it names, from all "
          "hosts together, and the others serve the rest",
          "[limit]")
{
    const std::string limit = GENERATE("1", "1.1", "4");
    INFO("limit " << limit);
    installation site;
    start(site, 4);
    traffic requests(site);
    REQUIRE(wait_until(
        [&]
        {
            return requests.served() >= 200;
        }));
    const auto failed = requests.failed();
    site.set_replica_fault("i-1", {{"delay_ms", 60}, {"limit", limit}});
    const auto begin = now_ms() + contact_ms;
    REQUIRE(wait_until(
        [&]
        {
            return now_ms() > begin + 2 * window_ms;
        }));
    const auto times = arrivals(site, "/read/x", "i-1", begin);
    CHECK(most_in_window(times) <= allowed(std::stod(limit)));
    CHECK(times.size() >= 2);
    CHECK(requests.failed() == failed);

    // It gets its share again once it no longer names a limit.
    site.set_replica_fault("i-1", {{"delay_ms", 60}});
    const auto end = now_ms();
    CHECK(wait_until(
        [&]
        {
            return arrivals(site, "/read/x", "i-1", end).size() > 100;
        }));
}

TEST_CASE(
    "requests that exceed the limits of all endpoints are refused at once",
    "[limit]")
{
    installation site;
    start(site, 2);
    for (const auto* id : {"i-1", "i-2"})
        site.set_replica_fault(id, {{"delay_ms", 60}, {"limit", "0.5"}});
    int calls = 0;
    const auto call = [&]
    {
        return site.call(host_name(++calls), "/book/x",
                         {{"Authorization", "Token k2"}});
    };
    REQUIRE(wait_until(
        [&]
        {
            const auto answer = call();
            return answer && answer->status == 503;
        }));
    const auto begin = now_ms() + contact_ms;
    int served = 0;
    int refused = 0;
    REQUIRE(wait_until(
        [&]
        {
            const auto answer = call();
            REQUIRE(answer);
            if (answer->status == 200)
                ++served;
            else
            {
                CHECK(answer->status == 503);
                CHECK(std::stod(answer->get_header_value("Retry-After")) > 0);
                ++refused;
            }
            return now_ms() > begin + 2 * window_ms;
        }));
    CHECK(served > 0);
    CHECK(refused > 0);
    for (const auto* id : {"i-1", "i-2"})
        CHECK(most_in_window(arrivals(site, "/book/x", id, begin)) <=
              allowed(0.5));
}
