// Replays the trial of a new version of a service with few or many routes.
// Guards against a verdict that takes longer the more routes share the traffic:
// a bad version of a service with 350 routes was reported as succeeded.

#include <cmath>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/moves/evidence.hpp>
#include <rhubarbgrade/detail/moves/trial.hpp>

#include "../../src/peers/peer_state.hpp"

using namespace rhubarbgrade;

namespace
{

using std::chrono::seconds;

constexpr std::size_t message_bytes = 8000;
constexpr double tick_s = 0.2;
constexpr seconds limit{16};

struct scenario
{
    std::size_t routes = 1;
    std::size_t hosts = 7;
    double per_s = 400;
    double failing = 0;     ///< share of the new version's answers
    double slow_factor = 1; ///< of the new version's latency
    double skew = 0;        ///< weight of the n-th route: n to the -skew
    bool one_route = false; ///< only the route with most requests is bad
    double from_s = 0;      ///< the version is bad from then on
    double mixed = 0;       ///< ln of the routes' latencies: n % 8 times this
    double usual_errors = 0.002; ///< of either version; each 8th route 20 x
};

struct outcome
{
    order_state state = order_state::running;
    std::string reason;
    double end_s = 0;
    double fiftieth_bad_s = 1e9; ///< when the 50th bad answer was given
    std::size_t largest = 0;     ///< bytes of a message
};

std::size_t encoded_size(const move_evidence_t& evidence)
{
    peer_heartbeat heartbeat;
    heartbeat.evidence = {{"service", "target", evidence}};
    return encode_heartbeat(heartbeat).size();
}

outcome replay(const scenario& what, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform;
    std::lognormal_distribution<double> latency(std::log(0.05), 0.5);
    std::vector<double> weights;
    for (std::size_t i = 1; i <= what.routes; ++i)
        weights.push_back(std::pow(static_cast<double>(i), -what.skew));
    std::discrete_distribution<std::size_t> route_of(weights.begin(),
                                                     weights.end());
    std::vector<move_evidence_t> hosts(what.hosts);
    outcome result;
    double share = trial_policy{}.warmup_share;
    int bad = 0;
    for (double now = 0; now < std::chrono::duration<double>(limit).count();
         now += tick_s)
    {
        const int count =
            std::poisson_distribution<int>(what.per_s * tick_s)(random);
        for (int i = 0; i < count; ++i)
        {
            const auto route = route_of(random);
            const bool is_new = uniform(random) < share;
            const bool faulty =
                is_new && now >= what.from_s && (!what.one_route || route == 0);
            const double errors = what.usual_errors * (route % 8 == 7 ? 20 : 1);
            const bool good = uniform(random) >= (faulty ? what.failing : 0) &&
                              uniform(random) >= errors;
            const double latency_s =
                latency(random) * (faulty ? what.slow_factor : 1) *
                std::exp(what.mixed * static_cast<double>(route % 8));
            const bool is_bad = faulty && (!good || what.slow_factor > 1);
            if (is_bad && ++bad == 50)
                result.fiftieth_bad_s = now;
            add_sample(hosts[random() % hosts.size()]
                            ["/route-" + std::to_string(route) + "/"],
                       is_new, good, latency_s);
        }
        move_evidence_t pooled;
        for (auto& each : hosts)
        {
            decay(each, tick_s);
            auto sent = each;
            limit_routes(sent, message_bytes);
            result.largest = std::max(result.largest, encoded_size(sent));
            merge(pooled, sent);
        }
        limit_routes(pooled, message_bytes);
        result.largest = std::max(result.largest, encoded_size(pooled));
        const auto step = decide_trial(
            pooled, milliseconds(static_cast<long>(now * 1000)), limit, {});
        share = step.target_share;
        result.state = step.state;
        result.reason = step.reason;
        result.end_s = now;
        if (step.state != order_state::running)
            break;
    }
    return result;
}

/// What a bound of 5 s on requests at a bad version leaves, after its 50th bad
/// answer, if reports take 1.5 s to reach all hosts.
constexpr double verdict_s = 3.5;

void check_reverted(const scenario& what)
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto result = replay(what, seed);
        CAPTURE(what.routes, what.per_s, what.failing, what.slow_factor, seed,
                result.end_s, result.fiftieth_bad_s, result.reason);
        CHECK(result.state == order_state::reverted);
        CHECK(result.end_s <= result.fiftieth_bad_s + verdict_s);
    }
}

} // namespace

// Guards against judging each route by itself: with many routes none had enough
// samples before the limit.
TEST_CASE("a failing version is reverted as soon on many routes as on one",
          "[moves]")
{
    const auto routes = GENERATE(1, 5, 40, 100, 350, 1400);
    scenario what;
    what.routes = static_cast<std::size_t>(routes);
    SECTION("half of the answers fail")
    {
        what.failing = 0.5;
    }
    SECTION("three in ten answers fail")
    {
        what.failing = 0.3;
    }
    SECTION("at 120 requests a second")
    {
        what.failing = 0.5;
        what.per_s = 120;
    }
    SECTION("from the sixth second on")
    {
        what.failing = 0.5;
        what.from_s = 6;
    }
    SECTION("skewed traffic")
    {
        what.failing = 0.5;
        what.skew = 1;
    }
    SECTION("routes of different latencies and error rates")
    {
        what.failing = 0.5;
        what.mixed = 0.5;
    }
    check_reverted(what);
}

// The same for latencies, which were compared route by route.
TEST_CASE("a slow version is reverted as soon on many routes as on one",
          "[moves]")
{
    const auto routes = GENERATE(1, 5, 40, 100, 350, 1400);
    scenario what;
    what.routes = static_cast<std::size_t>(routes);
    what.slow_factor = 6;
    SECTION("even traffic")
    {
    }
    SECTION("three times slower")
    {
        what.slow_factor = 3;
    }
    SECTION("skewed traffic")
    {
        what.skew = 1;
    }
    SECTION("routes of different latencies")
    {
        what.mixed = 0.5;
    }
    check_reverted(what);
}

// Guards the other side: a sum over routes must not hide a busy bad one.
TEST_CASE("a version that is bad on a busy route of many is reverted",
          "[moves]")
{
    const auto routes = GENERATE(2, 40, 350, 1400);
    scenario what;
    what.routes = static_cast<std::size_t>(routes);
    what.skew = 1;
    what.one_route = true;
    what.failing = 0.5;
    check_reverted(what);
}

// Guards the other side: routes that differ in latency, error rate and traffic
// must not make a good version look bad.
TEST_CASE("a good version of a service with many routes succeeds", "[moves]")
{
    const auto routes = GENERATE(1, 40, 350, 1400);
    const auto skew = GENERATE(0.0, 1.0);
    scenario what;
    what.routes = static_cast<std::size_t>(routes);
    what.skew = skew;
    what.mixed = 0.5;
    what.slow_factor = 1;
    int succeeded = 0;
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        const auto result = replay(what, seed);
        CAPTURE(routes, skew, seed, result.end_s, result.reason);
        CHECK(result.state == order_state::succeeded);
        succeeded += result.state == order_state::succeeded ? 1 : 0;
    }
    CHECK(succeeded == 50);
}

// Guards against reports that exceed a datagram and are lost whole.
TEST_CASE("evidence on any number of routes fits into a message", "[moves]")
{
    for (const std::size_t routes : {1U, 20U, 350U, 5000U})
    {
        move_evidence_t evidence;
        for (std::size_t i = 0; i < routes; ++i)
            for (std::size_t n = 0; n <= i % 7; ++n)
                add_sample(evidence["/route-" + std::to_string(i) + "/"],
                           n % 2 == 0, n % 3 != 0, 0.1);
        const auto before = total(evidence);
        for (int repeated = 0; repeated < 2; ++repeated)
        {
            limit_routes(evidence, message_bytes);
            CHECK(encoded_size(evidence) <= message_bytes + 500);
            const auto after = total(evidence);
            CHECK(after.from.requests == before.from.requests);
            CHECK(after.to_all.requests == before.to_all.requests);
            CHECK(after.to.errors == before.to.errors);
            CHECK(after.to_recent.timed == before.to_recent.timed);
        }
        CHECK((evidence.count(other_routes) == 1) == (routes > 20));
        // The busiest routes stay by themselves.
        for (const auto& [route, sides] : evidence)
            CHECK((routes <= 20 || route == other_routes ||
                   sides.from.requests + sides.to_all.requests == 7));
    }
    // A name that fills a message by itself is counted with the others.
    move_evidence_t evidence;
    add_sample(evidence[std::string(70000, 'x')], true, false, 0.1);
    add_sample(evidence["/short/"], true, false, 0.1);
    limit_routes(evidence, message_bytes);
    CHECK(encoded_size(evidence) <= message_bytes);
    CHECK(total(evidence).to.errors == 2);
    CHECK(evidence.count("/short/") == 1);
}
