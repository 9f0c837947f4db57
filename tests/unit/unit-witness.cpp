// Witnesses: what they confirmed bounds what a dead host may have spent, over
// kills, lost, late and repeated messages, and writes without an answer.

#include <algorithm> // any_of, min
#include <cstdint>   // uint64_t
#include <limits>    // numeric_limits
#include <map>       // map
#include <optional>  // optional
#include <string>    // string, to_string
#include <vector>    // vector

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <rhubarbgrade/detail/escrow/escrow.hpp> // escrow_book

using namespace rhubarbgrade;

namespace
{

constexpr token_count_t prepaid = 10000;
constexpr token_count_t bound = 300;
const std::string payer_name = "clerks";

struct late_write
{
    std::uint64_t revision = 0;
    escrow_book book;
};

struct store_model
{
    escrow_book book;
    std::uint64_t revision = 1;
    std::vector<late_write> late;

    bool write(const late_write& wanted)
    {
        if (wanted.revision != revision)
            return false;
        book = decode_book(encode_book(wanted.book)).value();
        ++revision;
        return true;
    }
};

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
    witness_bond bond;
    witness_memory memory;
    process_id candidate;
    bool limited = false;

    process_id self() const
    {
        return {name, std::to_string(boot)};
    }

    const escrow_holding* holding() const
    {
        const auto mine = book.hosts.find(name);
        const bool own = mine != book.hosts.end() &&
                         mine->second.incarnation == self().incarnation;
        return own ? &mine->second : nullptr;
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
        return witness.none() ? std::numeric_limits<token_count_t>::max()
                              : confirmed_ceiling(bond, witness, payer_name);
    }

    token_count_t limit() const
    {
        auto least = confirmed(registered());
        if (pending)
            least = std::min(least, confirmed(pending->witness));
        if (limited)
            least = std::min(least, confirmed(candidate));
        return least;
    }

    token_count_t drawn() const
    {
        const auto* const mine = holding();
        if (mine == nullptr || !mine->drawn.contains(payer_name))
            return 0;
        const auto known = mine->drawn.find(payer_name)->second;
        return pending ? std::min(known, pending->drawn) : known;
    }
};

struct world
{
    store_model store;
    std::vector<host_model> hosts{{"a"}, {"b"}, {"c"}};
    std::vector<host_model> replaced; ///< still run, unknown to the store
    std::vector<witness_message> flying;
    std::map<process_id, token_count_t> spent;
};

token_count_t spent_by_all(const world& all)
{
    token_count_t sum = 0;
    for (const auto& [owner, tokens] : all.spent)
        sum += tokens;
    return sum;
}

/// What the ended processes have spent whose holdings are closed.
token_count_t spent_by_closed(const world& all)
{
    token_count_t sum = 0;
    for (const auto& [owner, tokens] : all.spent)
    {
        const auto& book = all.store.book;
        const auto now = book.hosts.find(owner.host);
        const bool open = (now != book.hosts.end() &&
                           now->second.incarnation == owner.incarnation) ||
                          std::any_of(book.ended.begin(), book.ended.end(),
                                      [&owner = owner](const auto& each)
                                      {
                                          return each.owner == owner;
                                      });
        sum += open ? 0 : tokens;
    }
    return sum;
}

void read(host_model& host, const store_model& store)
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

bool ready(const host_model& host)
{
    if (host.candidate.none() || host.pending)
        return false;
    return host.registered().none()
               ? host.limited && host.in_use() <= host.confirmed(host.candidate)
               : covers(host.bond, host.candidate, host.registered());
}

escrow_book plan(host_model& host)
{
    auto wanted = host.book;
    adopt(wanted, host.self(), "10.0.0.1:1", "z");
    close_ended(wanted, host.self(), host.memory);
    auto& mine = wanted.hosts[host.name];
    if (ready(host))
        mine.witness = host.candidate;
    escrow_policy policy;
    policy.hosts = 3;
    token_map_t back;
    host.wallet.drawn = host.drawn();
    draw_tokens(wanted, host.name, {{payer_name, prepaid}},
                {{payer_name, host.wallet}}, policy, policy.low_part, {}, back);
    mine.used[payer_name] = host.wallet.used;
    return wanted;
}

void look(host_model& host, store_model& store, int fate)
{
    if (host.revision == 0 || host.pending)
        read(host, store);
    const late_write write{host.revision, plan(host)};
    const auto& mine = write.book.hosts.find(host.name)->second;
    const auto drawn = mine.drawn.find(payer_name);
    host.pending = {host.revision,
                    drawn == mine.drawn.end() ? 0 : drawn->second,
                    mine.witness};
    if (fate == 1) // no answer, and it may come late
        store.late.push_back(write);
    if (fate == 2) // done, without an answer
        store.write(write);
    if (fate != 0)
        return;
    store.write(write);
    host.pending.reset();
    read(host, store);
}

void spend(world& all, host_model& host)
{
    host.wallet.largest = bound;
    host.wallet.rate = 500;
    if (host.in_use() + bound > std::min(host.drawn(), host.limit()))
        return;
    host.wallet.used += bound;
    all.spent[host.self()] += bound;
}

/// Most questions and answers arrive at once; the others fly about, to be
/// delivered late, twice or never.
void ask(world& all, host_model& host, bool at_once)
{
    want_ceiling(host.bond, payer_name, host.in_use() + 2 * bound);
    for (const auto& witness : {host.registered(), host.candidate})
    {
        if (witness.none())
            continue;
        witness_message message{host.self(), witness,
                                unconfirmed(host.bond, witness), false};
        if (!at_once)
            all.flying.push_back(message);
        for (auto& other : all.hosts)
            if (at_once && other.self() == witness &&
                remember(other.memory, message))
                take_confirmation(host.bond, message);
    }
    if (host.registered().none() && !host.candidate.none() &&
        unconfirmed(host.bond, host.candidate).empty())
        host.limited = true;
}

/// Delivers one message; it may come again later.
void deliver(world& all, std::size_t pick, bool again)
{
    if (all.flying.empty())
        return;
    const auto at = pick % all.flying.size();
    auto message = all.flying[at];
    if (!again)
        all.flying.erase(all.flying.begin() + static_cast<std::ptrdiff_t>(at));
    for (auto& host : all.replaced)
        if (message.confirmed && host.self() == message.owner)
            take_confirmation(host.bond, message);
    for (auto& host : all.hosts)
    {
        if (message.confirmed && host.self() == message.owner)
            take_confirmation(host.bond, message);
        else if (!message.confirmed && host.self() == message.witness &&
                 remember(host.memory, message))
        {
            message.confirmed = true;
            all.flying.push_back(message);
            return;
        }
    }
}

void kill(host_model& host)
{
    const auto name = host.name;
    const auto boot = host.boot + 1;
    host = {};
    host.name = name;
    host.boot = boot;
}

void step(world& all, std::size_t index, int action, int fate)
{
    auto& host = all.hosts[index];
    auto& other = all.hosts[(index + 1 + static_cast<std::size_t>(fate) % 2) %
                            all.hosts.size()];
    if (action <= 2)
        look(host, all.store, fate % 4);
    else if (action <= 5)
        spend(all, host);
    else if (action <= 7 || action == 15)
        ask(all, host, fate < 5);
    else if (action <= 10)
        deliver(all, static_cast<std::size_t>(fate), fate == 7);
    else if (action == 11 && !all.store.late.empty())
    {
        const auto late = all.store.late.back();
        all.store.late.pop_back();
        all.store.write(late);
    }
    else if (action == 12 && fate < 3)
    {
        if (fate == 0)
            all.replaced.push_back(host);
        kill(host);
    }
    else if (action == 14 && !all.replaced.empty())
    {
        ask(all, all.replaced.back(), true);
        spend(all, all.replaced.back());
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
    const bool held = rc::check(
        "prepaid bounds what all hosts spend",
        []
        {
            world all;
            // At its full size from the start, since ranges grow with it.
            const auto steps = *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                    400, rc::gen::tuple(rc::gen::inRange(0, 3),
                                        rc::gen::inRange(0, 16),
                                        rc::gen::inRange(0, 8))));
            for (const auto& [index, action, fate] : steps)
            {
                step(all, static_cast<std::size_t>(index), action, fate);
                RC_ASSERT(spent_by_all(all) <= prepaid);
                RC_ASSERT(spent_by_closed(all) <=
                          all.store.book.closed[payer_name]);
            }
        });
    CHECK(held);
}

TEST_CASE("what a dead host had not been confirmed is free again", "[escrow]")
{
    escrow_book book;
    const process_id dead{"a", "1"};
    const process_id witness{"b", "1"};
    adopt(book, dead, "10.0.0.1:1", "z");
    adopt(book, witness, "10.0.0.2:1", "z");
    book.hosts["a"].drawn[payer_name] = 4000;
    book.hosts["a"].used[payer_name] = 1000;
    book.hosts["a"].witness = witness;
    witness_memory memory;
    REQUIRE(remember(memory, {dead, witness, {{payer_name, 1500}}, false}));
    adopt(book, {"a", "2"}, "10.0.0.1:1", "z");
    CHECK(undrawn(book, payer_name, prepaid) == 6000);

    SECTION("once its witness has closed it, which confirms no more")
    {
        CHECK(close_ended(book, witness, memory));
        CHECK(undrawn(book, payer_name, prepaid) == 8500);
        CHECK(known_used(book, payer_name) == 1000);
        CHECK(book.ended.empty());
        CHECK_FALSE(
            remember(memory, {dead, witness, {{payer_name, 2000}}, false}));
    }
    SECTION("never, if the witness has ended as well")
    {
        adopt(book, {"b", "2"}, "10.0.0.2:1", "z");
        witness_memory empty;
        CHECK(close_ended(book, {"b", "2"}, empty));
        CHECK(undrawn(book, payer_name, prepaid) == 6000);
        CHECK(book.ended.empty());
    }
    SECTION("not by anybody else")
    {
        witness_memory other;
        CHECK_FALSE(close_ended(book, {"c", "1"}, other));
        CHECK(book.ended.size() == 1);
    }
}
