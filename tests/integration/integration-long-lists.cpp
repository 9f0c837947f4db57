// Lists in the store that are larger than the memory of a host. Whatever other
// writers have left there, a host reads the list, serves the endpoints in it
// and stays within its memory.

#include <sstream>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"
#include "memory.hpp"

using harness::installation;
using harness::peak_memory_kb;
using harness::wait_until;
using nlohmann::json;

namespace
{

/// Memory that a host may need.
constexpr long max_memory_kb = 64L * 1024;

/// Entries whose sum exceeds the memory of a host of 110 MB.
constexpr std::size_t list_bytes = 130'000'000;

constexpr int serve_ms = 20000;

/// Leaves entries of a size and of a beginning of their names.
void leave_entries(const installation& site, const std::string& kind,
                   const json& spec, std::size_t bytes)
{
    const auto size = spec.dump().size();
    for (std::size_t left = 0; left < bytes; left += size)
        site.upsert_object(kind, "odd-" + std::to_string(1'000'000 + left),
                           spec);
}

/// Starts hosts that are ready in time, serve and stay within their memory.
void check_hosts(installation& site)
{
    for (const auto* host : {"h1", "h2"})
        site.spawn_host(host, "graceS = 8\nevacuateMs = 2000");
    for (const auto* host : {"h1", "h2"})
    {
        CHECK(wait_until(
            [&]
            {
                const auto answer = site.call(host, "/read/x");
                return answer && answer->status == 200;
            },
            serve_ms));
        CHECK(peak_memory_kb(site.host(host).pid()) < max_memory_kb);
    }
}

int count_lines(const std::string& text, const std::string& part)
{
    std::istringstream in(text);
    int count = 0;
    for (std::string line; std::getline(in, line);)
        count += line.find(part) != std::string::npos ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("entries of the largest size in any list leave a host its memory",
          "[long-lists][large]")
{
    const auto* const kind =
        GENERATE("servers", "rollouts", "config", "evacuations");
    INFO(kind);
    installation site;
    site.start_replica("i-0", "desk");
    site.start_replica("z-0", "desk");
    leave_entries(site, kind, std::string(1'000'000, 'x'), list_bytes);
    check_hosts(site);
}

TEST_CASE("entries that are large only in sum leave a host its memory",
          "[long-lists][many]")
{
    installation site;
    site.start_replica("i-0", "desk");
    site.start_replica("z-0", "desk");
    // Each of them names an endpoint, of a service that no route leads to.
    leave_entries(site, "servers",
                  {{"service", "other"},
                   {"address", "127.0.0.1:9"},
                   {"zone", "z1"},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"note", std::string(60'000, 'x')}},
                  list_bytes);
    check_hosts(site);
}

TEST_CASE("unusable entries fill neither the memory nor the log",
          "[long-lists][log]")
{
    installation site;
    site.start_replica("z-0", "desk");
    constexpr int entries = 500;
    for (int i = 0; i < entries; ++i)
        site.upsert_object("servers",
                           std::to_string(i) + std::string(60'000, 'n'), "x");
    site.spawn_host("h1");
    CHECK(wait_until(
        [&]
        {
            return site.log_text("h1").find("event=objects_ignored") !=
                   std::string::npos;
        },
        serve_ms));
    constexpr int max_lines = 20;
    CHECK(count_lines(site.log_text("h1"), "event=endpoint_ignored") <=
          max_lines);
    CHECK(peak_memory_kb(site.host("h1").pid()) < max_memory_kb);
    CHECK(site.ready("h1"));
}
