// Second attempts for late answers: when there is one, and how many there are.

#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/routing/hedge.hpp>

using namespace rhubarbgrade;

namespace
{

hedge_context late_read()
{
    hedge_context question;
    question.kind = call_kind::idempotent;
    question.max_runs = 3;
    question.left = milliseconds(900);
    question.mean_load = 0.4;
    question.allowance.hedges = 2;
    return question;
}

/// Latencies of a service of which one in @a slow_every is slow.
milliseconds draw_latency(std::mt19937_64& numbers, std::uint64_t slow_every)
{
    const auto usual = milliseconds(15 + numbers() % 20);
    return numbers() % slow_every == 0 ? usual + milliseconds(400) : usual;
}

} // namespace

TEST_CASE("a late read is sent to a second endpoint", "[hedging]")
{
    CHECK(may_hedge(late_read()));
}

TEST_CASE("what must not run twice, or has begun, is never hedged", "[hedging]")
{
    auto question = late_read();
    SECTION("a request that may run once")
    {
        question.kind = call_kind::non_idempotent;
    }
    SECTION("a stream, resumable or not")
    {
        question.kind = call_kind::stream;
    }
    SECTION("an answer that has begun")
    {
        question.answer_begun = true;
    }
    SECTION("the trial of a quarantined request")
    {
        question.is_trial = true;
    }
    CHECK_FALSE(may_hedge(question));
}

TEST_CASE("a hedge stays within the route's attempts and the time left",
          "[hedging]")
{
    auto question = late_read();
    SECTION("the route allows one attempt")
    {
        question.max_runs = 1;
    }
    SECTION("the route's attempts are used up")
    {
        question.sends = 3;
    }
    SECTION("the caller is about to give up")
    {
        question.left = milliseconds(30);
    }
    SECTION("the operators' limit is used up")
    {
        question.allowance.hedges = 0.9;
    }
    CHECK_FALSE(may_hedge(question));
}

TEST_CASE("there are no hedges under load", "[hedging]")
{
    auto question = late_read();
    SECTION("requests wait for an endpoint")
    {
        question.waiting = 1;
    }
    SECTION("the endpoints are busy")
    {
        question.mean_load = 0.8;
    }
    SECTION("the host or its link is late")
    {
        question.host_late = true;
    }
    SECTION("the host stops")
    {
        question.stopping = true;
    }
    CHECK_FALSE(may_hedge(question));
}

TEST_CASE("the delay is told by the route's latest latencies", "[hedging]")
{
    latency_window known;
    for (int i = 0; i < 15; ++i)
        known.add(milliseconds(20));
    CHECK_FALSE(hedge_delay(known));
    known.add(milliseconds(300));
    CHECK(hedge_delay(known) == milliseconds(300));
    for (int i = 0; i < 24; ++i)
        known.add(milliseconds(20));
    CHECK(hedge_delay(known) == milliseconds(20));
    SECTION("it follows a service that has become slower")
    {
        for (int i = 0; i < 64; ++i)
            known.add(milliseconds(80));
        CHECK(hedge_delay(known) == milliseconds(80));
    }
    SECTION("it is never shorter than a round trip")
    {
        for (int i = 0; i < 64; ++i)
            known.add(milliseconds(1));
        CHECK(hedge_delay(known) == milliseconds(10));
    }
}

TEST_CASE("an allowance bounds hedges to the operators' share, in the long run "
          "and at once",
          "[hedging]")
{
    constexpr double share = 0.05;
    const hedge_limit limit{share};
    constexpr int requests = 2000;
    hedge_allowance allowance;
    int hedges = 0;
    const auto hedge_if_allowed = [&]
    {
        auto question = late_read();
        question.allowance = allowance;
        if (!may_hedge(question))
            return;
        count_hedge(allowance);
        ++hedges;
    };
    SECTION("every answer is late")
    {
        for (int i = 0; i < requests; ++i)
        {
            count_request(allowance, limit);
            hedge_if_allowed();
        }
        CHECK(hedges <= share * requests);
        CHECK(hedges >= share * requests - 1);
    }
    SECTION("a burst of late answers after a long time without any")
    {
        for (int i = 0; i < requests; ++i)
            count_request(allowance, limit);
        for (int i = 0; i < 50; ++i)
            hedge_if_allowed();
        CHECK(hedges == 4);
    }
    SECTION("it is off")
    {
        for (int i = 0; i < requests; ++i)
        {
            count_request(allowance, {});
            hedge_if_allowed();
        }
        CHECK(hedges == 0);
    }
}

TEST_CASE(
    "endpoints that are slow now and then: hedges cut the slowest answers "
    "for little extra work",
    "[hedging]")
{
    constexpr int requests = 20000;
    constexpr std::uint64_t slow_every = 40;
    std::mt19937_64 numbers(26); // NOLINT(cert-msc51-cpp): fixed for CI
    route_hedging hedging;
    std::vector<milliseconds> without;
    std::vector<milliseconds> with;
    int hedges = 0;
    for (int i = 0; i < requests; ++i)
    {
        count_request(hedging.allowance, {0.05});
        const auto first = draw_latency(numbers, slow_every);
        const auto second = draw_latency(numbers, slow_every);
        without.push_back(first);
        const auto delay = hedge_delay(hedging.latencies);
        auto question = late_read();
        question.allowance = hedging.allowance;
        auto answered = first;
        if (delay && first > *delay && may_hedge(question))
        {
            count_hedge(hedging.allowance);
            ++hedges;
            answered = std::min(first, *delay + second);
        }
        // Of the first attempt, only what was seen is known.
        hedging.latencies.add(answered);
        with.push_back(answered);
    }
    std::sort(without.begin(), without.end());
    std::sort(with.begin(), with.end());
    const auto slowest_hundredth = requests * 99 / 100;
    CHECK(without[slowest_hundredth] > milliseconds(400));
    CHECK(with[slowest_hundredth] < milliseconds(120));
    CHECK(with[requests / 2] <= without[requests / 2]);
    CHECK(hedges < requests / 20);
}
