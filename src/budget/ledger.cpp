#include <rhubarbgrade/detail/budget/ledger.hpp>

#include <algorithm> // max
#include <cassert>   // assert
#include <string>    // string
#include <utility>   // move
#include <variant>   // visit
#include <vector>    // vector

namespace rhubarbgrade
{
namespace
{

token_count_t& pool_of(account& balance, token_pool pool)
{
    return pool == token_pool::solo ? balance.solo : balance.shared;
}

tl::unexpected<error> not_applicable(const char* step,
                                     const std::string& subject)
{
    return failure(errc::bad_operation, step, {}, subject);
}

void record_recent(ledger& book, const std::string& request,
                   const std::string& endpoint)
{
    if (book.recent.emplace(request, endpoint).second)
        book.recent_order.push_back(request);
    if (book.recent_order.size() <= recent_limit)
        return;
    book.recent.erase(book.recent_order.front());
    book.recent_order.pop_front();
}

void add_bill(ledger& book, std::uint64_t number, const bill& billed)
{
    book.last_bill =
        number == 0 ? book.last_bill + 1 : std::max(book.last_bill, number);
    book.bills[number == 0 ? book.last_bill : number] = billed;
    record_recent(book, billed.request, billed.endpoint);
}

void drop_oldest_answer(ledger& book)
{
    if (book.answer_order.size() <= answer_limit)
        return;
    const auto found = book.claims.find(book.answer_order.front());
    if (found != book.claims.end())
        found->second.body.clear();
    book.answer_order.pop_front();
}

/// Applies each kind of operation; leaves the ledger unchanged if the operation
/// does not apply.
struct applier
{
    ledger& book;

    result<void> operator()(const credit& change) const
    {
        book.accounts[change.customer].shared += change.tokens;
        return {};
    }

    result<void> operator()(const debit& change) const
    {
        auto& held = book.accounts[change.customer].shared;
        if (held < change.tokens)
            return not_applicable("debit", change.customer);
        held -= change.tokens;
        return {};
    }

    result<void> operator()(const set_aside& change) const
    {
        auto& balance = book.accounts[change.customer];
        if (balance.shared < change.tokens)
            return not_applicable("set_aside", change.customer);
        balance.shared -= change.tokens;
        balance.solo += change.tokens;
        return {};
    }

    result<void> operator()(const put_back& change) const
    {
        auto& balance = book.accounts[change.customer];
        if (balance.solo < change.tokens)
            return not_applicable("put_back", change.customer);
        balance.solo -= change.tokens;
        balance.shared += change.tokens;
        return {};
    }

    result<void> operator()(const reserve& change) const
    {
        if (book.reservations.contains(change.request) ||
            change.request.empty())
            return not_applicable("reserve", change.request);
        auto& held = pool_of(book.accounts[change.customer], change.pool);
        if (held < change.tokens)
            return failure(errc::budget_exhausted, "reserve", {},
                           change.customer);
        held -= change.tokens;
        book.reservations[change.request] = {change.customer, change.tokens,
                                             change.endpoint, change.pool,
                                             book.id};
        return {};
    }

    result<void> operator()(const assign& change) const
    {
        const auto found = book.reservations.find(change.request);
        if (found == book.reservations.end())
            return not_applicable("assign", change.request);
        found->second.endpoint = change.endpoint;
        return {};
    }

    result<void> operator()(const settle& change) const
    {
        const auto found = book.reservations.find(change.request);
        if (found == book.reservations.end() ||
            found->second.tokens < change.tokens)
            return not_applicable("settle", change.request);
        const reservation held = std::move(found->second);
        book.reservations.erase(found);
        auto& balance = book.accounts[held.customer];
        pool_of(balance, held.pool) += held.tokens - change.tokens;
        add_bill(book, 0,
                 {change.request, held.customer, change.tokens, held.endpoint,
                  held.pool});
        return {};
    }

    result<void> operator()(const release& change) const
    {
        const auto found = book.reservations.find(change.request);
        if (found == book.reservations.end())
            return not_applicable("release", change.request);
        const reservation held = std::move(found->second);
        book.reservations.erase(found);
        pool_of(book.accounts[held.customer], held.pool) += held.tokens;
        return {};
    }

    result<void> operator()(const store_bills& change) const
    {
        book.batches = std::max(book.batches, change.batch);
        book.bills.erase(book.bills.begin(),
                         book.bills.upper_bound(change.through));
        return {};
    }

    result<void> operator()(const adopt_reservation& change) const
    {
        if (book.reservations.contains(change.request))
            return not_applicable("adopt_reservation", change.request);
        book.accounts[change.customer];
        book.reservations[change.request] = {change.customer, change.tokens,
                                             change.endpoint, change.pool,
                                             change.origin};
        return {};
    }

    result<void> operator()(const adopt_bill& change) const
    {
        add_bill(book, change.number,
                 {change.request, change.customer, change.tokens,
                  change.endpoint, change.pool});
        return {};
    }

    result<void> operator()(const recall_request& change) const
    {
        record_recent(book, change.request, change.endpoint);
        return {};
    }

    result<void> operator()(const mark_settled& change) const
    {
        book.settled = std::max(book.settled, change.batch);
        return {};
    }

    result<void> operator()(const drop_claim& change) const
    {
        book.claims.erase(change.key);
        return {};
    }

    result<void> operator()(const adopt_keys& change) const
    {
        book.key_issuers.insert(change.origin);
        return {};
    }

    result<void> operator()(const claim_key& change) const
    {
        const bool inserted =
            book.claims.emplace(change.key, claim{change.request, 0, {}, {}})
                .second;
        return inserted ? result<void>()
                        : not_applicable("claim_key", change.key);
    }

    result<void> operator()(const answer_key& change) const
    {
        const auto found = book.claims.find(change.key);
        if (found == book.claims.end())
            return not_applicable("answer_key", change.key);
        found->second.status = change.status;
        found->second.content_type = change.content_type;
        found->second.body = change.body;
        book.answer_order.push_back(change.key);
        drop_oldest_answer(book);
        return {};
    }
};

} // namespace

result<void> apply_operation(ledger& book, const operation& change)
{
    auto applied = std::visit(applier{book}, change);
    if (applied)
        book.sequence++;
    return applied;
}

std::vector<operation> to_operations(const ledger& book)
{
    std::vector<operation> changes;
    for (const auto& [customer, balance] : book.accounts)
    {
        changes.emplace_back(credit{customer, balance.shared + balance.solo});
        if (balance.solo > 0)
            changes.emplace_back(set_aside{customer, balance.solo});
    }
    for (const auto& [request, held] : book.reservations)
        changes.emplace_back(adopt_reservation{request, held.customer,
                                               held.tokens, held.endpoint,
                                               held.pool, held.origin});
    for (const auto& request : book.recent_order)
        changes.emplace_back(
            recall_request{request, book.recent.find(request)->second});
    changes.emplace_back(store_bills{book.batches, 0});
    changes.emplace_back(mark_settled{book.settled});
    for (const auto& [number, billed] : book.bills)
        changes.emplace_back(adopt_bill{billed.request, billed.customer,
                                        billed.tokens, billed.endpoint,
                                        billed.pool, number});
    for (const auto& origin : book.key_issuers)
        changes.emplace_back(adopt_keys{origin});
    for (const auto& [key, held] : book.claims)
    {
        changes.emplace_back(claim_key{key, held.request});
        if (held.status != 0)
            changes.emplace_back(
                answer_key{key, held.status, held.content_type, held.body});
    }
    return changes;
}

token_count_t total(const ledger& book, std::string_view customer)
{
    token_count_t sum = 0;
    const auto balance = book.accounts.find(customer);
    if (balance != book.accounts.end())
        sum += balance->second.shared + balance->second.solo;
    for (const auto& [request, held] : book.reservations)
        if (held.customer == customer)
            sum += held.tokens;
    for (const auto& [number, billed] : book.bills)
        if (billed.customer == customer)
            sum += billed.tokens;
    return sum;
}

const std::string* find_request(const ledger& book, std::string_view request)
{
    const auto reserved = book.reservations.find(request);
    if (reserved != book.reservations.end())
        return &reserved->second.endpoint;
    const auto settled = book.recent.find(request);
    return settled == book.recent.end() ? nullptr : &settled->second;
}

void assert_invariants(const ledger& book)
{
    for ([[maybe_unused]] const auto& [request, held] : book.reservations)
    {
        assert(!request.empty());
        assert(book.accounts.contains(held.customer));
    }
    assert(book.bills.empty() || book.bills.rbegin()->first <= book.last_bill);
    assert(book.recent.size() == book.recent_order.size());
}

} // namespace rhubarbgrade
