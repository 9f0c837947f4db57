// The escrow account of many hosts: calls on the store that draws cost.

#include <string>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;
using nlohmann::json;

namespace
{

constexpr int host_count = 24;
constexpr int customer_count = 12;

/// The store's usual response time.
constexpr int store_answer_ms = 4;

/// Writes that a host needs to become a member of the fleet: one for its row
/// in the account, one to draw, one to register its witness.
constexpr int writes_to_join = 3;

std::string host_name(int number)
{
    return "h" + std::to_string(number);
}

json customers(bool with_budgets)
{
    auto all = json::array();
    for (int i = 0; i < customer_count; ++i)
    {
        all.push_back({{"name", "c" + std::to_string(i)},
                       {"apiKeys", {"k" + std::to_string(i)}}});
        if (with_budgets)
            all.back()["prepaid"] = 1000000;
    }
    return {{"tenants", all}};
}

json account(const installation& site)
{
    const auto stored = site.store_client().Get("/api/objects/escrow/main");
    if (!stored || stored->status != 200)
        return json::object();
    return json::parse(stored->body)["spec"]["hosts"];
}

bool has_witness(const json& holding)
{
    return !holding["witness"]["host"].get<std::string>().empty();
}

bool all_hosts_have_witnesses(const installation& site)
{
    const auto holdings = account(site);
    if (holdings.size() != host_count)
        return false;
    for (const auto& [host, holding] : holdings.items())
        if (!has_witness(holding))
            return false;
    return true;
}

} // namespace

TEST_CASE("a budget that leaves the configuration does not keep a host without "
          "a witness",
          "[account]")
{
    installation site;
    site.start_replica("i-1", "pool");
    site.start_host("h1");
    REQUIRE(wait_until(
        [&]
        {
            const auto holdings = account(site);
            return holdings.contains("h1") &&
                   holdings["h1"]["drawn"].contains("clerks");
        }));
    site.publish_configuration(2, customers(true));
    site.start_host("h2");
    CHECK(wait_until(
        [&]
        {
            const auto holdings = account(site);
            return holdings.size() == 2 && has_witness(holdings["h1"]);
        }));
}

TEST_CASE("hosts that draw at once do not starve each other by refused writes",
          "[account]")
{
    // Hosts write to the account once budgets are published.
    installation site(customers(false));
    site.start_replica("i-1", "pool");
    site.set_store_fault({{"silent_ms", store_answer_ms}});
    for (int i = 0; i < host_count; ++i)
        site.start_host(host_name(i));
    site.publish_configuration(2, customers(true));
    REQUIRE(wait_until(
        [&]
        {
            return all_hosts_have_witnesses(site);
        },
        60000));
    for (int i = 0; i < host_count; ++i)
        for (const auto* key : {"k1", "k7"})
        {
            const auto answer =
                site.call(host_name(i), "/stream/x",
                          {{"Authorization", std::string("Token ") + key},
                           {"Token-Usage", "495,5"}});
            REQUIRE(answer);
            INFO(host_name(i) << ": " << answer->body);
            CHECK(answer->status == 200);
        }
    const auto calls = site.store_calls("escrow");
    CHECK(calls["refused"].get<int>() <= writes_to_join * host_count);
}
