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

token_count_t& pool_of(account& line, token_pool pool)
{
    return pool == token_pool::solo ? line.solo : line.shared;
}

tl::unexpected<error> misfit(const char* step, const std::string& subject)
{
    return failure(errc::bad_operation, step, {}, subject);
}

void remember(ledger& book, const std::string& request,
              const std::string& endpoint)
{
    if (book.recent.emplace(request, endpoint).second)
        book.recent_order.push_back(request);
    if (book.recent_order.size() <= recent_limit)
        return;
    book.recent.erase(book.recent_order.front());
    book.recent_order.pop_front();
}

void add_bill(ledger& book, std::uint64_t number, const bill& owed)
{
    book.last_bill =
        number == 0 ? book.last_bill + 1 : std::max(book.last_bill, number);
    book.bills[number == 0 ? book.last_bill : number] = owed;
    remember(book, owed.request, owed.endpoint);
}

void forget_oldest_answer(ledger& book)
{
    if (book.answer_order.size() <= answer_limit)
        return;
    const auto found = book.claims.find(book.answer_order.front());
    if (found != book.claims.end())
        found->second.body.clear();
    book.answer_order.pop_front();
}

/// Applies each kind of operation; `book` changes only if the step fits.
struct applier
{
    ledger& book;

    result<void> operator()(const credit& step) const
    {
        book.accounts[step.customer].shared += step.tokens;
        return {};
    }

    result<void> operator()(const debit& step) const
    {
        auto& held = book.accounts[step.customer].shared;
        if (held < step.tokens)
            return misfit("debit", step.customer);
        held -= step.tokens;
        return {};
    }

    result<void> operator()(const set_aside& step) const
    {
        auto& line = book.accounts[step.customer];
        if (line.shared < step.tokens)
            return misfit("set_aside", step.customer);
        line.shared -= step.tokens;
        line.solo += step.tokens;
        return {};
    }

    result<void> operator()(const put_back& step) const
    {
        auto& line = book.accounts[step.customer];
        if (line.solo < step.tokens)
            return misfit("put_back", step.customer);
        line.solo -= step.tokens;
        line.shared += step.tokens;
        return {};
    }

    result<void> operator()(const reserve& step) const
    {
        if (book.reservations.contains(step.request) || step.request.empty())
            return misfit("reserve", step.request);
        auto& held = pool_of(book.accounts[step.customer], step.pool);
        if (held < step.tokens)
            return failure(errc::budget_exhausted, "reserve", {},
                           step.customer);
        held -= step.tokens;
        book.reservations[step.request] = {step.customer, step.tokens,
                                           step.endpoint, step.pool, book.id};
        return {};
    }

    result<void> operator()(const assign& step) const
    {
        const auto found = book.reservations.find(step.request);
        if (found == book.reservations.end())
            return misfit("assign", step.request);
        found->second.endpoint = step.endpoint;
        return {};
    }

    result<void> operator()(const settle& step) const
    {
        const auto found = book.reservations.find(step.request);
        if (found == book.reservations.end() ||
            found->second.tokens < step.tokens)
            return misfit("settle", step.request);
        const reservation held = std::move(found->second);
        book.reservations.erase(found);
        auto& line = book.accounts[held.customer];
        pool_of(line, held.pool) += held.tokens - step.tokens;
        add_bill(book, 0,
                 {step.request, held.customer, step.tokens, held.endpoint,
                  held.pool});
        return {};
    }

    result<void> operator()(const release& step) const
    {
        const auto found = book.reservations.find(step.request);
        if (found == book.reservations.end())
            return misfit("release", step.request);
        const reservation held = std::move(found->second);
        book.reservations.erase(found);
        pool_of(book.accounts[held.customer], held.pool) += held.tokens;
        return {};
    }

    result<void> operator()(const store_bills& step) const
    {
        book.batches = std::max(book.batches, step.batch);
        book.bills.erase(book.bills.begin(),
                         book.bills.upper_bound(step.through));
        return {};
    }

    result<void> operator()(const adopt_reservation& step) const
    {
        if (book.reservations.contains(step.request))
            return misfit("adopt_reservation", step.request);
        book.accounts[step.customer];
        book.reservations[step.request] = {
            step.customer, step.tokens, step.endpoint, step.pool, step.origin};
        return {};
    }

    result<void> operator()(const adopt_bill& step) const
    {
        add_bill(book, step.number,
                 {step.request, step.customer, step.tokens, step.endpoint,
                  step.pool});
        return {};
    }

    result<void> operator()(const recall_request& step) const
    {
        remember(book, step.request, step.endpoint);
        return {};
    }

    result<void> operator()(const mark_settled& step) const
    {
        book.settled = std::max(book.settled, step.batch);
        return {};
    }

    result<void> operator()(const drop_claim& step) const
    {
        book.claims.erase(step.key);
        return {};
    }

    result<void> operator()(const adopt_keys& step) const
    {
        book.keys_of.insert(step.origin);
        return {};
    }

    result<void> operator()(const claim_key& step) const
    {
        const bool fresh =
            book.claims.emplace(step.key, claim{step.request, 0, {}, {}})
                .second;
        return fresh ? result<void>() : misfit("claim_key", step.key);
    }

    result<void> operator()(const answer_key& step) const
    {
        const auto found = book.claims.find(step.key);
        if (found == book.claims.end())
            return misfit("answer_key", step.key);
        found->second.status = step.status;
        found->second.content_type = step.content_type;
        found->second.body = step.body;
        book.answer_order.push_back(step.key);
        forget_oldest_answer(book);
        return {};
    }
};

} // namespace

result<void> apply_operation(ledger& book, const operation& step)
{
    auto done = std::visit(applier{book}, step);
    if (done)
        book.sequence++;
    return done;
}

std::vector<operation> to_operations(const ledger& book)
{
    std::vector<operation> steps;
    for (const auto& [customer, line] : book.accounts)
    {
        steps.emplace_back(credit{customer, line.shared + line.solo});
        if (line.solo > 0)
            steps.emplace_back(set_aside{customer, line.solo});
    }
    for (const auto& [request, held] : book.reservations)
        steps.emplace_back(adopt_reservation{request, held.customer,
                                             held.tokens, held.endpoint,
                                             held.pool, held.origin});
    for (const auto& request : book.recent_order)
        steps.emplace_back(
            recall_request{request, book.recent.find(request)->second});
    steps.emplace_back(store_bills{book.batches, 0});
    steps.emplace_back(mark_settled{book.settled});
    for (const auto& [number, owed] : book.bills)
        steps.emplace_back(adopt_bill{owed.request, owed.customer, owed.tokens,
                                      owed.endpoint, owed.pool, number});
    for (const auto& origin : book.keys_of)
        steps.emplace_back(adopt_keys{origin});
    for (const auto& [key, held] : book.claims)
    {
        steps.emplace_back(claim_key{key, held.request});
        if (held.status != 0)
            steps.emplace_back(
                answer_key{key, held.status, held.content_type, held.body});
    }
    return steps;
}

token_count_t total(const ledger& book, std::string_view customer)
{
    token_count_t sum = 0;
    const auto line = book.accounts.find(customer);
    if (line != book.accounts.end())
        sum += line->second.shared + line->second.solo;
    for (const auto& [request, held] : book.reservations)
        if (held.customer == customer)
            sum += held.tokens;
    for (const auto& [number, owed] : book.bills)
        if (owed.customer == customer)
            sum += owed.tokens;
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
