// One host's tokens: reservations, waiting for a draw and returning tokens.

#include <chrono>   // seconds
#include <optional> // optional
#include <string>   // string

#include <boost/asio/co_spawn.hpp>   // co_spawn
#include <boost/asio/detached.hpp>   // detached
#include <boost/asio/io_context.hpp> // io_context

#include <catch2/catch.hpp>

#include "../../src/gateway/wallet_table.hpp" // wallet_table

using namespace rhubarbgrade;

namespace
{

struct wallet_fixture
{
    boost::asio::io_context loop;
    int draw_requests = 0;
    wallet_table wallets{loop.get_executor(), [this]
                         {
                             ++draw_requests;
                         }};

    void set_budget(token_count_t drawn, token_count_t undrawn,
                    token_count_t known_used = 0)
    {
        wallets.update({{"clerks", {drawn, undrawn, known_used, 1000}}});
    }

    /// Starts a reservation; the result is set once the loop has completed it.
    std::shared_ptr<std::optional<reserve_result>> reserve(token_count_t bound,
                                                           milliseconds wait)
    {
        auto result = std::make_shared<std::optional<reserve_result>>();
        boost::asio::co_spawn(
            loop,
            wallets.reserve("clerks", bound, time_point_t::clock::now() + wait),
            [result](const std::exception_ptr&, reserve_result outcome)
            {
                *result = outcome;
            });
        loop.poll();
        loop.restart();
        return result;
    }
};

} // namespace

TEST_CASE("a request that fits is admitted at once", "[wallet]")
{
    wallet_fixture host;
    host.set_budget(100, 500);
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_result::reserved);
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_result::undrawn);
    host.wallets.settle("clerks", 60, 10);
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_result::reserved);
    const auto state =
        host.wallets.states(time_point_t::clock::now())["clerks"];
    CHECK(state.used == 10);
    CHECK(state.reserved == 60);
}

TEST_CASE("a request waits for a draw", "[wallet]")
{
    wallet_fixture host;
    host.set_budget(10, 500);
    const auto result = host.reserve(60, std::chrono::seconds(60));
    CHECK_FALSE(result->has_value());
    CHECK(host.draw_requests == 1);
    host.set_budget(100, 400);
    host.loop.poll();
    REQUIRE(result->has_value());
    CHECK(**result == reserve_result::reserved);
}

TEST_CASE("no request waits while the store accepts no draws", "[wallet]")
{
    wallet_fixture host;
    host.wallets.update({{"clerks", {10, 500, 0, 1000, false}}});
    CHECK(*host.reserve(60, std::chrono::seconds(60)) ==
          reserve_result::no_draws);
}

TEST_CASE("exhausted is reported only if the tokens are certainly spent",
          "[wallet]")
{
    wallet_fixture host;
    host.set_budget(10, 0, 500);
    CHECK(*host.reserve(60, std::chrono::seconds(60)) ==
          reserve_result::undrawn);
    host.set_budget(10, 0, 950);
    CHECK(*host.reserve(60, std::chrono::seconds(60)) ==
          reserve_result::exhausted);
}

TEST_CASE("refusals for want of tokens are counted by cause", "[wallet]")
{
    wallet_fixture host;
    host.set_budget(10, 0, 500);
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_result::undrawn);
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_result::undrawn);
    host.wallets.update({{"clerks", {10, 500, 0, 1000, false}}});
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_result::no_draws);
    host.wallets.update({{"clerks", {10, 500, 0, 1000, true, true}}});
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_result::unconfirmed);
    CHECK(*host.reserve(5, milliseconds(0)) == reserve_result::reserved);
    const auto state =
        host.wallets.states(time_point_t::clock::now())["clerks"];
    CHECK(state.refused == shortage_counts{2, 1, 1});
}

TEST_CASE("returned tokens do not include those in use", "[wallet]")
{
    wallet_fixture host;
    host.set_budget(100, 0);
    REQUIRE(*host.reserve(60, milliseconds(0)) == reserve_result::reserved);
    CHECK(host.wallets.lower({{"clerks", 20}})["clerks"] == 60);
    CHECK(*host.reserve(1, milliseconds(0)) == reserve_result::undrawn);
}

TEST_CASE("a frozen wallet spends nothing more, whatever update comes",
          "[wallet]")
{
    wallet_fixture host;
    host.set_budget(100, 0);
    REQUIRE(*host.reserve(30, milliseconds(0)) == reserve_result::reserved);
    host.wallets.freeze();
    host.set_budget(100, 0);
    CHECK(*host.reserve(1, milliseconds(0)) == reserve_result::undrawn);
    CHECK(host.wallets.states(time_point_t::clock::now())["clerks"].drawn ==
          30);
}

TEST_CASE("a wait for tokens ends by the end of all waits", "[wallet]")
{
    wallet_fixture host;
    host.set_budget(0, 500);
    const auto result = host.reserve(60, std::chrono::seconds(60));
    CHECK_FALSE(*result);
    host.wallets.end_waits_by(time_point_t::clock::now());
    host.loop.poll();
    CHECK(*result == reserve_result::undrawn);
}
