// Random interleavings of draws, spending, transfers, crashes, freezes, lost
// answers and top-ups, run through the decisions alone.

#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <rhubarbgrade/rhubarbgrade.hpp>

using namespace rhubarbgrade;

namespace
{

constexpr int hosts = 3;
const std::string payer = "c";

struct host_model
{
    ledger book;
    ledger replica; ///< held by the next host
    bool frozen = false;
    bool closed = false;
    std::vector<std::string> open; ///< requests in flight
    std::vector<operation> unsent; ///< applied here, not at the replica
};

struct world
{
    budget_shard shard;
    token_count_t prepaid = 1000;
    std::vector<host_model> fleet{hosts};
    std::map<std::string, token_count_t> ran; ///< by request, the engine's word
    std::map<std::string, int> billed;
    token_count_t spent = 0;
    int requests = 0;
    std::uint64_t incarnations = 0;

    world()
    {
        for (int index = 0; index < hosts; ++index)
            restart(index);
    }

    void restart(int index)
    {
        auto& host = fleet[index];
        host = host_model{};
        host.book.id = {"h" + std::to_string(index), ++incarnations};
        host.replica.id = host.book.id;
    }

    void propose(host_model& host, const operation& step)
    {
        if (apply_operation(host.book, step))
            host.unsent.push_back(step);
    }

    bool replicate(host_model& host)
    {
        if (host.closed)
            return false;
        for (const auto& step : host.unsent)
            RC_ASSERT(apply_operation(host.replica, step).has_value());
        host.unsent.clear();
        return true;
    }

    void draw(host_model& host, token_count_t wanted, bool answer_lost)
    {
        const auto entered = draw_tokens(
            shard, host.book.id, "z",
            {{payer, static_cast<std::int64_t>(wanted)}}, {{payer, prepaid}});
        // A lost answer is found in the writer's row when it is next read.
        const auto& found =
            answer_lost ? shard.writers.at(to_string(host.book.id)).drawn
                        : entered;
        if (found.contains(payer))
            propose(host,
                    credit{payer, static_cast<token_count_t>(found.at(payer))});
    }

    void begin(host_model& host, token_count_t bound)
    {
        const auto request = "r" + std::to_string(++requests);
        const auto before = host.book.reservations.size();
        propose(host, reserve{request, payer, bound, "e", {}});
        if (host.book.reservations.size() == before)
            return;
        // Dispatched only once the second host has it.
        if (replicate(host))
        {
            host.open.push_back(request);
            ran[request] = bound / 2;
        }
    }

    void end(host_model& host)
    {
        if (host.open.empty())
            return;
        const auto request = host.open.back();
        host.open.pop_back();
        propose(host, settle{request, ran[request]});
        replicate(host);
    }

    void give(host_model& from, host_model& to, token_count_t tokens, bool lost)
    {
        if (!apply_operation(from.book, debit{payer, tokens}))
            return;
        from.unsent.push_back(debit{payer, tokens});
        if (replicate(from) && !lost)
            propose(to, credit{payer, tokens});
    }

    /// The next host closes a silent one and takes over what it knows of it.
    void close(int index)
    {
        auto& host = fleet[index];
        auto& next = fleet[(index + 1) % hosts];
        if (host.closed || next.closed || next.frozen)
            return;
        host.closed = true;
        for (const auto& [customer, held] : host.replica.accounts)
            propose(next, credit{customer, held.shared});
        for (const auto& [request, held] : host.replica.reservations)
        {
            propose(next,
                    adopt_reservation{
                        request, payer, held.tokens, "e", {}, host.book.id});
            propose(next, settle{request, ran[request]});
        }
        for (const auto& [number, owed] : host.replica.bills)
            propose(next,
                    adopt_bill{owed.request, payer, owed.tokens, "e", {}, 0});
        replicate(next);
    }

    void store(host_model& host)
    {
        if (!replicate(host))
            return;
        for (const auto& [number, owed] : host.book.bills)
        {
            billed[owed.request]++;
            spent += owed.tokens;
        }
        propose(host, store_bills{host.book.batches + 1, host.book.last_bill});
        replicate(host);
    }

    void check() const
    {
        const auto line = shard.customers.find(payer);
        if (line != shard.customers.end())
            RC_ASSERT(granted_total(line->second) <= prepaid);
        RC_ASSERT(spent <= prepaid);
        for (const auto& [request, count] : billed)
            RC_ASSERT(count == 1);
    }
};

void step(world& all, int action, int index, int amount, bool lost)
{
    auto& host = all.fleet[index];
    if (host.frozen && action != 5 && action != 6)
        return;
    if (host.closed && action != 7)
        return;
    const auto tokens = static_cast<token_count_t>(amount);
    switch (action)
    {
    case 0:
        return all.draw(host, tokens, lost);
    case 1:
        return all.begin(host, tokens);
    case 2:
        return all.end(host);
    case 3:
        return all.give(host, all.fleet[(index + 1) % hosts], tokens, lost);
    case 4:
        return all.store(host);
    case 5:
        host.frozen = !host.frozen;
        return;
    case 6:
        return all.close(index);
    case 7:
        if (host.closed)
            all.restart(index);
        return;
    default:
        all.prepaid += tokens;
    }
}

} // namespace

TEST_CASE("no interleaving overspends or bills a request twice")
{
    const bool held = rc::check(
        "budget",
        []
        {
            world all;
            const auto length = *rc::gen::inRange(1, 300);
            for (int count = 0; count < length; ++count)
            {
                step(all, *rc::gen::inRange(0, 9), *rc::gen::inRange(0, hosts),
                     *rc::gen::inRange(1, 200), *rc::gen::inRange(0, 4) == 0);
                all.check();
            }
        });
    CHECK(held);
}
