// Hosts that lose their links to all endpoints, while callers, the store and
// the other hosts still reach them.

#include <atomic>
#include <chrono>
#include <map>
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
using clock_type = std::chrono::steady_clock;

namespace
{

/// Time after which all hosts know what one of them has seen.
constexpr milliseconds contact_time{3000};

/// Requests that have to be sent to the cut hosts while they are cut.
constexpr int enough_requests = 120;

/// Requests of one count, after which callers pause.
constexpr int max_requests = 4 * enough_requests;
constexpr int deadline_ms = 60000;

const std::vector<std::string> cut_hosts{"c1", "c2"};
const std::vector<std::string> other_hosts{"o1", "o2"};

/// Requests that were sent after a moment, and those of them that were served.
struct tally
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

/// Sends requests of all kinds to hosts in the background, without retries.
class callers
{
public:
    callers(const installation& site, const std::vector<std::string>& hosts)
        : m_site(site)
    {
        for (const auto& host : hosts)
            for (const std::string path : {"/stream/a", "/read/b", "/book/c"})
                m_threads.emplace_back(
                    [this, host, path]
                    {
                        send(host, path);
                    });
    }

    ~callers()
    {
        m_stopping = true;
        for (auto& each : m_threads)
            each.join();
    }

    /// Counts the requests that are sent from now on.
    void start_count()
    {
        m_counted = std::make_shared<tally>();
    }

    std::shared_ptr<tally> counted() const
    {
        return m_counted;
    }

private:
    void send(const std::string& host, const std::string& path)
    {
        for (int i = 0; !m_stopping; ++i)
        {
            const std::shared_ptr<tally> counted = m_counted.load();
            wait_until(
                [&]
                {
                    return m_stopping || counted->sent < max_requests ||
                           m_counted.load() != counted;
                },
                deadline_ms);
            if (m_stopping)
                break;
            const auto part = "c" + std::to_string(i % 20);
            const auto answer =
                m_site.call(host, path,
                            {{"Prefix-Hash", "a1:100," + part + ":70,e" +
                                                 std::to_string(i) + ":50"},
                             {"Authorization", "Token k2"}});
            ++counted->sent;
            if (answer && answer->status == 200)
                ++counted->served;
        }
    }

    const installation& m_site;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::shared_ptr<tally>> m_counted{std::make_shared<tally>()};
    std::vector<std::thread> m_threads;
};

/// Four hosts, two of them with links of their own to the endpoints.
class divided_site : public installation
{
public:
    divided_site() : installation(json::object(), 2)
    {
        for (int i = 1; i <= 4; ++i)
            start_replica("pool-" + std::to_string(i), "pool");
        for (int i = 1; i <= 3; ++i)
            start_replica("desk-" + std::to_string(i), "desk");
        for (int view = 1; view <= 2; ++view)
        {
            link_view(view);
            start_host(cut_hosts[view - 1], "graceS = 8", view);
        }
        for (const auto& name : other_hosts)
            start_host(name);
    }

    void cut(const std::string& mode, const std::string& prefix = "") const
    {
        set_links(1, mode, prefix);
        set_links(2, mode, prefix);
    }
};

bool serves(const callers& traffic, int requests)
{
    return wait_until(
        [&]
        {
            return traffic.counted()->served >= requests;
        });
}

/// Waits until the hosts have to cope with a cut that has just begun.
void wait_for_contact()
{
    const auto until = clock_type::now() + contact_time;
    wait_until(
        [&]
        {
            return clock_type::now() >= until;
        });
}

} // namespace

TEST_CASE("hosts that reach no endpoint serve their callers through the others",
          "[partition]")
{
    const std::string mode = GENERATE("hang", "refuse", "refuse_new");
    INFO(mode);
    divided_site site;
    callers cut(site, cut_hosts);
    callers others(site, other_hosts);
    REQUIRE(serves(cut, 30));
    REQUIRE(serves(others, 30));

    site.cut(mode);
    wait_for_contact();
    cut.start_count();
    others.start_count();
    REQUIRE(wait_until(
        [&]
        {
            return cut.counted()->sent >= enough_requests &&
                   others.counted()->sent >= enough_requests;
        },
        deadline_ms));
    const auto& at_cut = *cut.counted();
    const auto& at_others = *others.counted();
    INFO("cut hosts " << at_cut.served << " of " << at_cut.sent << ", others "
                      << at_others.served << " of " << at_others.sent);
    CHECK(3.0 * at_cut.served / at_cut.sent >=
          2.0 * at_others.served / at_others.sent);

    site.cut("pass");
    wait_for_contact();
    cut.start_count();
    CHECK(serves(cut, 60));
    CHECK(cut.counted()->sent - cut.counted()->served <= 2);

    // A path that is gone accuses no request of crashes.
    for (const auto& host : cut_hosts)
        CHECK(site.log_text(host).find("event=endpoint_crashed") ==
              std::string::npos);

    // What may run once has run once.
    std::map<std::string, int> runs;
    for (const auto& each : site.runs("/book/c"))
        ++runs[each["id"]];
    for (const auto& [id, count] : runs)
        CHECK(count == 1);
}

TEST_CASE("hosts that all reach no endpoint refuse at once, and are not ready",
          "[partition]")
{
    installation site(json::object(), 2);
    for (int i = 1; i <= 4; ++i)
        site.start_replica("pool-" + std::to_string(i), "pool");
    for (int view = 1; view <= 2; ++view)
    {
        site.link_view(view);
        site.start_host(cut_hosts[view - 1], "graceS = 8", view);
    }
    callers traffic(site, cut_hosts);
    REQUIRE(serves(traffic, 30));

    site.set_links(1, "hang");
    site.set_links(2, "hang");
    REQUIRE(wait_until(
        [&]
        {
            return !site.ready("c1") && !site.ready("c2");
        }));
    const auto refused =
        site.call("c1", "/stream/refused", {{"Authorization", "Token k2"}});
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->has_header("Retry-After"));

    site.set_links(1, "pass");
    site.set_links(2, "pass");
    CHECK(wait_until(
        [&]
        {
            return site.ready("c1") && site.ready("c2");
        }));
    traffic.start_count();
    CHECK(serves(traffic, 30));
    CHECK(site.runs("/stream/refused").empty());
}

TEST_CASE("hosts that reach a part of the endpoints serve their callers",
          "[partition]")
{
    const std::string mode = GENERATE("hang", "refuse");
    INFO(mode);
    divided_site site;
    callers cut(site, cut_hosts);
    REQUIRE(serves(cut, 30));
    site.cut(mode, GENERATE("pool-", "desk-"));
    wait_for_contact();
    cut.start_count();
    REQUIRE(wait_until(
        [&]
        {
            return cut.counted()->sent >= enough_requests;
        },
        deadline_ms));
    INFO("served " << cut.counted()->served << " of " << cut.counted()->sent);
    CHECK(3 * cut.counted()->served >= 2 * cut.counted()->sent);
}

TEST_CASE("a caller that leaves ends its stream at the endpoint, also through "
          "another host",
          "[partition]")
{
    divided_site site;
    callers traffic(site, cut_hosts);
    REQUIRE(serves(traffic, 30));
    site.cut("refuse");
    wait_for_contact();
    for (int i = 1; i <= 4; ++i)
        site.set_replica_fault("pool-" + std::to_string(i),
                               {{"events", 1000}, {"gap_ms", 50}});
    httplib::Headers headers{{"Host", "a.example"},
                             {"Request-Id", installation::next_id()},
                             {"Deadline-Ms", "3000"},
                             {"Authorization", "Token k2"}};
    httplib::Request request;
    request.method = "POST";
    request.path = "/stream/leaving";
    request.headers = headers;
    request.content_receiver =
        [](const char*, std::size_t, std::uint64_t, std::uint64_t)
    {
        return false;
    };
    auto client = site.caller_client("c1");
    static_cast<void>(client.send(request));
    client.stop();
    CHECK(wait_until(
        [&]
        {
            return !site.runs("/stream/leaving/left").empty();
        }));
    // Before the request's time limit, 3 s, would have ended it.
    const auto begun = site.runs("/stream/leaving").at(0)["at_ms"];
    const auto left = site.runs("/stream/leaving/left").at(0)["at_ms"];
    CHECK(left.get<long long>() - begun.get<long long>() < 2000);
}
