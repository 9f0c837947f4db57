#include <rhubarbgrade/detail/escrow/closed_holdings.hpp>

#include <algorithm> // any_of
#include <utility>   // move

namespace rhubarbgrade
{

namespace
{

closing_reason reason_of(const ended_holding& holding, const escrow_book& after)
{
    if (holding.witness.none())
        return closing_reason::no_witness;
    const auto witness = after.hosts.find(holding.witness.host);
    return witness != after.hosts.end() &&
                   witness->second.incarnation == holding.witness.incarnation
               ? closing_reason::confirmed
               : closing_reason::witness_ended;
}

bool is_ended(const escrow_book& book, const process_id& owner)
{
    return std::any_of(book.ended.begin(), book.ended.end(),
                       [&](const auto& each)
                       {
                           return each.owner == owner;
                       });
}

token_count_t difference(const token_map_t& before, std::string_view customer,
                         token_count_t after)
{
    const auto found = before.find(customer);
    return found == before.end() ? after : after - found->second;
}

} // namespace

closed_holdings find_closed(const escrow_book& before, const escrow_book& after)
{
    closed_holdings closed;
    const auto add = [&](ended_holding holding)
    {
        if (is_ended(after, holding.owner))
            return;
        const auto reason = reason_of(holding, after);
        closed.holdings.push_back({std::move(holding), reason});
    };
    for (const auto& each : before.ended)
        add(each);
    for (const auto& [host, holding] : before.hosts)
    {
        const auto now = after.hosts.find(host);
        if (now == after.hosts.end() ||
            now->second.incarnation == holding.incarnation)
            continue;
        add({{host, holding.incarnation},
             holding.witness,
             holding.drawn,
             holding.used});
    }
    for (const auto& [customer, tokens] : after.closed)
        if (const auto added = difference(before.closed, customer, tokens);
            added != 0)
            closed.totals[customer].drawn = added;
    for (const auto& [customer, tokens] : after.closed_used)
        if (const auto added = difference(before.closed_used, customer, tokens);
            added != 0)
            closed.totals[customer].used = added;
    return closed;
}

const char* name_of(closing_reason reason)
{
    switch (reason)
    {
    case closing_reason::confirmed:
        return "confirmed";
    case closing_reason::witness_ended:
        return "witness_ended";
    case closing_reason::no_witness:
        break;
    }
    return "no_witness";
}

} // namespace rhubarbgrade
