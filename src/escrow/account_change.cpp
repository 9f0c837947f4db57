#include <rhubarbgrade/detail/escrow/account_change.hpp>

#include <algorithm> // max, min
#include <string>    // string

namespace rhubarbgrade
{

namespace
{

/// Sets the total drawn of one customer, as far as the budget covers it.
void set_drawn(escrow_holding& holding, budget_total& total,
               const std::string& customer, token_count_t requested,
               token_count_t prepaid)
{
    auto& drawn = holding.drawn[customer];
    const auto undrawn = prepaid > total.drawn ? prepaid - total.drawn : 0;
    const auto allowed = std::min(requested, drawn + undrawn);
    // A budget that was reduced lowers no holding: its tokens may be spent.
    const auto next = requested > drawn ? std::max(allowed, drawn) : requested;
    total.drawn = total.drawn - drawn + next;
    drawn = next;
}

} // namespace

change_result apply_change(escrow_book& book, budget_totals_t& totals,
                           const token_map_t& budgets,
                           const account_change& change)
{
    const auto found = book.hosts.find(change.owner.host);
    const auto incarnation =
        found == book.hosts.end() ? std::string() : found->second.incarnation;
    const bool is_own = incarnation == change.owner.incarnation;
    if (is_own && found->second.sequence >= change.sequence)
        return change_result::known;
    if (!is_own && incarnation != change.replaces)
        return change_result::refused;
    const bool holdings_ended =
        adopt(book, change.owner, change.address, change.zone);
    const bool closes =
        change.declares == 0 && close_ended(book, change.owner, change.closed);
    if (closes || holdings_ended)
        totals = totals_of(book);
    auto& holding = book.hosts[change.owner.host];
    for (const auto& [customer, tokens] : change.drawn)
        if (const auto prepaid = budgets.find(customer);
            prepaid != budgets.end())
            set_drawn(holding, totals[customer], customer, tokens,
                      prepaid->second);
    for (const auto& [customer, tokens] : change.used)
    {
        auto& used = holding.used[customer];
        totals[customer].used += tokens > used ? tokens - used : 0;
        used = std::max(used, tokens);
    }
    if (!change.witness.none())
        holding.witness = change.witness;
    holding.capacity = change.capacity;
    holding.sequence = change.sequence;
    return change_result::applied;
}

account_answer make_answer(const escrow_book& book,
                           const budget_totals_t& totals,
                           const account_change& change, change_result result,
                           std::uint64_t revision)
{
    account_answer answer;
    answer.owner = change.owner;
    answer.sequence = change.sequence;
    answer.result = result;
    answer.era = book.era;
    answer.revision = revision;
    answer.hosts = book.hosts.size();
    const auto found = book.hosts.find(change.owner.host);
    if (found == book.hosts.end() ||
        found->second.incarnation != change.owner.incarnation)
    {
        // A successor may have taken the holding over in the same write.
        if (result != change_result::failed)
            answer.result = change_result::refused;
        return answer;
    }
    const auto& holding = found->second;
    answer.witness = holding.witness;
    for (const auto& [customer, tokens] : change.drawn)
    {
        if (const auto drawn = holding.drawn.find(customer);
            drawn != holding.drawn.end())
            answer.drawn.insert(*drawn);
        if (const auto total = totals.find(customer); total != totals.end())
            answer.totals.insert(*total);
    }
    return answer;
}

} // namespace rhubarbgrade
