// Property test of prepaid budgets without I/O: random interleavings of draws,
// requests, transfers, crashes, frozen hosts, lost answers and top-ups. Guards
// against granting or billing more tokens than were prepaid, and against
// billing a request twice when a host adopts the ledger of a silent one.

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

constexpr int host_count = 3;
const std::string customer_name = "c";

struct host_model
{
    ledger local_ledger;
    ledger replica; ///< replica of local_ledger on the next host
    bool frozen = false;
    bool closed = false;
    std::vector<std::string> in_flight;  ///< request ids
    std::vector<operation> unreplicated; ///< not yet applied to the replica
};

struct simulation
{
    budget_shard shard;
    token_count_t prepaid = 1000;
    std::vector<host_model> fleet{host_count};
    std::map<std::string, token_count_t>
        used_tokens; ///< by request, as the engine reports
    std::map<std::string, int> bill_counts;
    token_count_t billed_tokens = 0;
    int requests = 0;
    std::uint64_t incarnations = 0;

    simulation()
    {
        for (int index = 0; index < host_count; ++index)
            restart(index);
    }

    void restart(int index)
    {
        auto& host = fleet[index];
        host = host_model{};
        host.local_ledger.id = {"h" + std::to_string(index), ++incarnations};
        host.replica.id = host.local_ledger.id;
    }

    void apply_locally(host_model& host, const operation& op)
    {
        if (apply_operation(host.local_ledger, op))
            host.unreplicated.push_back(op);
    }

    bool replicate(host_model& host)
    {
        if (host.closed)
            return false;
        for (const auto& op : host.unreplicated)
            RC_ASSERT(apply_operation(host.replica, op).has_value());
        host.unreplicated.clear();
        return true;
    }

    void draw(host_model& host, token_count_t requested, bool answer_lost)
    {
        const auto answered =
            draw_tokens(shard, host.local_ledger.id, "z",
                        {{customer_name, static_cast<std::int64_t>(requested)}},
                        {{customer_name, prepaid}});
        // After a lost answer the drawn tokens are read from the writer's row.
        const auto& drawn_tokens =
            answer_lost
                ? shard.writers.at(to_string(host.local_ledger.id)).drawn
                : answered;
        if (drawn_tokens.contains(customer_name))
            apply_locally(host, credit{customer_name,
                                       static_cast<token_count_t>(
                                           drawn_tokens.at(customer_name))});
    }

    void start_request(host_model& host, token_count_t max_tokens)
    {
        const auto request = "r" + std::to_string(++requests);
        const auto count_before = host.local_ledger.reservations.size();
        apply_locally(host,
                      reserve{request, customer_name, max_tokens, "e", {}});
        if (host.local_ledger.reservations.size() == count_before)
            return;
        // Sent to an endpoint only once the replica has the reservation.
        if (replicate(host))
        {
            host.in_flight.push_back(request);
            used_tokens[request] = max_tokens / 2;
        }
    }

    void finish_request(host_model& host)
    {
        if (host.in_flight.empty())
            return;
        const auto request = host.in_flight.back();
        host.in_flight.pop_back();
        apply_locally(host, settle{request, used_tokens[request]});
        replicate(host);
    }

    void transfer(host_model& from, host_model& to, token_count_t tokens,
                  bool lost)
    {
        if (!apply_operation(from.local_ledger, debit{customer_name, tokens}))
            return;
        from.unreplicated.push_back(debit{customer_name, tokens});
        if (replicate(from) && !lost)
            apply_locally(to, credit{customer_name, tokens});
    }

    /// The next host closes the ledger of a silent host and adopts the tokens,
    /// reservations and bills of its replica.
    void close_host(int index)
    {
        auto& host = fleet[index];
        auto& next = fleet[(index + 1) % host_count];
        if (host.closed || next.closed || next.frozen)
            return;
        host.closed = true;
        for (const auto& [customer, account] : host.replica.accounts)
            apply_locally(next, credit{customer, account.shared});
        for (const auto& [request, reservation] : host.replica.reservations)
        {
            apply_locally(next, adopt_reservation{request,
                                                  customer_name,
                                                  reservation.tokens,
                                                  "e",
                                                  {},
                                                  host.local_ledger.id});
            apply_locally(next, settle{request, used_tokens[request]});
        }
        for (const auto& [number, unsettled_bill] : host.replica.bills)
            apply_locally(next, adopt_bill{unsettled_bill.request,
                                           customer_name,
                                           unsettled_bill.tokens,
                                           "e",
                                           {},
                                           0});
        replicate(next);
    }

    void write_bills(host_model& host)
    {
        if (!replicate(host))
            return;
        for (const auto& [number, unsettled_bill] : host.local_ledger.bills)
        {
            bill_counts[unsettled_bill.request]++;
            billed_tokens += unsettled_bill.tokens;
        }
        apply_locally(host, store_bills{host.local_ledger.batches + 1,
                                        host.local_ledger.last_bill});
        replicate(host);
    }

    void check_invariants() const
    {
        const auto customer_row = shard.customers.find(customer_name);
        if (customer_row != shard.customers.end())
            RC_ASSERT(granted_total(customer_row->second) <= prepaid);
        RC_ASSERT(billed_tokens <= prepaid);
        for (const auto& [request, count] : bill_counts)
            RC_ASSERT(count == 1);
    }
};

/// Applies a random action. A frozen host can only be thawed (5) or closed by
/// the next host (6), and a closed one can only restart (7).
void apply_action(simulation& sim, int action, int index, int amount, bool lost)
{
    auto& host = sim.fleet[index];
    if (host.frozen && action != 5 && action != 6)
        return;
    if (host.closed && action != 7)
        return;
    const auto tokens = static_cast<token_count_t>(amount);
    switch (action)
    {
    case 0:
        return sim.draw(host, tokens, lost);
    case 1:
        return sim.start_request(host, tokens);
    case 2:
        return sim.finish_request(host);
    case 3:
        return sim.transfer(host, sim.fleet[(index + 1) % host_count], tokens,
                            lost);
    case 4:
        return sim.write_bills(host);
    case 5:
        host.frozen = !host.frozen;
        return;
    case 6:
        return sim.close_host(index);
    case 7:
        if (host.closed)
            sim.restart(index);
        return;
    default:
        sim.prepaid += tokens;
    }
}

} // namespace

TEST_CASE("no interleaving overspends or bills a request twice")
{
    const bool passed =
        rc::check("budget",
                  []
                  {
                      simulation sim;
                      const auto length = *rc::gen::inRange(1, 300);
                      for (int count = 0; count < length; ++count)
                      {
                          apply_action(sim, *rc::gen::inRange(0, 9),
                                       *rc::gen::inRange(0, host_count),
                                       *rc::gen::inRange(1, 200),
                                       *rc::gen::inRange(0, 4) == 0);
                          sim.check_invariants();
                      }
                  });
    CHECK(passed);
}
