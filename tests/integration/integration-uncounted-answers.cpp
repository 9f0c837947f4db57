// Answers of engines whose tokens a host can't count.

#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.hpp"

using harness::installation;
using harness::wait_until;
using nlohmann::json;

namespace
{

constexpr int prepaid = 4000;
constexpr int prompt = 10;
constexpr int limit = 190;

/// Routes to the engine: the stand-in answers with events only if the path
/// contains "/stream/".
json configuration()
{
    const auto make_route = [](const std::string& prefix, const char* kind)
    {
        return json{{"name", prefix},       {"hostname", "a.example"},
                    {"pathPrefix", prefix}, {"kind", kind},
                    {"timeoutMs", 3000},    {"targetLatencyMs", 800},
                    {"service", "pool"},    {"stickySessions", true},
                    {"maxAttempts", 1}};
    };
    auto plain = make_route("/plain/", "idempotent");
    plain["service"] = "desk";
    return {
        {"routes",
         {make_route("/repeatable/", "idempotent"),
          make_route("/once/", "non_idempotent"),
          make_route("/whole/", "stream"), make_route("/other/", "idempotent"),
          make_route("/stream/", "stream"), plain}},
        {"tenants",
         {{{"name", "clerks"}, {"apiKeys", {"k1"}}, {"prepaid", prepaid}},
          {{"name", "others"}, {"apiKeys", {"k2"}}}}}};
}

httplib::Headers usage_of_tokens(const std::string& text)
{
    return {{"Token-Usage", text}};
}

/// Number of requests that are answered with 200 until others are refused.
int count_answers(const installation& site, const std::string& path)
{
    // Twice as many as the budget pays for.
    constexpr int requests = 2 * prepaid / (prompt + limit);
    const auto usage = std::to_string(prompt) + "," + std::to_string(limit);
    int answers = 0;
    for (int i = 0; i < requests; ++i)
    {
        const auto response = site.call("h1", path, usage_of_tokens(usage));
        REQUIRE(response);
        answers += response->status == 200 ? 1 : 0;
        if (response->status != 200)
            CHECK((response->status == 429 || response->status == 402));
    }
    return answers;
}

void start(installation& site)
{
    site.start_replica("i-1", "pool");
    site.start_replica("i-2", "desk");
    site.start_host("h1");
    REQUIRE(wait_until(
        [&]
        {
            const auto response =
                site.call("h1", "/plain/x", {{"Authorization", "Token k2"}});
            return response && response->status == 200;
        },
        20000));
    // The host has drawn tokens, and knows the engine.
    REQUIRE(wait_until(
        [&]
        {
            const auto response =
                site.call("h1", "/stream/x", usage_of_tokens("1,1"));
            return response && response->status == 200;
        },
        20000));
}

} // namespace

// Guards against charging events only: a customer with 20,000 prepaid tokens
// got 84,000 in answers that have no events, or whose events aren't counted.
TEST_CASE("a budget bounds answers whose tokens can't be counted",
          "[uncounted]")
{
    installation site(configuration());
    start(site);
    const std::string path =
        GENERATE("/repeatable/x", "/once/x", "/whole/x", "/other/stream/x");
    INFO(path);
    const int answers = count_answers(site, path);
    CHECK(answers * (prompt + limit) <= prepaid);
    CHECK(answers > 0);
}

// Events are still charged as they are: five of one token each.
TEST_CASE("a budget pays for counted events only", "[uncounted]")
{
    installation site(configuration());
    start(site);
    constexpr int requests = 30;
    const auto usage = std::to_string(prompt) + "," + std::to_string(limit);
    int answers = 0;
    for (int i = 0; i < requests; ++i)
        answers +=
            site.call("h1", "/stream/x", usage_of_tokens(usage))->status == 200
                ? 1
                : 0;
    CHECK(answers == requests);
}

// Guards against a request without a bound, which no reserve covers.
TEST_CASE("a request without a readable bound is refused where a budget pays",
          "[uncounted]")
{
    installation site(configuration());
    start(site);
    for (const auto* text :
         {"10", "10,", "x,200", "-1,200", "10,200,3", "99999999999999999999,1"})
    {
        INFO(text);
        CHECK(site.call("h1", "/stream/x", usage_of_tokens(text))->status ==
              400);
        CHECK(site.call("h1", "/once/x", usage_of_tokens(text))->status == 400);
        // Who has no budget isn't bound, and plain services have no tokens.
        auto others = usage_of_tokens(text);
        others.emplace("Authorization", "Token k2");
        CHECK(site.call("h1", "/stream/x", others)->status == 200);
        CHECK(site.call("h1", "/plain/x", usage_of_tokens(text))->status ==
              200);
    }
    CHECK(site.call("h1", "/stream/x", {})->status == 400);
    CHECK(site.call("h1", "/plain/x", {})->status == 200);
    CHECK(site.call("h1", "/stream/x", usage_of_tokens("10, 20"))->status ==
          200);
    // More than the whole budget.
    CHECK(
        site.call("h1", "/stream/x", usage_of_tokens("18446744073709551615,5"))
            ->status == 402);
    CHECK(site.call("h1", "/stream/x", usage_of_tokens("4000,1"))->status ==
          402);
    CHECK(site.log_text("h1").find("event=unbounded_refusal") !=
          std::string::npos);
    // None of it has spent anything.
    CHECK(site.call("h1", "/stream/x", usage_of_tokens("10,20"))->status ==
          200);
}
