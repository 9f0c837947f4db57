// A few hosts read the store and pass its state on: calls to the store, and
// what becomes of the others when a reader dies, stops or is refused.

#include <csignal>

#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;
using nlohmann::json;

namespace
{

constexpr int hosts = 24;

/// Logged periods over which calls are counted, and their length.
constexpr int counted_periods = 2;
constexpr int period_s = 5;

std::string host_name(int number)
{
    return "h" + std::to_string(number);
}

int count(const std::string& text, const std::string& part)
{
    int found = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++found;
    return found;
}

/// The last line of a host's log that has a text, empty if there is none.
std::string last_line(const installation& site, const std::string& host,
                      const std::string& part)
{
    const auto log = site.log_text(host);
    const auto at = log.rfind(part);
    if (at == std::string::npos)
        return {};
    return log.substr(at, log.find('\n', at) - at);
}

bool reads(const installation& site, const std::string& host)
{
    return last_line(site, host, "event=store_calls ").find(" reads=true ") !=
           std::string::npos;
}

/// The hosts that read the store according to their last periodic log line.
std::vector<std::string> readers(const installation& site)
{
    std::vector<std::string> found;
    for (int i = 0; i < hosts; ++i)
        if (reads(site, host_name(i)))
            found.push_back(host_name(i));
    return found;
}

void wait_for_periods(const installation& site, int periods)
{
    // Of all hosts, since they don't log at the same time.
    std::vector<int> before;
    for (int i = 0; i < hosts; ++i)
        before.push_back(
            count(site.log_text(host_name(i)), "event=store_calls "));
    REQUIRE(wait_until(
        [&]
        {
            for (int i = 0; i < hosts; ++i)
                if (count(site.log_text(host_name(i)), "event=store_calls ") <
                    before[i] + periods)
                    return false;
            return true;
        },
        60000));
}

void start_fleet(installation& site)
{
    site.start_replica("i-1", "desk");
    for (int i = 0; i < hosts; ++i)
        site.start_host(host_name(i));
    REQUIRE(wait_until(
        [&]
        {
            return readers(site).size() == 1 &&
                   last_line(site, host_name(hosts - 1), "event=members ")
                           .find(" live=" + std::to_string(hosts) + " ") !=
                       std::string::npos;
        },
        60000));
}

void publish(const installation& site, int version, const std::string& key)
{
    site.publish_configuration(
        version, {{"tenants", {{{"name", "clerks"}, {"apiKeys", {key}}}}}});
}

/// Whether a host serves a key.
bool serves(const installation& site, int host, const std::string& key)
{
    const auto answer = site.call(host_name(host), "/read/x",
                                  {{"Authorization", "Token " + key}});
    return answer && answer->status == 200;
}

/// Checks that the hosts apply a new configuration.
/// @param[in] limit_ms  until the last one does
void check_applied(const installation& site, int version,
                   const std::vector<int>& all, int limit_ms)
{
    const auto key = "v" + std::to_string(version);
    publish(site, version, key);
    for (const auto each : all)
    {
        INFO(host_name(each));
        CHECK(wait_until(
            [&]
            {
                return serves(site, each, key);
            },
            limit_ms));
    }
}

} // namespace

TEST_CASE("calls to the store don't grow with the hosts, in calm and while it "
          "refuses",
          "[readers]")
{
    installation site;
    start_fleet(site);
    // A tenth of what hosts make that read by themselves: three watches of two
    // seconds each.
    constexpr int watches = 3;
    constexpr int tenths_per_call = 10;
    constexpr int bound = hosts * watches * period_s * (counted_periods + 1) /
                          2 * tenths_per_call / 10;
    auto before = site.store_cost();
    wait_for_periods(site, counted_periods);
    CHECK(site.store_cost() - before <= bound);

    site.set_store_fault({{"refuse", 503}});
    wait_for_periods(site, 1);
    before = site.store_cost();
    wait_for_periods(site, counted_periods);
    CHECK(site.store_cost() - before <= bound);

    site.set_store_fault(json::object());
    check_applied(site, 2, {0, 7, 23}, 5000);
}

TEST_CASE("a zone whose reader is killed or stopped gets the next "
          "configuration",
          "[readers]")
{
    installation site;
    start_fleet(site);
    int version = 1;
    for (const bool frozen : {false, true})
    {
        const auto found = readers(site);
        REQUIRE(found.size() == 1);
        const auto reader = found.front();
        INFO(reader << (frozen ? " is frozen" : " is killed"));
        std::vector<int> others;
        for (int i = 0; i < hosts; ++i)
            if (host_name(i) != reader && site.host(host_name(i)).running())
                others.push_back(i);
        if (frozen)
            site.host(reader).signal(SIGSTOP);
        else
            site.host(reader).kill();
        // Hosts must apply it 4 s after it has been written, if their faults
        // ended 5 s before.
        check_applied(site, ++version, {others[0], others[11], others[21]},
                      9000);
        if (frozen)
        {
            site.host(reader).signal(SIGCONT);
            // It has missed a version, and goes back to none of its own.
            check_applied(site, ++version, others, 9000);
            return;
        }
        REQUIRE(wait_until(
            [&]
            {
                int reading = 0;
                for (const auto each : others)
                    reading += reads(site, host_name(each)) ? 1 : 0;
                return reading == 1;
            },
            30000));
        site.start_host(reader);
        wait_for_periods(site, 1);
    }
}
