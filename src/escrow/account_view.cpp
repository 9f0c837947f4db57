#include <rhubarbgrade/detail/escrow/account_view.hpp>

#include <algorithm> // max, min
#include <string>    // string
#include <utility>   // move

#include <rhubarbgrade/detail/escrow/account_repair.hpp> // is_settled

namespace rhubarbgrade
{

namespace
{

const escrow_holding* find_own(const account_view& view, const process_id& self)
{
    const auto found = view.book.hosts.find(self.host);
    const bool is_own = found != view.book.hosts.end() &&
                        found->second.incarnation == self.incarnation;
    return is_own ? &found->second : nullptr;
}

void settle(account_view& view, const process_id& self)
{
    const auto* const own = find_own(view, self);
    if (own == nullptr)
        return;
    view.joined = true;
    if (view.pending && own->sequence >= view.pending->sequence)
        view.pending.reset();
}

token_count_t tokens_of(const token_map_t& tokens, const std::string& customer)
{
    const auto found = tokens.find(customer);
    return found == tokens.end() ? 0 : found->second;
}

} // namespace

bool owns_holding(const account_view& view, const process_id& self)
{
    return find_own(view, self) != nullptr;
}

bool replaced(const account_view& view, const process_id& self)
{
    return view.joined && !owns_holding(view, self);
}

std::uint64_t known_era(const account_view& view)
{
    return view.restored ? view.restored->era : view.era;
}

bool apply_read(account_view& view, const process_id& self, escrow_book book,
                std::uint64_t revision, std::uint64_t era)
{
    if (era < known_era(view))
        return false;
    const bool known = view.restored && view.restored->era == era;
    if (known && revision < view.restored->revision)
        return false;
    if (!is_settled(book, era))
    {
        // An account that was settled in this era was overwritten by a write
        // from before the era.
        if (!known && view.era == era && revision < view.revision)
            return false;
        view.restored = {std::move(book), revision, era};
        return true;
    }
    view.restored.reset();
    if (era > view.era)
    {
        view.era = era;
        view.revision = 0;
        view.own_revision = 0;
        view.joined = false;
        if (!book.hosts.contains(self.host) ||
            book.hosts[self.host].incarnation != self.incarnation)
            view.pending.reset();
    }
    if (revision < view.revision)
        return false;
    if (revision < view.own_revision)
        book.hosts[self.host] = view.book.hosts[self.host];
    else
    {
        view.own_revision = revision;
        view.totals = totals_of(book);
        view.hosts = book.hosts.size();
    }
    view.book = std::move(book);
    view.revision = revision;
    settle(view, self);
    return true;
}

bool apply_answer(account_view& view, const process_id& self,
                  const account_answer& answer)
{
    const bool has_change = answer.result == change_result::applied ||
                            answer.result == change_result::known;
    if (!has_change || answer.owner != self || !view.pending ||
        answer.sequence > view.pending->sequence)
        return false;
    if (view.restored || answer.era != view.era ||
        answer.revision < view.own_revision)
        return false;
    adopt(view.book, self, view.pending->address, view.pending->zone);
    auto& own = view.book.hosts[self.host];
    for (const auto& [customer, tokens] : answer.drawn)
        own.drawn[customer] = tokens;
    for (const auto& [customer, tokens] : view.pending->used)
        own.used[customer] = std::max(own.used[customer], tokens);
    for (const auto& [customer, total] : answer.totals)
        view.totals[customer] = total;
    view.hosts = answer.hosts;
    own.witness = answer.witness;
    own.capacity = view.pending->capacity;
    own.sequence = answer.sequence;
    view.own_revision = answer.revision;
    settle(view, self);
    return true;
}

void apply_refusal(account_view& view, const process_id& self)
{
    if (!owns_holding(view, self))
        view.pending.reset();
}

token_count_t certain_total(const account_view& view, const process_id& self,
                            const std::string& customer)
{
    const auto* const own = find_own(view, self);
    if (own == nullptr)
        return 0;
    const auto drawn = tokens_of(own->drawn, customer);
    if (!view.pending)
        return drawn;
    const auto requested = view.pending->drawn.find(customer);
    return requested == view.pending->drawn.end()
               ? drawn
               : std::min(drawn, requested->second);
}

void set_pending(account_view& view, account_change change)
{
    if (view.pending)
    {
        const auto& earlier = *view.pending;
        const auto* const own = find_own(view, earlier.owner);
        for (const auto& [customer, tokens] : earlier.drawn)
        {
            const auto drawn =
                own == nullptr ? 0 : tokens_of(own->drawn, customer);
            auto& requested = change.drawn[customer];
            requested = tokens < drawn ? tokens : std::max(requested, tokens);
        }
        if (!earlier.witness.none())
            change.witness = earlier.witness;
        for (const auto& [owner, ceilings] : earlier.closed)
            change.closed.try_emplace(owner, ceilings);
    }
    change.sequence = ++view.last_sequence;
    view.pending = std::move(change);
}

} // namespace rhubarbgrade
