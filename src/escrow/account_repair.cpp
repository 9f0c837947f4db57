#include <rhubarbgrade/detail/escrow/account_repair.hpp>

#include <algorithm> // all_of, max, min
#include <string>    // string
#include <tuple>     // tie
#include <utility>   // move, pair

namespace rhubarbgrade
{

namespace
{

using version_t = std::pair<std::uint64_t, std::uint64_t>;

/// Era and revision of the account from which all that a repair has not
/// declared anew stems.
version_t base_of(const escrow_book& book, std::uint64_t revision)
{
    if (book.repair)
        return {book.repair->base_era, book.repair->base_revision};
    return {book.era, revision};
}

void raise_to(token_map_t& tokens, const token_map_t& minimum)
{
    for (const auto& [customer, value] : minimum)
        tokens[customer] = std::max(tokens[customer], value);
}

/// Replaces the holding of a host by a declared one; the holding of an earlier
/// process ends.
void enter(escrow_book& book, const std::string& host, escrow_holding declared)
{
    adopt(book, {host, declared.incarnation}, declared.address, declared.zone);
    book.hosts[host] = std::move(declared);
}

bool has_declared(const account_repair& repair, const process_id& process)
{
    const auto found = repair.declared.find(process.host);
    return found != repair.declared.end() &&
           found->second == process.incarnation;
}

/// What a process holds according to the account; null if it is not listed.
const token_map_t* find_drawn(const escrow_book& book, const process_id& owner)
{
    const auto current = book.hosts.find(owner.host);
    if (current != book.hosts.end() &&
        current->second.incarnation == owner.incarnation)
        return &current->second.drawn;
    for (const auto& each : book.ended)
        if (each.owner == owner)
            return &each.drawn;
    return nullptr;
}

token_count_t tokens_of(const token_map_t& tokens, const std::string& customer)
{
    const auto found = tokens.find(customer);
    return found == tokens.end() ? 0 : found->second;
}

/// Counts as spent what processes without a declaration may have drawn beyond
/// their holdings.
void close_ceilings(escrow_book& book, const account_repair& repair,
                    const token_map_t& budgets)
{
    for (const auto& [owner, ceilings] : repair.ceilings)
    {
        const auto* const drawn = find_drawn(book, owner);
        if (drawn == nullptr || has_declared(repair, owner))
            continue;
        for (const auto& [customer, ceiling] : ceilings)
        {
            const auto held = tokens_of(*drawn, customer);
            const auto excess = ceiling > held ? ceiling - held : 0;
            book.closed[customer] += std::min(
                excess, undrawn(book, customer, tokens_of(budgets, customer)));
        }
    }
}

} // namespace

bool is_settled(const escrow_book& book, std::uint64_t era)
{
    return book.era == era && !book.repair;
}

bool has_newer_copy(const escrow_book& book, std::uint64_t revision,
                    const account_view& view)
{
    return view.revision != 0 &&
           version_t(view.era, view.revision) > base_of(book, revision);
}

void start_repair(escrow_book& book, std::uint64_t revision, std::uint64_t era,
                  const account_view& view)
{
    account_repair repair;
    std::tie(repair.base_era, repair.base_revision) = base_of(book, revision);
    if (book.era == era && book.repair)
        repair = std::move(*book.repair);
    if (has_newer_copy(book, revision, view))
    {
        const auto earlier = std::move(book);
        book = view.book;
        book.repair.reset();
        for (const auto& [host, incarnation] : repair.declared)
            enter(book, host, earlier.hosts.at(host));
        repair.base_era = view.era;
        repair.base_revision = view.revision;
    }
    book.era = era;
    book.repair = std::move(repair);
}

account_change make_declaration(account_change change, std::uint64_t era,
                                const account_view& view,
                                const wallet_states_t& states,
                                const witness_record& confirmed)
{
    change.declares = era;
    if (owns_holding(view, change.owner))
    {
        const auto& own = view.book.hosts.at(change.owner.host);
        for (const auto& [customer, tokens] : own.drawn)
            change.drawn[customer] =
                certain_total(view, change.owner, customer);
        change.used = own.used;
        change.witness = own.witness;
    }
    for (const auto& [customer, state] : states)
        if (state.used != 0)
            change.used[customer] = std::max(change.used[customer], state.used);
    for (const auto& [owner, ceilings] : confirmed.ceilings)
        if (!confirmed.closed.contains(owner))
            change.closed[owner] = ceilings;
    return change;
}

bool apply_declaration(escrow_book& book, const account_change& declaration)
{
    if (!book.repair || declaration.declares != book.era ||
        has_declared(*book.repair, declaration.owner))
        return false;
    escrow_holding holding;
    holding.incarnation = declaration.owner.incarnation;
    holding.address = declaration.address;
    holding.zone = declaration.zone;
    holding.witness = declaration.witness;
    holding.drawn = declaration.drawn;
    holding.used = declaration.used;
    holding.sequence = declaration.sequence;
    holding.capacity = declaration.capacity;
    enter(book, declaration.owner.host, std::move(holding));
    book.repair->declared[declaration.owner.host] =
        declaration.owner.incarnation;
    for (const auto& [owner, ceilings] : declaration.closed)
        raise_to(book.repair->ceilings[owner], ceilings);
    return true;
}

bool all_declared(const escrow_book& book, const std::set<std::string>& hosts)
{
    return book.repair &&
           std::all_of(hosts.begin(), hosts.end(),
                       [&](const std::string& host)
                       {
                           return book.repair->declared.contains(host);
                       });
}

void finish_repair(escrow_book& book, const token_map_t& budgets)
{
    if (!book.repair)
        return;
    const auto repair = std::move(*book.repair);
    book.repair.reset();
    close_ceilings(book, repair, budgets);
    for (auto& [host, holding] : book.hosts)
        if (!repair.declared.contains(host))
            holding.witness = {};
    for (const auto& each : book.ended)
    {
        for (const auto& [customer, tokens] : each.drawn)
            book.closed[customer] += tokens;
        for (const auto& [customer, tokens] : each.used)
            book.closed_used[customer] += tokens;
    }
    book.ended.clear();
}

} // namespace rhubarbgrade
