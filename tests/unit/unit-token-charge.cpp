// What a request is charged, and which requests have a bound.

#include <limits>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <platform/caller_codec.hpp>
#include <rhubarbgrade/detail/escrow/token_charge.hpp>

#include "../../src/gateway/wallet_table.hpp"

using namespace rhubarbgrade;

namespace
{

constexpr auto highest = std::numeric_limits<token_count_t>::max();

constexpr token_limits limits{10, 200, 4};

platform::call_head decoded(std::initializer_list<const char*> values)
{
    platform::fields_t fields;
    for (const auto* each : values)
        fields.insert("Token-Usage", each);
    return platform::decode_call(fields);
}

} // namespace

TEST_CASE("events are charged as delivered, up to the limit", "[token-charge]")
{
    CHECK(tokens_charged(limits, {false, 0, false}) == 0);
    CHECK(tokens_charged(limits, {true, 0, false}) == 10);
    CHECK(tokens_charged(limits, {true, 3, false}) == 22);
    CHECK(tokens_charged(limits, {true, 50, false}) == 210);
    CHECK(tokens_charged(limits, {true, 51, false}) == 210);
    // The last event may hold less than the others.
    CHECK(tokens_charged({10, 199, 4}, {true, 50, false}) == 209);
}

// Guards against taking what can't be counted for nothing: answers without
// events were charged their prompt alone.
TEST_CASE("output that can't be counted is charged as its limit",
          "[token-charge]")
{
    CHECK(tokens_charged(limits, {true, 0, true}) == 210);
    CHECK(tokens_charged(limits, {true, 3, true}) == 210);
    CHECK(tokens_charged({10, 200, 0}, {true, 0, true}) == 210);
    // An event of a service without an engine may hold all.
    CHECK(tokens_charged({10, 200, 200}, {true, 1, false}) == 210);
    // An endpoint that rejects a request delivers nothing.
    CHECK(tokens_charged(limits, {false, 0, true}) == 0);
}

TEST_CASE("charges stay in the range of numbers", "[token-charge]")
{
    CHECK(most_tokens({highest, 1, 1}) == highest);
    CHECK(most_tokens({1, highest, 1}) == highest);
    CHECK(most_tokens({5, 6, 1}) == 11);
    CHECK(tokens_charged({10, 200, highest}, {true, 2, false}) == 210);
    CHECK(tokens_charged({10, 200, 4}, {true, highest, false}) == 210);
}

// Guards against requests without a bound: with a space behind the comma the
// limit was read as 0, and the output charged to nobody.
TEST_CASE("a request names the most tokens that it uses, or is known not to",
          "[token-charge]")
{
    for (const auto* text : {"10,200", "10, 200", " 10 ,\t200 "})
    {
        const auto head = decoded({text});
        CHECK(head.tokens_known);
        CHECK(head.prompt_tokens == 10);
        CHECK(head.answer_tokens_limit == 200);
    }
    for (const auto* text :
         {"", "10", "10,", ",200", "10,200,5", "-10,200", "10,-200", "+10,200",
          "1e1,200", "10 0,200", "10,200x", "10;200", "0x10,200",
          "18446744073709551616,1", "1,18446744073709551616"})
    {
        INFO(text);
        CHECK_FALSE(decoded({text}).tokens_known);
    }
    CHECK_FALSE(decoded({}).tokens_known);
    CHECK_FALSE(decoded({"10,200", "10,200"}).tokens_known);
    CHECK_FALSE(decoded({"10,200", "1,1"}).tokens_known);
}

// Guards against a sum that exceeds the range of numbers: the request fitted
// into any wallet, and left it with a small reservation.
TEST_CASE("a request larger than any budget is refused at once",
          "[token-charge]")
{
    boost::asio::io_context loop;
    wallet_table wallets(loop.get_executor(), [] {});
    budget_status budget;
    budget.drawn = 1000;
    budget.prepaid = 1000;
    wallets.update({{"c", budget}});
    for (const auto tokens : {token_count_t{1001}, highest, highest - 500})
    {
        auto outcome = reserve_result::reserved;
        boost::asio::co_spawn(
            loop,
            [&]() -> boost::asio::awaitable<void>
            {
                outcome = co_await wallets.reserve("c", tokens,
                                                   time_point_t::clock::now());
            },
            boost::asio::detached);
        loop.run();
        loop.restart();
        CHECK(outcome == reserve_result::exhausted);
        const auto states = wallets.states(time_point_t::clock::now());
        CHECK(states.at("c").reserved == 0);
    }
}
