// What all connections of callers take together, and who gives up for others.

#include <chrono> // seconds
#include <memory> // make_unique, unique_ptr
#include <random> // mt19937_64
#include <vector> // vector

#include <catch2/catch.hpp>

#include "../../src/gateway/caller_budget.hpp" // caller_budget

using namespace rhubarbgrade;
using std::chrono::seconds;

namespace
{

constexpr std::size_t kb = 1024;
constexpr caller_amount limits{1024 * kb, 8};

struct budget_fixture
{
    caller_budget budget{limits};
    time_point_t now{seconds(1000)};
    std::vector<std::unique_ptr<caller_share>> shares;

    caller_share& add(caller_stage stage, std::size_t bytes)
    {
        shares.push_back(std::make_unique<caller_share>());
        auto& share = *shares.back();
        REQUIRE(hold(share, bytes) == hold_result::held);
        share.stage = stage;
        share.last_progress = now;
        return share;
    }

    hold_result hold(caller_share& share, std::size_t bytes,
                     std::size_t descriptors = 1)
    {
        return budget.hold(share, {bytes, descriptors}, now);
    }
};

} // namespace

// Load: bodies that stop short of their end; an ordinary request comes.
TEST_CASE("the largest incomplete request gives up its memory first",
          "[caller-budget]")
{
    budget_fixture test;
    auto& large = test.add(caller_stage::reading, 500 * kb);
    auto& larger = test.add(caller_stage::reading, 268 * kb);
    auto& served = test.add(caller_stage::serving, 64 * kb);
    for (int i = 0; i < 3; ++i)
        test.add(caller_stage::reading, 64 * kb);
    caller_share ordinary;
    CHECK(test.hold(ordinary, 8 * kb) == hold_result::wait);
    CHECK(large.shed);
    CHECK_FALSE(larger.shed);
    CHECK_FALSE(served.shed);
    CHECK(test.budget.shed_count() == 1);
    // Nobody else is asked while it has not given up yet.
    CHECK(test.hold(ordinary, 8 * kb) == hold_result::wait);
    CHECK(test.budget.shed_count() == 1);
    test.budget.remove(large);
    CHECK(test.hold(ordinary, 8 * kb) == hold_result::held);
}

// Load: bodies of one size that stop short of their end, one of them goes on.
TEST_CASE("of equal requests the one that waits longest gives up",
          "[caller-budget]")
{
    budget_fixture test;
    std::vector<caller_share*> shares;
    for (int i = 0; i < 6; ++i)
    {
        test.now += seconds(1);
        shares.push_back(&test.add(caller_stage::reading, 128 * kb));
    }
    shares[0]->last_progress = test.now;
    CHECK(test.hold(*shares[0], 256 * kb) == hold_result::refused);
    caller_share next;
    CHECK(test.hold(next, 128 * kb) == hold_result::wait);
    CHECK_FALSE(shares[0]->shed);
    CHECK(shares[1]->shed);
}

// Load: one large request while many small ones are being read.
TEST_CASE("a request is not served in place of smaller ones", "[caller-budget]")
{
    budget_fixture test;
    test.add(caller_stage::reading, 700 * kb);
    caller_share large;
    CHECK(test.hold(large, 701 * kb) == hold_result::refused);
    CHECK(test.budget.shed_count() == 0);
}

// Load: large requests that wait for endpoints; they can't be given up.
TEST_CASE("requests that are served leave room for ordinary ones",
          "[caller-budget]")
{
    budget_fixture test;
    for (int i = 0; i < 3; ++i)
        test.add(caller_stage::serving, 256 * kb);
    caller_share large;
    CHECK(test.hold(large, 65 * kb) == hold_result::refused);
    test.add(caller_stage::serving, 16 * kb);
}

// Load: pipelined requests that wait for endpoints.
TEST_CASE("callers that send ahead leave room for ordinary ones",
          "[caller-budget]")
{
    budget_fixture test;
    std::vector<caller_share> pipelined(4);
    for (auto& each : pipelined)
        each.sends_ahead = true;
    for (std::size_t i = 0; i < 3; ++i)
    {
        REQUIRE(test.hold(pipelined[i], 8 * kb, 2) == hold_result::held);
        pipelined[i].stage = caller_stage::serving;
    }
    CHECK(test.hold(pipelined[3], 8 * kb) == hold_result::refused);
    caller_share ordinary;
    CHECK(test.hold(ordinary, 8 * kb, 2) == hold_result::held);
}

// Load: large requests that wait for endpoints, and more that become complete
// while an ordinary one is being read.
TEST_CASE("a large request takes no descriptor of a small one that goes on",
          "[caller-budget]")
{
    budget_fixture test;
    auto& large = test.add(caller_stage::reading, 100 * kb);
    auto& silent = test.add(caller_stage::silent, 8 * kb);
    test.now += seconds(1);
    auto& ordinary = test.add(caller_stage::reading, 8 * kb);
    for (int i = 0; i < 3; ++i)
        test.add(caller_stage::serving, 8 * kb);
    CHECK(test.hold(large, 100 * kb, 2) == hold_result::wait);
    CHECK(silent.shed);
    test.budget.remove(silent);
    CHECK(test.hold(large, 100 * kb, 2) == hold_result::held);
    test.add(caller_stage::serving, 8 * kb);
    caller_share next;
    CHECK(test.hold(next, 100 * kb) == hold_result::wait);
    CHECK(large.shed);
    CHECK_FALSE(ordinary.shed);
}

// Failure: a caller that does not read its answer.
TEST_CASE("an answer that is not read is given up, one that is read is not",
          "[caller-budget]")
{
    budget_fixture test;
    auto& unread = test.add(caller_stage::answering, 400 * kb);
    test.now += seconds(1);
    auto& read = test.add(caller_stage::answering, 300 * kb);
    caller_share next;
    CHECK(test.hold(next, 100 * kb) == hold_result::wait);
    CHECK(unread.shed);
    CHECK_FALSE(read.shed);
}

// Load: connections that send nothing, beside kept ones and requests.
TEST_CASE("connections that have sent nothing are closed first",
          "[caller-budget]")
{
    budget_fixture test;
    auto& kept = test.add(caller_stage::idle, 8 * kb);
    test.now += seconds(2);
    auto& served = test.add(caller_stage::serving, 8 * kb);
    auto& silent = test.add(caller_stage::silent, 8 * kb);
    for (int i = 0; i < 5; ++i)
        test.add(caller_stage::reading, 8 * kb);
    test.now += seconds(1);
    caller_share next;
    CHECK(test.hold(next, 8 * kb) == hold_result::wait);
    CHECK(silent.shed);
    test.budget.remove(silent);
    next.last_progress = test.now;
    CHECK(test.hold(next, 8 * kb) == hold_result::held);
    // The next one to go is the one that has been idle for longest.
    caller_share further;
    CHECK(test.hold(further, 8 * kb) == hold_result::wait);
    CHECK(kept.shed);
    CHECK_FALSE(served.shed);
}

// Load: a burst of callers at a host with as many kept connections.
TEST_CASE("a connection that has just come is not closed for the next one",
          "[caller-budget]")
{
    budget_fixture test;
    auto& kept = test.add(caller_stage::idle, 8 * kb);
    test.now += seconds(1);
    for (int i = 0; i < 7; ++i)
        test.add(caller_stage::silent, 8 * kb);
    caller_share next;
    CHECK(test.hold(next, 8 * kb) == hold_result::wait);
    CHECK(kept.shed);
}

// Failure: two requests wait for each other's memory.
TEST_CASE("a connection that must give up gets nothing more", "[caller-budget]")
{
    budget_fixture test;
    auto& first = test.add(caller_stage::reading, 700 * kb);
    caller_share ordinary;
    CHECK(test.hold(ordinary, 64 * kb) == hold_result::held);
    CHECK(test.hold(ordinary, 400 * kb) == hold_result::wait);
    CHECK(first.shed);
    CHECK(test.hold(first, 701 * kb) == hold_result::refused);
    CHECK(test.hold(first, 8 * kb) == hold_result::held);
    CHECK(test.hold(ordinary, 400 * kb) == hold_result::held);
}

// Load: connections that come, grow, give up and go in any order.
TEST_CASE("all connections together never exceed the limits", "[caller-budget]")
{
    constexpr int steps = 20000;
    constexpr std::size_t share_count = 16;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        std::mt19937_64 random(seed);
        budget_fixture test;
        std::vector<caller_share> shares(share_count);
        const auto pick = [&](std::size_t count)
        {
            return static_cast<std::size_t>(random() % count);
        };
        for (int step = 0; step < steps; ++step)
        {
            auto& share = shares[pick(shares.size())];
            test.now += milliseconds(pick(200));
            if (pick(8) == 0 || (share.shed && pick(4) == 0))
            {
                test.budget.remove(share);
                share = {};
                continue;
            }
            const caller_amount wanted{
                pick(2) == 0 ? pick(64 * kb) : pick(512 * kb), 1 + pick(2)};
            const auto before = share.held;
            const auto result = test.budget.hold(share, wanted, test.now);
            CHECK(share.held ==
                  (result == hold_result::held ? wanted : before));
            share.stage = static_cast<caller_stage>(pick(5));
            share.last_progress = test.now;
            caller_amount sum;
            for (const auto& each : shares)
            {
                sum.bytes += each.held.bytes;
                sum.descriptors += each.held.descriptors;
            }
            REQUIRE(sum == test.budget.held());
            REQUIRE(sum.bytes <= limits.bytes);
            REQUIRE(sum.descriptors <= limits.descriptors);
        }
    }
}

TEST_CASE("what is counted beyond the limits leaves less room for others",
          "[caller-budget]")
{
    caller_budget budget({100 * kb, 10});
    const time_point_t now{};
    caller_share answering;
    answering.stage = caller_stage::answering;
    answering.last_progress = now;
    caller_share reading;
    reading.stage = caller_stage::reading;
    CHECK(budget.hold(answering, {40 * kb, 1}, now) == hold_result::held);
    budget.add(answering, {120 * kb, 2});
    CHECK(budget.held() == caller_amount{120 * kb, 2});
    CHECK(budget.hold(reading, {kb, 1}, now) == hold_result::refused);
    budget.remove(answering);
    CHECK(budget.held() == caller_amount{});
    CHECK(budget.hold(reading, {kb, 1}, now) == hold_result::held);
}

TEST_CASE("callers get a part of any machine", "[caller-budget]")
{
    node_settings settings;
    settings.memory_mb = 150;
    settings.descriptors = 4100;
    const auto usual = caller_limits_of(settings);
    CHECK(usual.bytes == 50UL * 1024 * kb);
    CHECK(usual.descriptors == 2825);
    settings.descriptors = 100;
    CHECK(caller_limits_of(settings).descriptors == 16);
}
