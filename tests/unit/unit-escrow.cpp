// Escrow of prepaid budgets: draws, returns, and that no interleaving of
// hosts, lost answers, late writes and kills hands out more than the budget.

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string, to_string
#include <vector>   // vector

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <rhubarbgrade/detail/escrow/escrow.hpp> // escrow_book

using namespace rhubarbgrade;

namespace
{

constexpr token_count_t prepaid = 10000;
const std::string payer_name = "clerks";

/// The store's object with its revision; writes that got no answer may come
/// later, while the revision that they name still stands.
struct store_model
{
    escrow_book book;
    std::uint64_t revision = 1;

    struct late_write
    {
        std::uint64_t revision = 0;
        escrow_book book;
    };

    std::vector<late_write> late;

    bool write(std::uint64_t expected, const escrow_book& wanted)
    {
        if (expected != revision)
            return false;
        book = decode_book(encode_book(wanted)).value();
        ++revision;
        return true;
    }
};

struct host_model
{
    std::string name;
    int boot = 0;
    escrow_book book;
    std::uint64_t revision = 0;
    wallet_state wallet;
    bool unsure = false; ///< the last write got no answer

    std::string incarnation() const
    {
        return name + "." + std::to_string(boot);
    }
};

void read(host_model& host, const store_model& store)
{
    host.book = store.book;
    host.revision = store.revision;
    const auto mine = host.book.hosts.find(host.name);
    const bool own = mine != host.book.hosts.end() &&
                     mine->second.incarnation == host.incarnation();
    host.wallet.drawn = own ? mine->second.drawn[payer_name] : 0;
}

/// One look of a host: adopt, draw, and what comes of the write.
void look(host_model& host, store_model& store, int fate)
{
    if (host.revision == 0 || host.unsure)
        read(host, store);
    host.unsure = false;
    auto wanted = host.book;
    adopt(wanted, {host.name, host.incarnation()}, "10.0.0.1:1", "z");
    auto& mine = wanted.hosts[host.name];
    escrow_policy policy;
    policy.hosts = 3;
    token_map_t back;
    for (const auto part : {policy.low_part, policy.refill_part})
        draw_tokens(wanted, host.name, {{payer_name, prepaid}},
                    {{payer_name, host.wallet}}, policy, part, {}, back);
    mine.used[payer_name] = host.wallet.used;
    if (fate == 1) // lost before the store
        return;
    if (fate == 2) // its answer is lost, and it may be late
    {
        store.late.push_back({host.revision, wanted});
        host.unsure = true;
        return;
    }
    if (store.write(host.revision, wanted) && fate == 3)
    {
        host.unsure = true; // done, but the answer is lost
        return;
    }
    read(host, store);
}

token_count_t spent_by_all(const std::vector<token_count_t>& spent)
{
    token_count_t sum = 0;
    for (const auto each : spent)
        sum += each;
    return sum;
}

} // namespace

TEST_CASE("no interleaving of hosts spends more than the budget", "[escrow]")
{
    const bool held = rc::check(
        "prepaid bounds what all hosts spend",
        []
        {
            store_model store;
            std::vector<host_model> hosts{{"a"}, {"b"}, {"c"}};
            std::vector<token_count_t> spent(hosts.size(), 0);
            // At its full size from the start, since ranges grow with it.
            const auto steps = *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                    120, rc::gen::tuple(rc::gen::inRange(0, 3),
                                        rc::gen::inRange(0, 8),
                                        rc::gen::inRange(0, 4))));
            for (const auto& [index, action, fate] : steps)
            {
                auto& host = hosts[static_cast<std::size_t>(index)];
                auto& wallet = host.wallet;
                const auto in_use = wallet.used + wallet.reserved;
                const token_count_t bound = 300;
                if (action <= 2)
                    look(host, store, fate);
                else if (action <= 5)
                {
                    wallet.largest = bound;
                    wallet.rate = 500;
                    if (in_use + bound <= wallet.drawn)
                    {
                        wallet.used += bound;
                        spent[static_cast<std::size_t>(index)] += bound;
                    }
                }
                else if (action == 6 && !store.late.empty())
                {
                    const auto late = store.late.back();
                    store.late.pop_back();
                    store.write(late.revision, late.book);
                }
                else if (action == 7) // killed, and back as a new process
                {
                    ++host.boot;
                    host.wallet = {};
                    host.revision = 0;
                }
                RC_ASSERT(spent_by_all(spent) <= prepaid);
            }
        });
    CHECK(held);
}

TEST_CASE("what an ended incarnation drew counts as spent", "[escrow]")
{
    escrow_book book;
    REQUIRE(adopt(book, {"a", "a.1"}, "10.0.0.1:1", "z"));
    book.hosts["a"].drawn[payer_name] = 4000;
    book.hosts["a"].used[payer_name] = 1500;
    REQUIRE_FALSE(adopt(book, {"a", "a.1"}, "10.0.0.1:1", "z"));
    REQUIRE(adopt(book, {"a", "a.2"}, "10.0.0.1:1", "z"));
    CHECK(undrawn(book, payer_name, prepaid) == 6000);
    CHECK(known_used(book, payer_name) == 1500);
    CHECK(book.hosts["a"].drawn.empty());
}

TEST_CASE("a request is called too large only when it can't fit", "[escrow]")
{
    escrow_book book;
    book.closed[payer_name] = 9000; // stranded, for all that is known
    book.closed_used[payer_name] = 5000;
    CHECK_FALSE(certainly_exhausted(book, payer_name, prepaid, 4000));
    CHECK(certainly_exhausted(book, payer_name, prepaid, 5001));
}

TEST_CASE("hosts hold less as a budget runs out", "[escrow]")
{
    escrow_policy policy;
    policy.hosts = 7;
    wallet_state state;
    state.rate = 1000;
    CHECK(target_seconds(state, 1000000, policy) == policy.most_s);
    CHECK(target_seconds(state, 7000, policy) == policy.least_s);
    const auto middle = target_seconds(state, 140000, policy);
    CHECK(middle > policy.least_s);
    CHECK(middle < policy.most_s);
}

TEST_CASE("an idle host gives back and keeps what is in use", "[escrow]")
{
    escrow_policy policy;
    policy.hosts = 7;
    wallet_state state;
    state.drawn = 5000;
    state.used = 100;
    state.reserved = 200;
    state.largest = 50;
    const auto next =
        desired_draw(state, 5000, prepaid, policy, policy.low_part);
    CHECK(next < state.drawn);
    CHECK(next >= state.used + state.reserved);
}

TEST_CASE("two draws in one write take no more than is left", "[escrow]")
{
    escrow_book book;
    adopt(book, {"a", "a.1"}, "10.0.0.1:1", "z");
    book.hosts["b"].drawn[payer_name] = 7000;
    wallet_state state;
    state.rate = 100000;
    state.waiting = 2000;
    const escrow_policy policy;
    token_map_t back;
    for (int i = 0; i < 5; ++i)
        draw_tokens(book, "a", {{payer_name, prepaid}}, {{payer_name, state}},
                    policy, policy.refill_part, {}, back);
    CHECK(book.hosts["a"].drawn[payer_name] <= 3000);
}

TEST_CASE("a draw takes no more than is left", "[escrow]")
{
    wallet_state state;
    state.rate = 100000;
    state.waiting = 700;
    const escrow_policy policy;
    CHECK(desired_draw(state, 600, prepaid, policy, policy.low_part) == 600);
    CHECK(desired_draw(state, 0, prepaid, policy, policy.low_part) == 0);
}

TEST_CASE("the book survives its encoding", "[escrow]")
{
    escrow_book book;
    adopt(book, {"a", "a.1"}, "10.0.0.1:1", "z");
    book.hosts["a"].drawn[payer_name] = 7;
    book.closed["other"] = 9;
    const auto read = decode_book(encode_book(book));
    REQUIRE(read);
    CHECK(encode_book(*read) == encode_book(book));
    CHECK_FALSE(decode_book("{\"hosts\":3}"));
    CHECK_FALSE(decode_book("no JSON"));
}
