// Requests that crash the endpoints that answer them, at several hosts and
// endpoints, beside sound requests with the same customer and prompt parts.

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
using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

/// Time after which all hosts know what one of them has seen.
constexpr long long contact_ms = 3000;

constexpr std::size_t quarantine_crashes = 5;
constexpr int max_requests_after = 3;

const std::vector<std::string> host_names{"h1", "h2", "h3"};

long long now_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// A path that no other request has; endpoints log it without the query.
std::string unique(const std::string& path)
{
    return path + "?n=" + installation::next_id();
}

std::string prompt(const std::string& second_part)
{
    return "a1:100," + second_part + ":70,e" +
           installation::next_id().substr(1) + ":500";
}

/// Times of the events of the endpoints' logs.
std::vector<long long> times(const std::vector<json>& events)
{
    std::vector<long long> sorted;
    for (const auto& each : events)
        sorted.push_back(each["at_ms"]);
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

/// Sends sound requests in the background, through all hosts in turn.
class sound_traffic
{
public:
    explicit sound_traffic(const installation& site) : m_site(site)
    {
        constexpr int threads = 4;
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back(
                [this, i]
                {
                    send(i);
                });
    }

    ~sound_traffic()
    {
        m_stopping = true;
        for (auto& each : m_threads)
            each.join();
    }

    void reset()
    {
        m_sent = 0;
        m_served = 0;
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
    void send(int worker)
    {
        for (int i = worker; !m_stopping; ++i)
        {
            const auto second_part = "c" + std::to_string(i % 40);
            const auto answer = m_site.call(
                host_names[i % host_names.size()], unique("/stream/sound"),
                {{"Prefix-Hash", prompt(second_part)},
                 {"Authorization", "Token k2"}});
            ++m_sent;
            if (answer && answer->status == 200)
                ++m_served;
        }
    }

    const installation& m_site;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_sent{0};
    std::atomic<int> m_served{0};
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_CASE("a prompt part that crashes endpoints soon reaches no more of them, "
          "and the requests beside it are served",
          "[crashes]")
{
    const std::vector<std::string> framing =
        GENERATE(std::vector<std::string>{},
                 std::vector<std::string>{"--close_delimited"});
    const std::string path = GENERATE("/stream/bad", "/stream/resumed/bad");
    installation site;
    for (int i = 1; i <= 10; ++i)
        site.start_crashing_replica("i-" + std::to_string(i), "pool", "bad",
                                    framing);
    for (const auto& name : host_names)
        site.start_host(name);
    INFO((framing.empty() ? "chunked " : "close-delimited ") << path);
    sound_traffic sound(site);
    REQUIRE(wait_until(
        [&]
        {
            return sound.served() >= 30;
        }));

    int calls = 0;
    const auto send_bad = [&]
    {
        return site.call(
            host_names[++calls % host_names.size()], unique(path),
            {{"Prefix-Hash", prompt("bad")}, {"Authorization", "Token k2"}});
    };
    // Fewer crashes than five are better, if no more request gets through.
    long long bound = 0;
    REQUIRE(wait_until(
        [&]
        {
            send_bad();
            const auto crashes = times(site.runs("crash"));
            if (crashes.empty())
                return false;
            bound = crashes[std::min(quarantine_crashes, crashes.size()) - 1] +
                    contact_ms;
            return now_ms() > bound;
        },
        60000));
    REQUIRE(wait_until(
        [&]
        {
            send_bad();
            return now_ms() > bound + contact_ms;
        }));
    sound.reset();
    CHECK(wait_until(
        [&]
        {
            send_bad();
            return sound.sent() >= 100;
        }));
    CHECK(2 * sound.served() >= sound.sent());

    const auto runs = times(site.runs(path));
    const auto late = std::count_if(runs.begin(), runs.end(),
                                    [&](long long each)
                                    {
                                        return each > bound;
                                    });
    CHECK(late <= max_requests_after);

    const auto count = site.runs(path).size();
    const auto refused = send_bad();
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->has_header("Retry-After"));
    CHECK(site.runs(path).size() == count);
}
