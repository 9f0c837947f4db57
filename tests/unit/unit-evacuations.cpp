// Evacuated zones: how hosts learn of them from the store and from each other,
// and which endpoints requests are sent to meanwhile.

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/fleet/evacuations.hpp>

#include "../../src/gateway/endpoint_directory.hpp"

using namespace rhubarbgrade;
using std::chrono::hours;

namespace
{

const time_point_t start = time_point_t{} + hours(1);

using zones_t = std::set<std::string>;

struct zone_change
{
    std::uint64_t revision = 0;
    std::string zone;
    bool evacuated = false;
};

/// The store's history of evacuations; only some revisions belong to them.
class history
{
public:
    explicit history(std::mt19937_64& numbers)
    {
        const std::array<std::string, 3> names{"z1", "z2", "z3"};
        std::uint64_t revision = 100;
        zones_t zones;
        for (int i = 0; i < 40; ++i)
        {
            revision += 1 + numbers() % 3;
            const auto& zone = names[numbers() % names.size()];
            const bool evacuated = !zones.contains(zone);
            m_changes.push_back({revision, zone, evacuated});
            if (evacuated)
                zones.insert(zone);
            else
                zones.erase(zone);
        }
    }

    zones_t zones_at(std::uint64_t revision) const
    {
        zones_t zones;
        for (const auto& each : m_changes)
        {
            if (each.revision > revision)
                break;
            if (each.evacuated)
                zones.insert(each.zone);
            else
                zones.erase(each.zone);
        }
        return zones;
    }

    std::uint64_t last() const
    {
        return m_changes.back().revision;
    }

    const std::vector<zone_change>& changes() const
    {
        return m_changes;
    }

private:
    std::vector<zone_change> m_changes;
};

/// Reports the changes up to a revision, as a watch does that begins at the
/// position that the host has or at an earlier one.
void watch(evacuation_book& book, const history& store, std::uint64_t from,
           std::uint64_t to)
{
    for (const auto& each : store.changes())
        if (each.revision > from && each.revision <= to)
            record_change(book, each.zone, each.evacuated);
    reach_position(book, 1, to);
}

/// Endpoints of one service in two zones, seen by a host.
class two_zones
{
public:
    two_zones()
    {
        for (const auto* zone : {"z1", "z2"})
            for (int i = 0; i < 2; ++i)
            {
                endpoint_entry entry;
                entry.id = std::string(zone) + "-" + std::to_string(i);
                entry.service = "s";
                entry.zone = zone;
                entry.version = i == 0 ? "proven" : "trial";
                entry.slots = 1000;
                m_view.endpoints.push_back(entry);
            }
    }

    void evacuate(const zones_t& zones)
    {
        m_view.evacuated_zones = zones;
        m_directory.update(std::make_shared<fleet_view>(m_view));
    }

    void set_trial(double share)
    {
        m_view.splits["s"] = {"trial", share};
    }

    void remove(const std::string& id)
    {
        std::erase_if(m_view.endpoints,
                      [&](const auto& each)
                      {
                          return each.id == id;
                      });
    }

    endpoint_ptr_t choose(double draw = 0.5)
    {
        return m_directory.choose(criteria(draw), start);
    }

    /// Zones that 50 requests are sent to.
    zones_t chosen_zones()
    {
        zones_t zones;
        for (int i = 0; i < 50; ++i)
            if (const auto chosen = choose())
                zones.insert(chosen->entry.zone);
        return zones;
    }

    std::optional<milliseconds> capacity_wait(double draw = 0.5) const
    {
        return m_directory.capacity_wait(criteria(draw), start);
    }

    std::size_t evacuated_in_flight() const
    {
        return m_directory.evacuated_in_flight();
    }

private:
    static endpoint_criteria criteria(double draw)
    {
        endpoint_criteria wanted;
        wanted.service = "s";
        wanted.version_draw = draw;
        return wanted;
    }

    std::mt19937_64 m_numbers{46};
    fleet_view m_view;
    boost::asio::io_context m_io;
    endpoint_directory m_directory{m_io.get_executor(), "z1",
                                   [this]
                                   {
                                       return m_numbers();
                                   },
                                   [](const limit_observation&) {}, [] {}};
};

} // namespace

TEST_CASE(
    "a host's evacuations are those of its position, whatever it hears in "
    "whatever order",
    "[evacuations]")
{
    for (unsigned seed = 0; seed < 200; ++seed)
    {
        INFO("seed " << seed);
        std::mt19937_64 numbers(seed);
        const history store(numbers);
        constexpr std::size_t hosts = 4;
        std::array<evacuation_book, hosts> books;
        std::array<std::uint64_t, hosts> watched{};
        std::vector<evacuation_list> on_the_way;
        const auto check = [&](const evacuation_book& book)
        {
            if (book.list.revision != 0)
                REQUIRE(book.list.zones == store.zones_at(book.list.revision));
        };
        for (int step = 0; step < 300; ++step)
        {
            const auto host = numbers() % hosts;
            auto& book = books[host];
            // Two hosts read the store; the others hear of it only.
            if (host < 2 && numbers() % 2 == 0)
            {
                if (watched[host] == 0)
                {
                    watched[host] = 100 + numbers() % 9;
                    merge(book,
                          {1, watched[host], store.zones_at(watched[host])});
                    continue;
                }
                // It may hear of a later list while a watch waits.
                const auto from =
                    numbers() % 2 == 0
                        ? watched[host]
                        : std::max(watched[host], book.list.revision);
                const auto to = std::min(store.last(), from + numbers() % 9);
                watch(book, store, from, to);
                watched[host] = std::max(from, to);
            }
            else if (!on_the_way.empty() && numbers() % 2 == 0)
            {
                // Messages arrive late, twice or never.
                merge(book, on_the_way[numbers() % on_the_way.size()]);
            }
            else
                on_the_way.push_back(book.list);
            check(book);
        }
        merge(books[0], {1, 100, store.zones_at(100)});
        watch(books[0], store, watched[0], store.last());
        for (auto& each : books)
        {
            merge(each, books[0].list);
            CHECK(each.list.zones == store.zones_at(store.last()));
        }
    }
}

TEST_CASE("changes that are older than the list of another host do not alter "
          "it",
          "[evacuations]")
{
    evacuation_book book;
    CHECK(merge(book, {1, 10, {}}) == false);
    CHECK(merge(book, {1, 20, {"z1"}}));
    // The watch began at 10: z2 was evacuated and taken back by 20.
    record_change(book, "z2", true);
    CHECK_FALSE(reach_position(book, 1, 15));
    CHECK(book.list.zones == zones_t{"z1"});
    // The next one begins at 20.
    record_change(book, "z3", true);
    CHECK(reach_position(book, 1, 25));
    CHECK(book.list.zones == zones_t{"z1", "z3"});
}

TEST_CASE("the list of a store that came back from a copy replaces later "
          "revisions",
          "[evacuations]")
{
    evacuation_book book;
    merge(book, {1, 500, {"z1"}});
    CHECK(merge(book, {2, 90, {}}));
    CHECK_FALSE(merge(book, {1, 600, {"z1", "z2"}}));
    CHECK(book.list.zones.empty());
    CHECK(book.list.revision == 90);
}

TEST_CASE("a host that doesn't know the evacuations changes none",
          "[evacuations]")
{
    evacuation_book book;
    merge(book, {1, 500, {"z1"}});
    CHECK_FALSE(merge(book, evacuation_list{}));
    CHECK(book.list.zones == zones_t{"z1"});
}

TEST_CASE("requests are sent elsewhere while a zone is evacuated, and back "
          "after it",
          "[evacuations]")
{
    two_zones fleet;
    fleet.evacuate({});
    // The host's own zone is preferred.
    CHECK(fleet.chosen_zones() == zones_t{"z1"});
    fleet.evacuate({"z1"});
    CHECK(fleet.chosen_zones() == zones_t{"z2"});
    CHECK_FALSE(fleet.capacity_wait());
    fleet.evacuate({"z2", "unknown"});
    CHECK(fleet.chosen_zones() == zones_t{"z1"});
    fleet.evacuate({});
    CHECK(fleet.chosen_zones() == zones_t{"z1"});
}

TEST_CASE("requests are refused at once if all zones of a service are "
          "evacuated",
          "[evacuations]")
{
    two_zones fleet;
    fleet.evacuate({"z1", "z2"});
    CHECK_FALSE(fleet.choose());
    CHECK(fleet.capacity_wait() == milliseconds(0));
    fleet.evacuate({"z1"});
    CHECK(fleet.choose());
}

TEST_CASE("a request for a version on trial goes to the proven one if the "
          "trial's zone is evacuated",
          "[evacuations]")
{
    two_zones fleet;
    fleet.remove("z2-1");
    fleet.set_trial(0.1);
    fleet.evacuate({"z1"});
    const auto chosen = fleet.choose(0.05);
    REQUIRE(chosen);
    CHECK(chosen->entry.version == "proven");
    CHECK(chosen->entry.zone == "z2");
}

TEST_CASE("requests that run at an evacuated zone are counted until they end",
          "[evacuations]")
{
    two_zones fleet;
    fleet.evacuate({"z2"});
    const auto running = fleet.choose();
    REQUIRE(running);
    running->in_flight = 3;
    CHECK(fleet.evacuated_in_flight() == 0);
    fleet.evacuate({"z1"});
    CHECK(fleet.evacuated_in_flight() == 3);
    running->in_flight = 0;
    CHECK(fleet.evacuated_in_flight() == 0);
}
