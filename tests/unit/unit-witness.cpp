// Witnesses of hosts. The ceilings that a witness confirmed bound what a dead
// host may have spent. Guards against overspending under kills, lost, late and
// repeated messages, and writes without an answer.

#include <algorithm> // any_of, min
#include <cstdint>   // uint64_t
#include <limits>    // numeric_limits
#include <map>       // map
#include <optional>  // optional
#include <string>    // string, to_string
#include <vector>    // vector

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <rhubarbgrade/detail/escrow/closed_holdings.hpp>
#include <rhubarbgrade/detail/escrow/escrow.hpp> // escrow_book

using namespace rhubarbgrade;

namespace
{

constexpr token_count_t prepaid = 10000;
constexpr token_count_t request_tokens = 300;
const std::string customer_name = "clerks";

struct late_write
{
    std::uint64_t revision = 0;
    escrow_book book;
};

struct store_model
{
    escrow_book book;
    std::uint64_t revision = 1;
    std::vector<late_write> late_writes;

    bool write(const late_write& updated)
    {
        if (updated.revision != revision)
            return false;
        book = decode_escrow_book(encode_escrow_book(updated.book)).value();
        ++revision;
        return true;
    }
};

/// A write whose result is not yet known.
struct pending_model
{
    std::uint64_t revision = 0;
    token_count_t drawn = 0;
    process_id witness;
};

struct host_model
{
    std::string name;
    int boot = 0;
    escrow_book book;
    std::uint64_t revision = 0;
    std::optional<pending_model> pending;
    wallet_state wallet;
    owner_ceilings ceilings;
    witness_record record;
    process_id candidate; ///< witness to be registered next
    bool limited = false; ///< spends at most what candidate confirmed

    process_id self() const
    {
        return {name, std::to_string(boot)};
    }

    const escrow_holding* holding() const
    {
        const auto entry = book.hosts.find(name);
        const bool is_own = entry != book.hosts.end() &&
                            entry->second.incarnation == self().incarnation;
        return is_own ? &entry->second : nullptr;
    }

    process_id registered() const
    {
        return holding() != nullptr ? holding()->witness : process_id();
    }

    token_count_t in_use() const
    {
        return wallet.used + wallet.reserved;
    }

    token_count_t confirmed(const process_id& witness) const
    {
        return witness.none()
                   ? std::numeric_limits<token_count_t>::max()
                   : confirmed_ceiling(ceilings, witness, customer_name);
    }

    token_count_t limit() const
    {
        auto lowest = confirmed(registered());
        if (pending)
            lowest = std::min(lowest, confirmed(pending->witness));
        if (limited)
            lowest = std::min(lowest, confirmed(candidate));
        return lowest;
    }

    token_count_t drawn() const
    {
        const auto* const entry = holding();
        if (entry == nullptr || !entry->drawn.contains(customer_name))
            return 0;
        const auto known = entry->drawn.find(customer_name)->second;
        return pending ? std::min(known, pending->drawn) : known;
    }
};

struct simulation
{
    store_model store;
    std::vector<host_model> hosts{{"a"}, {"b"}, {"c"}};
    std::vector<host_model>
        replaced; ///< still running, but superseded in the store
    std::vector<witness_message> in_flight;
    std::map<process_id, token_count_t> spent;
};

token_count_t spent_by_all(const simulation& sim)
{
    token_count_t sum = 0;
    for (const auto& [owner, tokens] : sim.spent)
        sum += tokens;
    return sum;
}

/// Tokens spent by ended processes whose holdings are closed.
token_count_t spent_by_closed(const simulation& sim)
{
    token_count_t sum = 0;
    for (const auto& [owner, tokens] : sim.spent)
    {
        const auto& book = sim.store.book;
        const auto current = book.hosts.find(owner.host);
        const bool open = (current != book.hosts.end() &&
                           current->second.incarnation == owner.incarnation) ||
                          std::any_of(book.ended.begin(), book.ended.end(),
                                      [&owner = owner](const auto& each)
                                      {
                                          return each.owner == owner;
                                      });
        sum += open ? 0 : tokens;
    }
    return sum;
}

void read_store(host_model& host, const store_model& store)
{
    host.book = store.book;
    host.revision = store.revision;
    if (host.pending && host.pending->revision != store.revision)
        host.pending.reset();
    if (host.registered() == host.candidate)
    {
        host.candidate = {};
        host.limited = false;
    }
}

/// Returns whether the candidate may be written as the witness.
bool can_register(const host_model& host)
{
    if (host.candidate.none() || host.pending)
        return false;
    return host.registered().none()
               ? host.limited && host.in_use() <= host.confirmed(host.candidate)
               : covers(host.ceilings, host.candidate, host.registered());
}

/// Returns the escrow book that the host writes next.
escrow_book plan_write(host_model& host)
{
    auto updated = host.book;
    adopt(updated, host.self(), "10.0.0.1:1", "z");
    close_ended(updated, host.self(), host.record);
    auto& entry = updated.hosts[host.name];
    if (can_register(host))
        entry.witness = host.candidate;
    escrow_policy policy;
    policy.hosts = 3;
    token_map_t returned;
    host.wallet.drawn = host.drawn();
    draw_tokens(updated, host.name, {{customer_name, prepaid}},
                {{customer_name, host.wallet}}, policy, policy.low_watermark,
                {}, returned);
    entry.used[customer_name] = host.wallet.used;
    return updated;
}

void poll_store(host_model& host, store_model& store, int write_outcome)
{
    if (host.revision == 0 || host.pending)
        read_store(host, store);
    const late_write write{host.revision, plan_write(host)};
    const auto& entry = write.book.hosts.find(host.name)->second;
    const auto drawn = entry.drawn.find(customer_name);
    host.pending = {host.revision,
                    drawn == entry.drawn.end() ? 0 : drawn->second,
                    entry.witness};
    if (write_outcome == 1) // no answer; the write may arrive late
        store.late_writes.push_back(write);
    if (write_outcome == 2) // written, but without an answer
        store.write(write);
    if (write_outcome != 0)
        return;
    store.write(write);
    host.pending.reset();
    read_store(host, store);
}

void spend(simulation& sim, host_model& host)
{
    host.wallet.largest = request_tokens;
    host.wallet.rate = 500;
    if (host.in_use() + request_tokens > std::min(host.drawn(), host.limit()))
        return;
    host.wallet.used += request_tokens;
    sim.spent[host.self()] += request_tokens;
}

/// Requests ceilings from the witnesses. The messages are delivered at once, or
/// stay in flight to be delivered late, twice or never.
void exchange_ceilings(simulation& sim, host_model& host, bool at_once)
{
    request_ceiling(host.ceilings, customer_name,
                    host.in_use() + 2 * request_tokens);
    for (const auto& witness : {host.registered(), host.candidate})
    {
        if (witness.none())
            continue;
        witness_message message{host.self(), witness,
                                unconfirmed(host.ceilings, witness), false};
        if (!at_once)
            sim.in_flight.push_back(message);
        for (auto& other : sim.hosts)
            if (at_once && other.self() == witness &&
                record_ceilings(other.record, message))
                apply_confirmation(host.ceilings, message);
    }
    if (host.registered().none() && !host.candidate.none() &&
        unconfirmed(host.ceilings, host.candidate).empty())
        host.limited = true;
}

/// Delivers one message; a kept copy may be delivered again later.
void deliver(simulation& sim, std::size_t choice, bool keep_copy)
{
    if (sim.in_flight.empty())
        return;
    const auto position = choice % sim.in_flight.size();
    auto message = sim.in_flight[position];
    if (!keep_copy)
        sim.in_flight.erase(sim.in_flight.begin() +
                            static_cast<std::ptrdiff_t>(position));
    for (auto& host : sim.replaced)
        if (message.confirmed && host.self() == message.owner)
            apply_confirmation(host.ceilings, message);
    for (auto& host : sim.hosts)
    {
        if (message.confirmed && host.self() == message.owner)
            apply_confirmation(host.ceilings, message);
        else if (!message.confirmed && host.self() == message.witness &&
                 record_ceilings(host.record, message))
        {
            message.confirmed = true;
            sim.in_flight.push_back(message);
            return;
        }
    }
}

void restart_host(host_model& host)
{
    const auto name = host.name;
    const auto boot = host.boot + 1;
    host = {};
    host.name = name;
    host.boot = boot;
}

void apply_action(simulation& sim, std::size_t index, int action, int variant)
{
    auto& host = sim.hosts[index];
    auto& other =
        sim.hosts[(index + 1 + static_cast<std::size_t>(variant) % 2) %
                  sim.hosts.size()];
    if (action <= 2)
        poll_store(host, sim.store, variant % 4);
    else if (action <= 5)
        spend(sim, host);
    else if (action <= 7 || action == 15)
        exchange_ceilings(sim, host, variant < 5);
    else if (action <= 10)
        deliver(sim, static_cast<std::size_t>(variant), variant == 7);
    else if (action == 11 && !sim.store.late_writes.empty())
    {
        const auto delayed = sim.store.late_writes.back();
        sim.store.late_writes.pop_back();
        sim.store.write(delayed);
    }
    else if (action == 12 && variant < 3)
    {
        if (variant == 0)
            sim.replaced.push_back(host);
        restart_host(host);
    }
    else if (action == 14 && !sim.replaced.empty())
    {
        exchange_ceilings(sim, sim.replaced.back(), true);
        spend(sim, sim.replaced.back());
    }
    else if (action == 13 && !host.pending && host.registered() != other.self())
    {
        host.candidate = other.self();
        host.limited = false;
    }
}

} // namespace

TEST_CASE("no interleaving with witnesses spends more than the budget",
          "[escrow]")
{
    const bool passed = rc::check(
        "prepaid bounds what all hosts spend",
        []
        {
            simulation sim;
            // The nominal size from the first case on: ranges scale with it.
            const auto steps = *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                    400, rc::gen::tuple(rc::gen::inRange(0, 3),
                                        rc::gen::inRange(0, 16),
                                        rc::gen::inRange(0, 8))));
            for (const auto& [index, action, variant] : steps)
            {
                apply_action(sim, static_cast<std::size_t>(index), action,
                             variant);
                RC_ASSERT(spent_by_all(sim) <= prepaid);
                RC_ASSERT(spent_by_closed(sim) <=
                          sim.store.book.closed[customer_name]);
            }
        });
    CHECK(passed);
}

TEST_CASE("tokens above a dead host's confirmed ceiling are free", "[escrow]")
{
    escrow_book book;
    const process_id dead{"a", "1"};
    const process_id witness{"b", "1"};
    adopt(book, dead, "10.0.0.1:1", "z");
    adopt(book, witness, "10.0.0.2:1", "z");
    book.hosts["a"].drawn[customer_name] = 4000;
    book.hosts["a"].used[customer_name] = 1000;
    book.hosts["a"].witness = witness;
    witness_record record;
    REQUIRE(record_ceilings(record,
                            {dead, witness, {{customer_name, 1500}}, false}));
    adopt(book, {"a", "2"}, "10.0.0.1:1", "z");
    CHECK(undrawn(book, customer_name, prepaid) == 6000);

    SECTION("once its witness has closed it; no ceiling is confirmed later")
    {
        CHECK(close_ended(book, witness, record));
        CHECK(undrawn(book, customer_name, prepaid) == 8500);
        CHECK(known_used(book, customer_name) == 1000);
        CHECK(book.ended.empty());
        CHECK_FALSE(record_ceilings(
            record, {dead, witness, {{customer_name, 2000}}, false}));
    }
    SECTION("never, if the witness has ended as well")
    {
        adopt(book, {"b", "2"}, "10.0.0.2:1", "z");
        witness_record empty;
        CHECK(close_ended(book, {"b", "2"}, empty));
        CHECK(undrawn(book, customer_name, prepaid) == 6000);
        CHECK(book.ended.empty());
    }
    SECTION("not by another host")
    {
        witness_record other;
        CHECK_FALSE(close_ended(book, {"c", "1"}, other));
        CHECK(book.ended.size() == 1);
    }
}

TEST_CASE("a write tells which holdings it closed, why, and at how much",
          "[escrow]")
{
    escrow_book book;
    const process_id witness{"b", "1"};
    adopt(book, {"a", "1"}, "10.0.0.1:1", "z");
    adopt(book, witness, "10.0.0.2:1", "z");
    book.hosts["a"].drawn[customer_name] = 4000;
    book.hosts["a"].used[customer_name] = 1000;
    book.hosts["a"].witness = witness;
    const auto running = book;
    adopt(book, {"a", "2"}, "10.0.0.1:1", "z");
    CHECK(find_closed(running, book).holdings.empty());
    const auto ended = book;

    SECTION("by its witness")
    {
        REQUIRE(close_ended(book, witness,
                            {{{"a", "1"}, {{customer_name, 1500}}}}));
        const auto closed = find_closed(ended, book);
        REQUIRE(closed.holdings.size() == 1);
        CHECK(closed.holdings[0].holding.owner == process_id{"a", "1"});
        CHECK(closed.holdings[0].reason == closing_reason::confirmed);
        CHECK(closed.totals.at(customer_name).drawn == 1500);
        CHECK(closed.totals.at(customer_name).used == 1000);
    }
    SECTION("in full, as its witness has ended")
    {
        adopt(book, {"b", "2"}, "10.0.0.2:1", "z");
        witness_record empty;
        REQUIRE(close_ended(book, {"b", "2"}, empty));
        const auto closed = find_closed(ended, book);
        REQUIRE(closed.holdings.size() == 2);
        CHECK(closed.holdings[0].reason == closing_reason::witness_ended);
        CHECK(closed.holdings[1].holding.owner == witness);
        CHECK(closed.holdings[1].reason == closing_reason::no_witness);
        CHECK(closed.totals.at(customer_name).drawn == 4000);
        CHECK(closed.totals.at(customer_name).used == 1000);
    }
}
