// Uses the library without its daemon: two hosts draw on a prepaid budget, and
// one of them reserves and settles the tokens of a request.

#include <iostream> // cout

#include <rhubarbgrade/rhubarbgrade.hpp> // apply_operation, draw_tokens

using namespace rhubarbgrade;

int main()
{
    // Each host wants 700 tokens of a budget of 1,000 that the platform stores.
    budget_shard shard;
    ledger athens;
    ledger piraeus;
    athens.id = {"athens1", 1};
    piraeus.id = {"piraeus1", 1};
    const auto draw_credit = [&shard](ledger& host_ledger, const char* zone)
    {
        const auto drawn = draw_tokens(shard, host_ledger.id, zone,
                                       {{"counter", 700}}, {{"counter", 1000}});
        const auto tokens = static_cast<token_count_t>(drawn.at("counter"));
        std::cout << to_string(host_ledger.id) << " drew " << tokens << '\n';
        return apply_operation(host_ledger, credit{"counter", tokens});
    };
    bool succeeded = draw_credit(athens, "athens").has_value();
    succeeded &= draw_credit(piraeus, "piraeus").has_value();

    // A request reserves the most tokens that it may use and is settled once,
    // with the tokens that it used.
    succeeded &=
        apply_operation(athens, reserve{"r1", "counter", 500, "gpu1", {}})
            .has_value();
    succeeded &= apply_operation(athens, settle{"r1", 120}).has_value();
    const auto second_settle = apply_operation(athens, settle{"r1", 120});
    std::cout << "settled a second time: "
              << (second_settle ? "yes" : second_settle.error().message())
              << '\n'
              << "tokens left at athens1: "
              << athens.accounts.at("counter").shared << '\n';
    return succeeded && !second_settle ? 0 : 1;
}
