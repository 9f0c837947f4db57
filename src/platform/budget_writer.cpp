#include "budget_writer.hpp"

#include <algorithm> // remove_if
#include <chrono>    // steady_clock
#include <cstdint>   // int64_t
#include <string>    // string
#include <utility>   // move
#include <vector>    // vector

#include <spdlog/spdlog.h> // logger

#include <rhubarbgrade/detail/budget/pace.hpp>         // pace_of
#include <rhubarbgrade/detail/platform/object_api.hpp> // object_api

#include "../control/control_core.hpp" // control_core

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;

/// Attempts of a conditional update in one round.
constexpr int max_update_attempts = 8;

/// Maximum number of bills in a batch; keeps the object well below the
/// platform's limit for a value.
constexpr std::size_t max_batch_bills = 5000;

std::vector<bill> bills_of_shard(const std::string& name,
                                 const std::vector<bill>& bills)
{
    std::vector<bill> matching;
    for (const auto& charge : bills)
        if (shard_name(charge.customer) == name)
            matching.push_back(charge);
    return matching;
}

token_count_t ungranted_tokens(const budget_shard& shard,
                               const std::string& customer,
                               token_count_t prepaid)
{
    const auto account = shard.customers.find(customer);
    const auto granted = account == shard.customers.end()
                             ? token_count_t{0}
                             : granted_total(account->second);
    return prepaid > granted ? prepaid - granted : 0;
}

} // namespace

budget_writer::budget_writer(const settings& config, control_loop control,
                             object_api& api,
                             std::shared_ptr<spdlog::logger> log)
    : m_settings(config), m_control(control), m_api(api), m_log(std::move(log))
{
}

bool budget_writer::due(time_point_t& last_run, milliseconds interval,
                        bool force) const
{
    const auto now = steady_clock::now();
    if (!force && now - last_run < interval)
        return false;
    last_run = now;
    return true;
}

bool budget_writer::run_round(bool force)
{
    const auto hosts = m_control.run(
        [](control_core& core)
        {
            return core.host_count();
        });
    const auto pace = pace_of(hosts, shard_count, m_settings.flush);
    bool reachable = true;
    if (due(m_last_store, pace.bills, force))
        reachable = store_bills();
    const bool settle = due(m_last_settlement, pace.settle, force);
    return write_shards(settle) && reachable;
}

bool budget_writer::idle()
{
    const auto bills = m_control.run(
        [](control_core& core)
        {
            return core.owner().book().bills.size();
        });
    return bills == 0 && m_unsettled_batches.empty() &&
           m_unconfirmed_draws.empty() && m_pending_returns.empty();
}

void budget_writer::adopt_batch(const ledger_id& writer, std::uint64_t number,
                                std::vector<bill> bills)
{
    m_unsettled_batches.push_back({writer, number, std::move(bills)});
}

bool budget_writer::store_bills()
{
    numbered_batch batch;
    std::uint64_t last_bill = 0;
    m_control.run(
        [&](control_core& core)
        {
            const auto& book = core.owner().book();
            batch.writer = book.id;
            batch.number = book.batches + 1;
            for (const auto& [number, charge] : book.bills)
            {
                if (batch.bills.size() == max_batch_bills)
                    break;
                batch.bills.push_back(charge);
                last_bill = number;
            }
        });
    if (batch.bills.empty())
        return true;
    const auto name = bill_batch_name(batch.writer, batch.number);
    const auto text = to_text(bill_batch{m_settings.zone, batch.bills, false});
    auto created = m_api.create(name, text);
    if (!created && created.error().code == errc::conflict)
    {
        // An earlier attempt took effect, possibly with fewer bills, or
        // another host has closed the ledger.
        const auto existing = m_api.read(name);
        if (!existing)
            return false;
        const auto stored = parse_bill_batch(existing->value);
        if (!stored || stored->last || stored->bills.empty())
            return true;
        batch.bills.resize(stored->bills.size());
        m_control.run(
            [&](control_core& core)
            {
                auto entry = core.owner().book().bills.begin();
                std::advance(entry, batch.bills.size() - 1);
                last_bill = entry->first;
            });
    }
    else if (!created)
        return false;
    m_control.run(
        [&](control_core& core)
        {
            if (core.owner().book().id == batch.writer)
                static_cast<void>(core.owner().apply_now(
                    rhubarbgrade::store_bills{batch.number, last_bill}));
        });
    m_unsettled_batches.push_back(std::move(batch));
    return true;
}

std::map<std::string, budget_writer::shard_work>
budget_writer::plan_work(bool settle)
{
    std::map<std::string, shard_work> work_by_shard;
    std::map<std::string, draw_state> draws;
    std::map<std::string, token_count_t> returns;
    m_control.run(
        [&](control_core& core)
        {
            draws = core.grants().draw_states(core.host_count());
            returns = core.grants().extract_returns();
        });
    for (const auto& [customer, tokens] : returns)
        m_pending_returns[customer] += tokens;
    for (const auto& [customer, state] : draws)
        work_by_shard[shard_name(customer)].draws[customer] = state;
    for (const auto& [customer, tokens] : m_pending_returns)
        work_by_shard[shard_name(customer)].returns[customer] = tokens;
    m_pending_returns.clear();
    for (const auto& [name, unconfirmed] : m_unconfirmed_draws)
        work_by_shard[name];
    if (settle)
        for (const auto& batch : m_unsettled_batches)
            for (const auto& charge : batch.bills)
                work_by_shard[shard_name(charge.customer)].settle = true;
    return work_by_shard;
}

bool budget_writer::write_shards(bool settle)
{
    auto work_by_shard = plan_work(settle);
    const auto objects = m_control.run(
        [](control_core& core)
        {
            return core.configuration().objects();
        });
    prepaid_t prepaid;
    for (const auto& [name, work] : work_by_shard)
    {
        for (const auto& [customer, state] : work.draws)
            prepaid[customer] = 0;
        for (const auto& [customer, tokens] : work.returns)
            prepaid[customer] = 0;
    }
    for (auto& [customer, tokens] : prepaid)
    {
        const auto* const customer_object = find(objects->customers, customer);
        if (customer_object != nullptr)
            tokens = customer_object->prepaid_tokens;
    }
    bool reachable = true;
    for (auto& [name, work] : work_by_shard)
    {
        const auto outcome = reachable
                                 ? write_shard(name, work, prepaid)
                                 : failure(errc::platform_unreachable, "");
        if (outcome)
            continue;
        reachable = false;
        for (const auto& [customer, tokens] : work.returns)
            m_pending_returns[customer] += tokens;
    }
    if (settle && reachable)
        finish_settlement();
    return reachable;
}

result<void> budget_writer::write_shard(const std::string& name,
                                        shard_work& work,
                                        const prepaid_t& prepaid)
{
    result<void> outcome = failure(errc::conflict, "write_shard");
    for (int attempt = 0; attempt < max_update_attempts; ++attempt)
    {
        outcome = try_write_shard(name, work, prepaid);
        if (outcome || outcome.error().code != errc::conflict)
            break;
    }
    return outcome;
}

void budget_writer::resolve_unconfirmed(const std::string& name,
                                        const budget_shard& shard,
                                        shard_work& work)
{
    const auto found = m_unconfirmed_draws.find(name);
    if (found == m_unconfirmed_draws.end())
        return;
    const auto unconfirmed = std::move(found->second);
    m_unconfirmed_draws.erase(found);
    const auto row = shard.writers.find(to_string(unconfirmed.writer));
    const bool applied =
        row != shard.writers.end() && row->second.draw >= unconfirmed.number;
    if (applied)
        m_control.run(
            [&](control_core& core)
            {
                core.grants().credit_drawn(row->second.drawn);
            });
    else
        for (const auto& [customer, tokens] : unconfirmed.returns)
            work.returns[customer] += tokens;
}

std::map<std::string, std::int64_t>
budget_writer::compute_amounts(const budget_shard& shard,
                               const shard_work& work,
                               const prepaid_t& prepaid) const
{
    std::map<std::string, std::int64_t> amounts;
    for (const auto& [customer, tokens] : work.returns)
        amounts[customer] -= static_cast<std::int64_t>(tokens);
    for (auto [customer, state] : work.draws)
    {
        const auto prepaid_entry = prepaid.find(customer);
        state.free = ungranted_tokens(
            shard, customer,
            prepaid_entry == prepaid.end() ? 0 : prepaid_entry->second);
        const auto amount = draw_amount(m_settings.draw, state);
        if (amount > 0)
            amounts[customer] += static_cast<std::int64_t>(amount);
    }
    std::erase_if(amounts,
                  [](const auto& item)
                  {
                      return item.second == 0;
                  });
    return amounts;
}

bool budget_writer::settle_batches(const std::string& name,
                                   budget_shard& shard) const
{
    bool changed = false;
    for (const auto& batch : m_unsettled_batches)
    {
        const auto bills = bills_of_shard(name, batch.bills);
        if (!bills.empty())
            changed |= settle_batch(shard, batch.writer, m_settings.zone,
                                    batch.number, bills);
    }
    return changed;
}

result<void> budget_writer::try_write_shard(const std::string& name,
                                            shard_work& work,
                                            const prepaid_t& prepaid)
{
    auto object = m_api.read(name);
    if (!object && object.error().code == errc::absent)
        object = stored_object{};
    if (!object)
        return tl::unexpected(object.error());
    auto shard = parse_shard(object->value);
    if (!shard)
        return tl::unexpected(shard.error());
    resolve_unconfirmed(name, *shard, work);
    bool changed = work.settle && settle_batches(name, *shard);
    const auto amounts = compute_amounts(*shard, work, prepaid);
    const auto writer = m_control.run(
        [](control_core& core)
        {
            return core.owner().book().id;
        });
    std::map<std::string, std::int64_t> applied_amounts;
    if (!amounts.empty() && !writer.host.empty())
    {
        applied_amounts =
            draw_tokens(*shard, writer, m_settings.zone, amounts, prepaid);
        changed = true;
    }
    if (changed)
    {
        const auto written =
            m_api.update(name, to_text(*shard), object->version);
        if (!written && written.error().code == errc::conflict)
            return tl::unexpected(written.error());
        if (!written)
        {
            if (!amounts.empty())
                m_unconfirmed_draws[name] = {
                    writer, shard->writers[to_string(writer)].draw,
                    std::move(work.returns)};
            work.returns.clear();
            return tl::unexpected(written.error());
        }
    }
    work.returns.clear();
    m_control.run(
        [&](control_core& core)
        {
            core.grants().credit_drawn(applied_amounts);
            for (const auto& [customer, state] : work.draws)
                core.grants().record_free_balance(
                    customer, ungranted_tokens(*shard, customer,
                                               prepaid.find(customer)->second));
        });
    return {};
}

void budget_writer::finish_settlement()
{
    for (const auto& batch : m_unsettled_batches)
        m_control.run(
            [&](control_core& core)
            {
                if (core.owner().book().id == batch.writer)
                    static_cast<void>(
                        core.owner().apply_now(mark_settled{batch.number}));
            });
    m_unsettled_batches.clear();
}

} // namespace rhubarbgrade
