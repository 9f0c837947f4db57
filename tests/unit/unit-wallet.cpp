// The tokens of one host: reservations, waiting for a draw, giving back.

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
    int wanted = 0;
    wallet_table wallets{loop.get_executor(), [this]
                         {
                             ++wanted;
                         }};

    void tell(token_count_t drawn, token_count_t left,
              token_count_t known_used = 0)
    {
        wallets.update({{"clerks", {drawn, left, known_used, 1000}}});
    }

    /// Starts a reservation; its end is there once the loop has run.
    std::shared_ptr<std::optional<reserve_end>> reserve(token_count_t bound,
                                                        milliseconds wait)
    {
        auto end = std::make_shared<std::optional<reserve_end>>();
        boost::asio::co_spawn(
            loop,
            wallets.reserve("clerks", bound, time_point_t::clock::now() + wait),
            [end](const std::exception_ptr&, reserve_end got)
            {
                *end = got;
            });
        loop.poll();
        loop.restart();
        return end;
    }
};

} // namespace

TEST_CASE("a request that fits is let in at once", "[wallet]")
{
    wallet_fixture host;
    host.tell(100, 500);
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_end::reserved);
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_end::unavailable);
    host.wallets.settle("clerks", 60, 10);
    CHECK(*host.reserve(60, milliseconds(0)) == reserve_end::reserved);
    const auto state =
        host.wallets.states(time_point_t::clock::now())["clerks"];
    CHECK(state.used == 10);
    CHECK(state.reserved == 60);
}

TEST_CASE("a request waits for a draw", "[wallet]")
{
    wallet_fixture host;
    host.tell(10, 500);
    const auto end = host.reserve(60, std::chrono::seconds(60));
    CHECK_FALSE(end->has_value());
    CHECK(host.wanted == 1);
    host.tell(100, 400);
    host.loop.poll();
    REQUIRE(end->has_value());
    CHECK(**end == reserve_end::reserved);
}

TEST_CASE("nothing waits for a store that takes no draws", "[wallet]")
{
    wallet_fixture host;
    host.wallets.update({{"clerks", {10, 500, 0, 1000, false}}});
    CHECK(*host.reserve(60, std::chrono::seconds(60)) ==
          reserve_end::unavailable);
}

TEST_CASE("nothing left means refused, certainly spent means exhausted",
          "[wallet]")
{
    wallet_fixture host;
    host.tell(10, 0, 500);
    CHECK(*host.reserve(60, std::chrono::seconds(60)) ==
          reserve_end::unavailable);
    host.tell(10, 0, 950);
    CHECK(*host.reserve(60, std::chrono::seconds(60)) ==
          reserve_end::exhausted);
}

TEST_CASE("what is given back leaves what is in use", "[wallet]")
{
    wallet_fixture host;
    host.tell(100, 0);
    REQUIRE(*host.reserve(60, milliseconds(0)) == reserve_end::reserved);
    CHECK(host.wallets.lower({{"clerks", 20}})["clerks"] == 60);
    CHECK(*host.reserve(1, milliseconds(0)) == reserve_end::unavailable);
}

TEST_CASE("a frozen wallet spends nothing more, whatever news comes",
          "[wallet]")
{
    wallet_fixture host;
    host.tell(100, 0);
    REQUIRE(*host.reserve(30, milliseconds(0)) == reserve_end::reserved);
    host.wallets.freeze();
    host.tell(100, 0);
    CHECK(*host.reserve(1, milliseconds(0)) == reserve_end::unavailable);
    CHECK(host.wallets.states(time_point_t::clock::now())["clerks"].drawn ==
          30);
}
