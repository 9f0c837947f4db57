// A host's ledger, the budget shard that it draws from, the size of draws and
// the intervals of writes.

#include <catch2/catch.hpp>

#include <rhubarbgrade/rhubarbgrade.hpp>

using namespace rhubarbgrade;

TEST_CASE("a ledger")
{
    ledger own_ledger;
    own_ledger.id = {"a1", 7};
    REQUIRE(apply_operation(own_ledger, credit{"c", 100}));

    SECTION("reserves no more than it holds")
    {
        CHECK(apply_operation(own_ledger, reserve{"r1", "c", 100, "", {}}));
        const auto excess =
            apply_operation(own_ledger, reserve{"r2", "c", 1, "", {}});
        REQUIRE_FALSE(excess);
        CHECK(excess.error().code == errc::budget_exhausted);
        CHECK(total(own_ledger, "c") == 100);
    }

    SECTION("reserves a request only once")
    {
        CHECK(apply_operation(own_ledger, reserve{"r1", "c", 10, "", {}}));
        CHECK_FALSE(
            apply_operation(own_ledger, reserve{"r1", "c", 10, "", {}}));
    }

    SECTION("settles once, at most what was reserved, and frees the rest")
    {
        CHECK(apply_operation(own_ledger, reserve{"r1", "c", 60, "", {}}));
        CHECK_FALSE(apply_operation(own_ledger, settle{"r1", 61}));
        CHECK(apply_operation(own_ledger, settle{"r1", 20}));
        CHECK_FALSE(apply_operation(own_ledger, settle{"r1", 20}));
        CHECK(own_ledger.accounts.at("c").shared == 80);
        CHECK(own_ledger.bills.size() == 1);
        CHECK(find_request(own_ledger, "r1") != nullptr);
    }

    SECTION("keeps solo tokens apart until they are put back")
    {
        CHECK(apply_operation(own_ledger, set_aside{"c", 30}));
        CHECK_FALSE(apply_operation(own_ledger, debit{"c", 71}));
        CHECK(apply_operation(own_ledger,
                              reserve{"r1", "c", 30, "", token_pool::solo}));
        CHECK(apply_operation(own_ledger, release{"r1"}));
        CHECK(own_ledger.accounts.at("c").solo == 30);
        CHECK(apply_operation(own_ledger, put_back{"c", 30}));
        CHECK(apply_operation(own_ledger, debit{"c", 100}));
    }

    SECTION("claims a key once and keeps its first answer")
    {
        CHECK(apply_operation(own_ledger, claim_key{"k", "r1"}));
        CHECK_FALSE(apply_operation(own_ledger, claim_key{"k", "r2"}));
        CHECK(apply_operation(own_ledger, answer_key{"k", 200, "t", "body"}));
        CHECK(own_ledger.claims.at("k").body == "body");
    }

    SECTION("can be rebuilt from its operations")
    {
        CHECK(apply_operation(own_ledger, set_aside{"c", 10}));
        CHECK(apply_operation(own_ledger, reserve{"r1", "c", 40, "e", {}}));
        CHECK(apply_operation(own_ledger, reserve{"r2", "c", 20, "e", {}}));
        CHECK(apply_operation(own_ledger, settle{"r1", 15}));
        CHECK(apply_operation(own_ledger, claim_key{"k", "r3"}));
        ledger copy;
        copy.id = own_ledger.id;
        for (const auto& op : to_operations(own_ledger))
            REQUIRE(apply_operation(copy, op));
        assert_invariants(copy);
        CHECK(total(copy, "c") == total(own_ledger, "c"));
        CHECK(copy.accounts.at("c").solo == 10);
        CHECK(copy.bills.size() == 1);
        CHECK(copy.last_bill == own_ledger.last_bill);
        CHECK(copy.reservations.count("r2") == 1);
        CHECK(find_request(copy, "r1") != nullptr);
        CHECK(copy.claims.size() == 1);
    }

    SECTION("drops the oldest settled requests, so that it stays small")
    {
        for (std::size_t count = 0; count < recent_limit + 10; ++count)
        {
            const auto request = "r" + std::to_string(count);
            REQUIRE(
                apply_operation(own_ledger, reserve{request, "c", 0, "e", {}}));
            REQUIRE(apply_operation(own_ledger, settle{request, 0}));
        }
        CHECK(own_ledger.recent.size() == recent_limit);
        CHECK(find_request(own_ledger, "r0") == nullptr);
    }
}

TEST_CASE("a budget shard")
{
    budget_shard shard;
    const ledger_id writer{"a1", 1};

    SECTION("grants no more than was prepaid, over all writers")
    {
        const auto first =
            draw_tokens(shard, writer, "a", {{"c", 70}}, {{"c", 100}});
        const auto second =
            draw_tokens(shard, {"b1", 1}, "b", {{"c", 70}}, {{"c", 100}});
        CHECK(first.at("c") == 70);
        CHECK(second.at("c") == 30);
    }

    SECTION("credits returned tokens")
    {
        draw_tokens(shard, writer, "a", {{"c", 70}}, {{"c", 100}});
        draw_tokens(shard, writer, "a", {{"c", -20}}, {{"c", 100}});
        CHECK(granted_total(shard.customers.at("c")) == 50);
    }

    SECTION("settles a batch once, however often it is written")
    {
        const std::vector<bill> bills{{"r", "c", 5, "e", {}}};
        CHECK(settle_batch(shard, writer, "a", 1, bills));
        CHECK_FALSE(settle_batch(shard, writer, "a", 1, bills));
        CHECK(settled_total(shard.customers.at("c")) == 5);
    }

    SECTION("round-trips through its text")
    {
        draw_tokens(shard, writer, "a", {{"c", 70}}, {{"c", 100}});
        const auto parsed = parse_shard(to_text(shard));
        REQUIRE(parsed);
        CHECK(parsed->writers.at("a1.1").drawn.at("c") == 70);
        CHECK_FALSE(parse_shard("{"));
    }
}

TEST_CASE("the size of a draw")
{
    draw_policy policy;
    draw_state state;
    state.free = 1000000;
    state.holders = 4;

    SECTION("covers the demand up to its horizon")
    {
        state.demand = 5;
        CHECK(draw_amount(policy, state) == 72000);
    }
    SECTION("is at most a fair share, or more if that is needed")
    {
        state.demand = 1000;
        CHECK(draw_amount(policy, state) == 125000);
        state.needed = 600000;
        CHECK(draw_amount(policy, state) == 600000);
        state.free = 1000;
        CHECK(draw_amount(policy, state) == 1000);
    }
    SECTION("is zero while enough is held")
    {
        state.held = 9000;
        CHECK(draw_amount(policy, state) == 0);
    }
}

TEST_CASE("write intervals keep the fleet's write rate fixed")
{
    const auto small = pace_of(9, 16, milliseconds(500));
    const auto large = pace_of(350, 16, milliseconds(500));
    CHECK(small.bills == milliseconds(500));
    CHECK(large.bills.count() / 1000.0 == Approx(350 / 30.0).margin(0.01));
    CHECK(large.settle.count() / 1000.0 ==
          Approx(350 * 16 / 60.0).margin(0.01));
}
