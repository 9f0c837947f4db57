// Tasks that have to run as long as the process does.

#include <stdexcept>
#include <string>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "../../src/store/spawn.hpp"         // spawn_service
#include "../../src/store/waiting_watch.hpp" // waiting_watch
#include "../../src/store/watch_gate.hpp"    // watch_gate

using namespace rhubarbgrade;
namespace asio = boost::asio;

// Guards against a task that an exception ends for good: the host stayed ready
// and followed no change any more.
TEST_CASE("a task that has to run is started again after an exception",
          "[tasks]")
{
    asio::io_context loop;
    int starts = 0;
    const auto task = [&]() -> asio::awaitable<void>
    {
        ++starts;
        if (starts == 1)
            throw std::out_of_range("map::at");
        if (starts == 2)
            throw 2; // no std::exception
        co_return;
    };
    spawn_service(loop, task, "test");
    loop.run_for(std::chrono::seconds(5));
    CHECK(starts == 3);
    // It has returned, which ends it.
    CHECK(loop.stopped());
}

TEST_CASE("a watch that has ended leaves the state unproven", "[tasks]")
{
    asio::io_context loop;
    watch_gate gate(loop.get_executor());
    const revision_times times;
    const auto begin = time_point_t::clock::now();
    auto first = std::make_shared<waiting_watch>();
    auto second = std::make_shared<waiting_watch>();
    for (const auto& each : {first, second})
    {
        each->complete_until = begin;
        gate.add(each);
    }
    first->complete_until = begin + milliseconds(1);
    CHECK(gate.complete_until(times) == begin);
    first.reset();
    second.reset();
    CHECK_FALSE(gate.complete_until(times));
    // Started again, it has to be proven anew.
    const auto third = std::make_shared<waiting_watch>();
    gate.add(third);
    CHECK_FALSE(gate.complete_until(times));
    third->complete_until = begin;
    CHECK_FALSE(gate.complete_until(times));
    const auto fourth = std::make_shared<waiting_watch>(*third);
    gate.add(fourth);
    CHECK(gate.complete_until(times) == begin);
}
