// Cold endpoints: what all hosts together send to one, while they learn late
// that it is cold or don't hear of each other.

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/fleet/cold_endpoints.hpp>

#include "../../src/gateway/endpoint_directory.hpp"
#include "../../src/peers/peer_state.hpp"

using namespace rhubarbgrade;
using std::chrono::hours;
using std::chrono::seconds;

namespace
{

const time_point_t start = time_point_t{} + hours(1);

constexpr double cold_per_s = 15;
/// Requests within one second, over all hosts, that a cold endpoint must
/// survive: half more than it names, and five.
constexpr double most_in_a_second = 1.5 * cold_per_s + 5;
constexpr milliseconds step{5};

std::vector<std::string> host_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("h" + std::to_string(i));
    return names;
}

deployment make_configuration(milliseconds cold_time)
{
    deployment configuration;
    auto& service = configuration.services["s"];
    service.cold_time = cold_time;
    service.cold_per_s = cold_per_s;
    return configuration;
}

endpoint_entry make_entry(const std::string& id, std::uint64_t started,
                          milliseconds cold = milliseconds(0))
{
    endpoint_entry entry;
    entry.id = id;
    entry.service = "s";
    entry.zone = "z1";
    entry.slots = 1000;
    entry.started = started;
    entry.cold = cold;
    return entry;
}

/// One host with its own view of an endpoint.
class host
{
public:
    host(std::string name, std::vector<std::string> live, std::size_t all,
         const deployment& configuration)
        : m_name(std::move(name)),
          m_live(std::move(live)),
          m_all(all),
          m_configuration(configuration)
    {
        replace_endpoints(m_book, {}, start);
    }

    void learn(const endpoint_entry& entry, time_point_t now)
    {
        upsert_endpoint(m_book, entry, now);
        publish(now);
    }

    void take_back(time_point_t now)
    {
        m_evidence.returns["z1"] = now;
        publish(now);
    }

    /// As the control thread does several times a second.
    void publish(time_point_t now)
    {
        auto view = std::make_shared<fleet_view>();
        view->endpoints = usable_endpoints(m_book, now);
        view->cold_shares = share_cold_endpoints(
            m_book, m_configuration, m_evidence, m_name, m_live, m_all, now);
        m_directory.update(view);
    }

    /// Whether a request could be sent, which is then counted.
    bool send(time_point_t now)
    {
        endpoint_criteria criteria;
        criteria.service = "s";
        const auto chosen = m_directory.choose(criteria, now);
        if (chosen)
            endpoint_directory::count_request(*chosen, now);
        return chosen != nullptr;
    }

private:
    std::string m_name;
    std::vector<std::string> m_live;
    std::size_t m_all;
    const deployment& m_configuration;
    endpoint_registry m_book;
    cold_evidence m_evidence;
    boost::asio::io_context m_io;
    std::mt19937_64 m_numbers{46};
    endpoint_directory m_directory{m_io.get_executor(), "z1",
                                   [this]
                                   {
                                       return m_numbers();
                                   },
                                   [](const limit_observation&) {}, [] {}};
};

using fleet_t = std::vector<std::unique_ptr<host>>;

fleet_t make_fleet(std::size_t count, const deployment& configuration)
{
    const auto names = host_names(count);
    fleet_t fleet;
    for (const auto& each : names)
        fleet.push_back(
            std::make_unique<host>(each, names, count, configuration));
    return fleet;
}

/// Arrivals at the endpoint, as it counts them.
class arrivals
{
public:
    /// @param[in] seed  of the delays on the way
    explicit arrivals(unsigned seed) : m_numbers(seed)
    {
    }

    void add(time_point_t sent_at)
    {
        m_at.push_back(sent_at + milliseconds(m_numbers() % 40));
    }

    /// Most of them within one second.
    std::size_t most_in_a_second()
    {
        std::sort(m_at.begin(), m_at.end());
        std::size_t most = 0;
        for (auto first = m_at.begin(); first != m_at.end(); ++first)
        {
            const auto last =
                std::lower_bound(first, m_at.end(), *first + seconds(1));
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::size_t total() const
    {
        return m_at.size();
    }

private:
    std::mt19937_64 m_numbers;
    std::vector<time_point_t> m_at;
};

} // namespace

TEST_CASE("all hosts together keep to what a new endpoint takes, whenever each "
          "learns of it",
          "[cold]")
{
    const std::size_t count = GENERATE(3U, 24U, 80U);
    const unsigned seed = GENERATE(1U, 2U, 3U);
    INFO("hosts " << count << " seed " << seed);
    const auto configuration = make_configuration(seconds(6));
    auto fleet = make_fleet(count, configuration);
    std::mt19937_64 numbers(seed);
    std::vector<time_point_t> learns_at;
    for (std::size_t i = 0; i < count; ++i)
        learns_at.push_back(start + milliseconds(1 + numbers() % 2500));
    arrivals seen(seed);
    // All hosts have requests all the time.
    for (auto now = start; now < start + seconds(6); now += step)
        for (std::size_t i = 0; i < count; ++i)
        {
            if (now >= learns_at[i] && now - step < learns_at[i])
                fleet[i]->learn(make_entry("e", 7), now);
            if (fleet[i]->send(now))
                seen.add(now);
        }
    CHECK(static_cast<double>(seen.most_in_a_second()) <= most_in_a_second);
    // It isn't left alone either.
    CHECK(static_cast<double>(seen.total()) >= cold_per_s);
}

TEST_CASE("hosts that don't hear of each other send no more to a cold endpoint "
          "all at once",
          "[cold]")
{
    const std::size_t islands = GENERATE(2U, 4U);
    constexpr std::size_t count = 80;
    const auto configuration = make_configuration(seconds(60));
    const auto names = host_names(count);
    const auto size = static_cast<long>(count / islands);
    fleet_t fleet;
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto first = names.begin() + static_cast<long>(i) / size * size;
        fleet.push_back(std::make_unique<host>(
            names[i], std::vector<std::string>(first, first + size), count,
            configuration));
    }
    for (auto& each : fleet)
    {
        each->learn(make_entry("e", 7), start + milliseconds(1));
        each->send(start + milliseconds(1));
    }
    arrivals seen(1);
    // Their callers come together after a while.
    for (auto now = start + seconds(20); now < start + seconds(24); now += step)
        for (auto& each : fleet)
            if (each->send(now))
                seen.add(now);
    CHECK(static_cast<double>(seen.most_in_a_second()) <= most_in_a_second);
    CHECK(seen.total() > 0);
}

TEST_CASE("hosts that learn late that an endpoint is cold again keep to its "
          "rate with the others",
          "[cold]")
{
    const std::size_t count = GENERATE(3U, 24U, 80U);
    INFO("hosts " << count);
    const auto configuration = make_configuration(seconds(3));
    auto fleet = make_fleet(count, configuration);
    for (auto& each : fleet)
        each->learn(make_entry("e", 7), start);
    std::mt19937_64 numbers(5);
    const auto cold_at = start + seconds(20);
    std::vector<time_point_t> learns_at;
    for (std::size_t i = 0; i < count; ++i)
        learns_at.push_back(cold_at + milliseconds(numbers() % 2000));
    arrivals seen(5);
    // The warm endpoint gets 9 requests a second from all hosts.
    constexpr double wanted_per_s = 9;
    std::bernoulli_distribution wants(
        wanted_per_s * std::chrono::duration<double>(step).count() /
        static_cast<double>(count));
    for (auto& each : fleet)
        each->publish(cold_at);
    for (auto now = cold_at; now < cold_at + seconds(5); now += step)
        for (std::size_t i = 0; i < count; ++i)
        {
            const bool knows = now >= learns_at[i];
            if (knows && now - step < learns_at[i])
                fleet[i]->learn(make_entry("e", 7, seconds(5)), now);
            // Who knows has more requests than it may send.
            if ((knows || wants(numbers)) && fleet[i]->send(now))
                seen.add(now);
        }
    CHECK(static_cast<double>(seen.most_in_a_second()) <= most_in_a_second);
}

TEST_CASE(
    "an endpoint of a zone that is taken back gets its requests gradually",
    "[cold]")
{
    const std::size_t count = GENERATE(3U, 24U, 80U);
    INFO("hosts " << count);
    const auto configuration = make_configuration(seconds(3));
    auto fleet = make_fleet(count, configuration);
    for (auto& each : fleet)
        each->learn(make_entry("e", 7), start);
    std::mt19937_64 numbers(8);
    const auto returned = start + seconds(30);
    std::vector<time_point_t> learns_at;
    for (std::size_t i = 0; i < count; ++i)
        learns_at.push_back(returned + milliseconds(numbers() % 1000));
    arrivals seen(8);
    // Nobody says that it is cold, and all hosts have requests all the time.
    for (auto now = returned; now < returned + seconds(3); now += step)
        for (std::size_t i = 0; i < count; ++i)
        {
            if (now < learns_at[i])
                continue;
            if (now - step < learns_at[i])
                fleet[i]->take_back(learns_at[i]);
            if (fleet[i]->send(now))
                seen.add(now);
        }
    CHECK(static_cast<double>(seen.most_in_a_second()) <= most_in_a_second);
    CHECK(seen.total() > 0);
}

TEST_CASE("an endpoint counts as cold as long as it names, and after its start",
          "[cold]")
{
    const milliseconds cold_time = seconds(8);
    endpoint_registry book;
    replace_endpoints(book, {make_entry("old", 1)}, start);
    const auto until = [&](const std::string& id)
    {
        return cold_until(book, book.endpoints.at(id), cold_time, {}) - start;
    };
    // All hosts start, and nobody knows how old the entries are.
    CHECK(until("old") == seconds(3));
    CHECK(cold_until(book, book.endpoints.at("old"), cold_time, {{}, true}) ==
          start);
    const auto later = start + seconds(10);
    upsert_endpoint(book, make_entry("new", 2), later);
    CHECK(until("new") == seconds(18));
    upsert_endpoint(book, make_entry("old", 1, seconds(4)), later);
    CHECK(until("old") == seconds(14));
    // It says that it is warm.
    upsert_endpoint(book, make_entry("old", 1), later + seconds(1));
    CHECK(until("old") == seconds(11));
    // Another process of the same name.
    upsert_endpoint(book, make_entry("old", 5), later + seconds(20));
    CHECK(until("old") == seconds(38));
}

TEST_CASE("a process that is listed again has not started again", "[cold]")
{
    endpoint_registry book;
    replace_endpoints(book, {}, start);
    upsert_endpoint(book, make_entry("e", 2), start + seconds(1));
    remove_endpoint(book, "e", start + seconds(20));
    usable_endpoints(book, start + seconds(20));
    CHECK_FALSE(book.endpoints.contains("e"));
    upsert_endpoint(book, make_entry("e", 2), start + seconds(25));
    CHECK(cold_until(book, book.endpoints.at("e"), seconds(8), {}) ==
          start + seconds(25));
    CHECK(book.endpoints.at("e").seen == start + seconds(1));
}

TEST_CASE("an older list of a restored store doesn't make an endpoint warm",
          "[cold]")
{
    endpoint_registry book;
    replace_endpoints(book, {make_entry("e", 1)}, start);
    upsert_endpoint(book, make_entry("e", 1, seconds(30)), start + seconds(5));
    restore_endpoints(book, {make_entry("e", 1)}, start + seconds(6));
    CHECK(book.endpoints.at("e").cold_until == start + seconds(35));
}

TEST_CASE("the endpoints of a zone that is taken back count as cold for a "
          "while",
          "[cold]")
{
    const milliseconds cold_time = seconds(8);
    endpoint_registry book;
    replace_endpoints(book, {make_entry("e", 1)}, start);
    const auto& endpoint = book.endpoints.at("e");
    const auto returned = start + seconds(100);
    CHECK(cold_until(book, endpoint, cold_time, {{{"z1", returned}}, false}) ==
          returned + seconds(3));
    CHECK(cold_until(book, endpoint, cold_time, {{{"z2", returned}}, false}) ==
          start + seconds(3));
    CHECK(cold_until(book, endpoint, seconds(1), {{{"z1", returned}}, true}) ==
          returned + seconds(1));
}

TEST_CASE("endpoints of a service without a cold rate have no shares", "[cold]")
{
    auto configuration = make_configuration(seconds(3));
    const auto names = host_names(3);
    endpoint_registry book;
    replace_endpoints(book, {make_entry("e", 1, seconds(9))}, start);
    const auto shares = [&]
    {
        return share_cold_endpoints(book, configuration, {}, "h0", names, 3,
                                    start + seconds(4));
    };
    CHECK(shares().size() == 1);
    configuration.services["s"].cold_per_s = 0;
    CHECK(shares().empty());
    configuration.services.clear();
    CHECK(shares().empty());
}

TEST_CASE("a peer is told for how long an endpoint is still cold", "[cold]")
{
    endpoint_registry book;
    replace_endpoints(book, {make_entry("e", 1, seconds(9))}, start);
    peer_state state;
    state.endpoints.push_back(
        shared_entry(book.endpoints.at("e"), start + seconds(4)));
    const auto read = decode_state(encode_state(state));
    REQUIRE(read);
    CHECK(read->endpoints.at(0).cold == seconds(5));
    CHECK(shared_entry(book.endpoints.at("e"), start + seconds(20)).cold ==
          seconds(0));
}
