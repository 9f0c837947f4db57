// Limits that endpoints name for the requests of all hosts: their division
// among hosts, their spread and their end.

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include <platform/caller_codec.hpp>
#include <rhubarbgrade/detail/placing/place.hpp>
#include <rhubarbgrade/detail/routing/request_limit.hpp>
#include <rhubarbgrade/detail/routing/slot_share.hpp>

#include "../../src/node/limit_pool.hpp"
#include "../../src/peers/peer_state.hpp"

using namespace rhubarbgrade;
using std::chrono::hours;
using std::chrono::seconds;

namespace
{

const time_point_t start = time_point_t{} + hours(1);

std::vector<std::string> host_names(std::size_t count)
{
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < count; ++i)
        hosts.push_back("h" + std::to_string(i));
    return hosts;
}

platform::response_head decode(const std::vector<std::string>& values)
{
    platform::fields_t fields;
    for (const auto& each : values)
        fields.insert("Server-Limit", each);
    return platform::decode_response(fields);
}

/// Most requests in 4 s that the slack of a half and five more allow.
double allowed(double per_s)
{
    return 1.5 * 4 * per_s + 5;
}

} // namespace

TEST_CASE("a request limit is a decimal number", "[limits]")
{
    CHECK(decode({"4"}).limit_per_s == 4.0);
    CHECK(decode({"1.1"}).limit_per_s == 1.1);
    CHECK(decode({"0"}).limit_per_s == 0.0);
    CHECK(decode({"3", "2.5"}).limit_per_s == 2.5);
    CHECK(decode({"3", "x"}).limit_per_s == 3.0);
    CHECK_FALSE(decode({}).names_limit);
    for (const auto* malformed : {"", "-1", "-0", "1e3", "inf", "nan", "2 3",
                                  "x", "1,5", "1e999999", ".", "0x1"})
    {
        const auto head = decode({malformed});
        INFO(malformed);
        CHECK(head.names_limit);
        CHECK_FALSE(head.limit_per_s);
    }
    // A number beyond every rate limits nothing, and nothing overflows.
    const auto huge = decode({std::string(300, '9')});
    REQUIRE(huge.limit_per_s);
    const auto hosts = host_names(3);
    const auto share = share_of_limit(*huge.limit_per_s, 1, "h0", hosts, 3);
    CHECK(share.per_s > 1e9);
    request_bucket bucket;
    refill(bucket, share, start);
    refill(bucket, share, start + seconds(1));
    CHECK(has_token(bucket));
}

TEST_CASE("a limit ends with the answer to a request sent after it was named",
          "[limits]")
{
    request_limit limit;
    CHECK_FALSE(in_force(limit));
    record_named(limit, 3, start, start + seconds(1));
    CHECK(in_force(limit));
    // An answer that was overtaken.
    record_unnamed(limit, start + milliseconds(500));
    CHECK(in_force(limit));
    record_unnamed(limit, start + seconds(2));
    CHECK_FALSE(in_force(limit));
    record_named(limit, 5, start + seconds(3), start + seconds(4));
    CHECK(in_force(limit));
    CHECK(limit.per_s == 5);
}

TEST_CASE("a lower limit counts at once, a higher one if it is newer",
          "[limits]")
{
    request_limit limit;
    record_named(limit, 3, start, start + seconds(1));
    record_named(limit, 9, start + milliseconds(500), start + seconds(2));
    CHECK(limit.per_s == 3);
    record_named(limit, 2, start, start + seconds(3));
    CHECK(limit.per_s == 2);
    record_named(limit, 9, start + seconds(4), start + seconds(5));
    CHECK(limit.per_s == 9);
}

TEST_CASE("the shares of a limit add up to less than the limit", "[limits]")
{
    const auto count = GENERATE(1, 2, 9, 79, 350);
    const auto per_s = GENERATE(0.0, 0.3, 1.0, 1.1, 2.0, 4.0, 30.0, 900.0);
    const auto hosts = host_names(static_cast<std::size_t>(count));
    double total = 0;
    double burst = 0;
    for (const auto& each : hosts)
    {
        const auto share = share_of_limit(per_s, 77, each, hosts, hosts.size());
        total += share.per_s;
        burst += share.burst;
    }
    INFO("hosts " << count << " limit " << per_s);
    CHECK(total <= std::max(per_s, 0.1));
    CHECK(total > 0);
    CHECK(4 * total + burst <= allowed(per_s));
}

TEST_CASE("hosts that do not hear of each other keep a limit together",
          "[limits]")
{
    const auto all = host_names(9);
    for (const double per_s : {1.0, 4.0, 30.0})
    {
        double total = 0;
        for (std::size_t island = 0; island < 3; ++island)
        {
            const std::vector<std::string> live(
                all.begin() + static_cast<long>(3 * island),
                all.begin() + static_cast<long>(3 * island + 3));
            for (const auto& each : live)
                total +=
                    share_of_limit(per_s, 77, each, live, all.size()).per_s;
        }
        CHECK(total <= per_s);
    }
}

TEST_CASE("an engine with a long queue gets no more requests", "[limits]")
{
    const auto objective = milliseconds(600);
    CHECK_FALSE(is_saturated({}, objective));
    CHECK_FALSE(is_saturated({3, milliseconds(1100)}, objective));
    CHECK(is_saturated({4, milliseconds(0)}, objective));
    CHECK(is_saturated({0, milliseconds(1200)}, objective));
    CHECK_FALSE(is_saturated({0, milliseconds(1200)}, milliseconds(800)));

    std::vector<placing_candidate> candidates(3);
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        candidates[i].identity = i + 1;
        candidates[i].limit = 9;
        candidates[i].queue = {40, milliseconds(0)};
    }
    placing_request request;
    request.affinity = 7;
    request.objective = objective;
    std::mt19937 engine(1); // NOLINT(cert-msc51-cpp): fixed for CI
    const random_source_t random = [&]
    {
        return engine();
    };
    CHECK_FALSE(place(candidates, request, {}, random));
    candidates[2].queue = {};
    for (int i = 0; i < 20; ++i)
        CHECK(place(candidates, request, {}, random) == std::size_t{2});
}

TEST_CASE("a refused host is told when it may send again", "[limits]")
{
    const request_share share{2, 1};
    request_bucket bucket;
    refill(bucket, share, start);
    CHECK_FALSE(has_token(bucket));
    CHECK(time_to_token(bucket, share) == milliseconds(500));
    refill(bucket, share, start + milliseconds(400));
    CHECK(time_to_token(bucket, share) == milliseconds(100));
    refill(bucket, share, start + milliseconds(500));
    CHECK(has_token(bucket));
    refill(bucket, share, start + seconds(90));
    CHECK(bucket.tokens == 1);
    CHECK_FALSE(time_to_token(bucket, {}));
}

TEST_CASE("hosts learn a limit and its end from each other", "[limits]")
{
    const auto hosts = host_names(2);
    limit_pool first("h0");
    limit_pool second("h1");
    auto now = start;
    const auto exchange = [&]
    {
        first.merge(second.shared(now), now);
        second.merge(first.shared(now), now);
    };
    second.observe({5, 1.0, now - milliseconds(20), now});
    exchange();
    CHECK(first.shares(hosts, 2).count(5) == 1);
    CHECK(second.shares(hosts, 2).count(5) == 1);
    now += seconds(60);
    exchange();
    CHECK(first.shares(hosts, 2).count(5) == 1);
    now += seconds(1);
    first.observe({5, std::nullopt, now, now + milliseconds(20)});
    CHECK(first.shares(hosts, 2).empty());
    exchange();
    CHECK(second.shares(hosts, 2).empty());
    // A late message of the host that has not sent a request since.
    exchange();
    CHECK(first.shares(hosts, 2).empty());
    now += seconds(1);
    second.observe({5, 2.0, now, now});
    exchange();
    CHECK(first.shares(hosts, 2).count(5) == 1);
    first.retain({});
    CHECK(first.shares(hosts, 2).empty());
}

TEST_CASE("what brittle endpoints can turn away is a decimal number",
          "[limits]")
{
    boost::beast::http::fields fields;
    CHECK_FALSE(platform::decode_response(fields).names_brittle);
    fields.insert("Server-Brittle", "3");
    CHECK(platform::decode_response(fields).rejections_per_s == 3.0);
    CHECK_FALSE(platform::decode_response(fields).names_limit);
    fields.set("Server-Brittle", "many");
    CHECK(platform::decode_response(fields).names_brittle);
    CHECK_FALSE(platform::decode_response(fields).rejections_per_s);
}

TEST_CASE("hosts have all slots of brittle endpoints among them, and no more",
          "[limits]")
{
    const auto count = GENERATE(1, 3, 9, 79, 350);
    const auto endpoints = GENERATE(1, 4, 8, 140);
    const auto slots = GENERATE(1U, 2U, 6U, 128U);
    INFO(count << " hosts, " << endpoints << " endpoints, " << slots);
    const auto hosts = host_names(static_cast<std::size_t>(count));
    std::vector<slot_offer> offers;
    for (int i = 0; i < endpoints; ++i)
        offers.push_back({static_cast<std::uint64_t>(i) * 7919 % 541, slots});
    std::map<std::uint64_t, std::uint32_t> totals;
    std::uint32_t least = ~0U;
    std::uint32_t most = 0;
    for (const auto& host : hosts)
    {
        std::uint32_t own = 0;
        for (const auto& [process, share] :
             share_of_slots(offers, host, hosts, hosts.size()))
        {
            totals[process] += share;
            own += share;
        }
        least = std::min(least, own);
        most = std::max(most, own);
    }
    for (const auto& [process, total] : totals)
        CHECK(total == slots);
    CHECK(most - least <= 1);
    // A host that hears of fewer takes no more.
    const std::vector<std::string> alone{hosts[0]};
    for (const auto& [process, share] :
         share_of_slots(offers, hosts[0], alone, hosts.size()))
        CHECK(share <= slots / hosts.size() + 1);
}

TEST_CASE("all hosts pause when a brittle endpoint has turned a request away",
          "[limits]")
{
    CHECK(rejection_pause(100, 3) == milliseconds(1000));
    CHECK(rejection_pause(3, 9) == milliseconds(3000));
    CHECK(rejection_pause(0, 300) == milliseconds(5000));
    limit_pool first("h0");
    limit_pool second("h1");
    first.observe({5, 3.0, start, start, true, limit_kind::rejections});
    const auto now = start + milliseconds(100);
    second.merge(first.shared(now), now);
    REQUIRE(second.limits_in_force().contains(5));
    CHECK(second.limits_in_force().at(5).rejected_at == start);
    // An answer without a rejection does not end the pause.
    second.observe({5, 3.0, now, now, false, limit_kind::rejections});
    CHECK(second.limits_in_force().at(5).rejected_at == start);
}

TEST_CASE(
    "the limits of many endpoints fit into a heartbeat, the last ones first",
    "[limits]")
{
    limit_pool pool("h0");
    constexpr std::uint64_t endpoints = 2500;
    for (std::uint64_t i = 0; i < endpoints; ++i)
    {
        const auto at = start + milliseconds(i);
        pool.observe({i, 3.0, at, at, false, limit_kind::rejections});
    }
    peer_heartbeat beat;
    beat.brittle = pool.shared(start + seconds(10));
    beat.limits = beat.brittle;
    REQUIRE(beat.brittle.size() == 400);
    for (const auto& each : beat.brittle)
        CHECK(each.process >= endpoints - 400);
    CHECK(encode_heartbeat(beat).size() < 40000);
}

TEST_CASE("request limits round-trip through heartbeats", "[limits]")
{
    peer_heartbeat beat;
    beat.brittle.push_back(
        {7, 3, milliseconds(20), std::nullopt, milliseconds(5)});
    beat.limits.push_back({5, 1.25, milliseconds(0), std::nullopt});
    beat.limits.push_back({6, 0, milliseconds(900), milliseconds(70)});
    const auto datagram = decode_datagram(encode_heartbeat(beat));
    REQUIRE(datagram);
    const auto& brittle = std::get<peer_heartbeat>(*datagram).brittle;
    REQUIRE(brittle.size() == 1);
    CHECK(brittle[0].process == 7);
    CHECK(brittle[0].rejected_age == milliseconds(5));
    const auto& limits = std::get<peer_heartbeat>(*datagram).limits;
    REQUIRE(limits.size() == 2);
    CHECK_FALSE(limits[0].rejected_age);
    CHECK(limits[0].process == 5);
    CHECK(limits[0].per_s == 1.25);
    CHECK(limits[0].named_age == milliseconds(0));
    CHECK_FALSE(limits[0].unnamed_age);
    CHECK(limits[1].per_s == 0);
    CHECK(limits[1].named_age == milliseconds(900));
    CHECK(limits[1].unnamed_age == milliseconds(70));
}

namespace
{

/// Hosts that send as many requests to one endpoint as its limit lets them, in
/// steps of 10 ms.
class simulated_hosts
{
public:
    simulated_hosts(unsigned seed, std::size_t count, double per_s)
        : m_random(seed), m_names(host_names(count)), m_per_s(per_s)
    {
        for (const auto& each : m_names)
            m_hosts.push_back({limit_pool(each), {}, true});
    }

    void run(seconds duration)
    {
        for (const auto end = m_now + duration; m_now < end;
             m_now += milliseconds(10))
        {
            for (auto& each : m_hosts)
                if (each.alive && m_random() % 10 == 0)
                    send(each);
            if ((m_now - start) % milliseconds(500) == milliseconds(0))
                exchange();
        }
    }

    void stop_host(std::size_t index)
    {
        m_hosts[index].alive = false;
    }

    /// A host starts anew and knows nothing.
    void start_host(std::size_t index)
    {
        m_hosts[index] = {limit_pool(m_names[index]), {}, true};
    }

    /// Most requests in 4 s from 3 s after the first on, without those of hosts
    /// that had been told less than 0.5 s before.
    int most_in_window() const
    {
        int most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_counted.size(); ++last)
        {
            while (m_counted[last] - m_counted[first] >= seconds(4))
                ++first;
            most = std::max(most, static_cast<int>(last - first + 1));
        }
        return most;
    }

    std::size_t sent() const
    {
        return m_counted.size();
    }

private:
    struct host
    {
        limit_pool pool;
        request_bucket bucket;
        bool alive = true;
        time_point_t told_at{};
    };

    std::vector<std::string> live() const
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            if (m_hosts[i].alive)
                names.push_back(m_names[i]);
        return names;
    }

    void send(host& from)
    {
        const auto shares = from.pool.shares(live(), m_names.size());
        if (const auto found = shares.find(process); found != shares.end())
        {
            refill(from.bucket, found->second, m_now);
            if (!has_token(from.bucket))
                return;
            from.bucket.tokens -= 1;
        }
        if (from.told_at != time_point_t{} &&
            m_now - from.told_at >= milliseconds(500) &&
            m_now - start >= seconds(3))
            m_counted.push_back(m_now);
        from.pool.observe({process, m_per_s, m_now, m_now});
        if (from.told_at == time_point_t{})
            from.told_at = m_now;
    }

    void exchange()
    {
        constexpr unsigned lost_in_100 = 5;
        for (auto& from : m_hosts)
            for (auto& to : m_hosts)
                if (&from != &to && from.alive && to.alive &&
                    m_random() % 100 >= lost_in_100)
                    to.pool.merge(from.pool.shared(m_now), m_now);
    }

    static constexpr std::uint64_t process = 5;
    std::mt19937 m_random;
    std::vector<std::string> m_names;
    double m_per_s;
    time_point_t m_now = start;
    std::vector<host> m_hosts;
    std::vector<time_point_t> m_counted;
};

} // namespace

TEST_CASE("simulated hosts keep a limit together while some of them restart",
          "[limits]")
{
    const auto seed = GENERATE(range(1U, 31U));
    const std::vector<double> limits{0.5, 1, 1.1, 1.9, 4, 20};
    const std::vector<std::size_t> counts{3, 9, 24};
    const auto per_s = limits[seed % limits.size()];
    const auto count = counts[seed % counts.size()];
    simulated_hosts hosts(seed, count, per_s);
    hosts.run(seconds(8));
    for (std::size_t i = 0; i < count; i += 2)
    {
        hosts.stop_host(i);
        hosts.run(seconds(3));
        hosts.start_host(i);
        hosts.run(seconds(2));
    }
    INFO("seed " << seed << " hosts " << count << " limit " << per_s);
    CHECK(hosts.most_in_window() <= allowed(per_s));
    CHECK(hosts.sent() > 0);
}
