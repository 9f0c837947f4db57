// The library without its daemon: a budget's decisions, replayed by hand.

#include <iostream> // cout

#include <rhubarbgrade/rhubarbgrade.hpp> // apply_operation, draw_tokens

using namespace rhubarbgrade;

int main()
{
    // Two hosts draw on a budget of 1,000 tokens that the platform keeps.
    budget_shard shard;
    ledger first;
    ledger second;
    first.id = {"athens1", 1};
    second.id = {"piraeus1", 1};
    const auto draw = [&shard](ledger& book, const char* zone)
    {
        const auto got = draw_tokens(shard, book.id, zone, {{"counter", 700}},
                                     {{"counter", 1000}});
        const auto tokens = static_cast<token_count_t>(got.at("counter"));
        std::cout << to_string(book.id) << " drew " << tokens << '\n';
        return apply_operation(book, credit{"counter", tokens});
    };
    bool good = draw(first, "athens").has_value();
    good &= draw(second, "piraeus").has_value();

    // A request reserves its upper bound, runs, and is settled once.
    good &= apply_operation(first, reserve{"r1", "counter", 500, "gpu1", {}})
                .has_value();
    good &= apply_operation(first, settle{"r1", 120}).has_value();
    const auto again = apply_operation(first, settle{"r1", 120});
    std::cout << "settled again: " << (again ? "yes" : again.error().message())
              << '\n'
              << "left with athens1: " << first.accounts.at("counter").shared
              << '\n';
    return good && !again ? 0 : 1;
}
