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

/// Times a conditional update is tried in one round.
constexpr int update_attempts = 8;

/// Bills in one batch at the most, well below a value's limit.
constexpr std::size_t batch_limit = 5000;

std::vector<bill> of_shard(const std::string& name,
                           const std::vector<bill>& bills)
{
    std::vector<bill> found;
    for (const auto& owed : bills)
        if (shard_name(owed.customer) == name)
            found.push_back(owed);
    return found;
}

token_count_t free_of(const budget_shard& shard, const std::string& customer,
                      token_count_t prepaid)
{
    const auto line = shard.customers.find(customer);
    const auto granted = line == shard.customers.end()
                             ? token_count_t{0}
                             : granted_total(line->second);
    return prepaid > granted ? prepaid - granted : 0;
}

} // namespace

budget_writer::budget_writer(const settings& read, control_loop control,
                             object_api& api,
                             std::shared_ptr<spdlog::logger> log)
    : m_settings(read), m_control(control), m_api(api), m_log(std::move(log))
{
}

bool budget_writer::due(time_point_t& last, milliseconds interval,
                        bool all) const
{
    const auto now = steady_clock::now();
    if (!all && now - last < interval)
        return false;
    last = now;
    return true;
}

bool budget_writer::round(bool all)
{
    const auto hosts = m_control.run(
        [](control_core& core)
        {
            return core.host_count();
        });
    const auto pace = pace_of(hosts, shard_count, m_settings.flush);
    bool reached = true;
    if (due(m_stored, pace.bills, all))
        reached = store_bills();
    const bool settle = due(m_settled, pace.settle, all);
    return write_shards(settle) && reached;
}

bool budget_writer::idle()
{
    const auto bills = m_control.run(
        [](control_core& core)
        {
            return core.owner().book().bills.size();
        });
    return bills == 0 && m_pending.empty() && m_lost.empty() &&
           m_returns.empty();
}

void budget_writer::adopt_batch(const ledger_id& writer, std::uint64_t number,
                                std::vector<bill> bills)
{
    m_pending.push_back({writer, number, std::move(bills)});
}

bool budget_writer::store_bills()
{
    numbered_batch batch;
    std::uint64_t through = 0;
    m_control.run(
        [&](control_core& core)
        {
            const auto& book = core.owner().book();
            batch.writer = book.id;
            batch.number = book.batches + 1;
            for (const auto& [number, owed] : book.bills)
            {
                if (batch.bills.size() == batch_limit)
                    break;
                batch.bills.push_back(owed);
                through = number;
            }
        });
    if (batch.bills.empty())
        return true;
    const auto name = bill_batch_name(batch.writer, batch.number);
    const auto text = to_text(bill_batch{m_settings.zone, batch.bills, false});
    auto made = m_api.create(name, text);
    if (!made && made.error().code == errc::conflict)
    {
        // An earlier try took effect, perhaps with fewer bills, or another
        // host has closed the ledger.
        const auto there = m_api.read(name);
        if (!there)
            return false;
        const auto stored = parse_bill_batch(there->value);
        if (!stored || stored->last || stored->bills.empty())
            return true;
        batch.bills.resize(stored->bills.size());
        m_control.run(
            [&](control_core& core)
            {
                auto entry = core.owner().book().bills.begin();
                std::advance(entry, batch.bills.size() - 1);
                through = entry->first;
            });
    }
    else if (!made)
        return false;
    m_control.run(
        [&](control_core& core)
        {
            if (core.owner().book().id == batch.writer)
                static_cast<void>(core.owner().apply_now(
                    rhubarbgrade::store_bills{batch.number, through}));
        });
    m_pending.push_back(std::move(batch));
    return true;
}

std::map<std::string, budget_writer::shard_work>
budget_writer::plan(bool settle)
{
    std::map<std::string, shard_work> works;
    std::map<std::string, draw_state> draws;
    std::map<std::string, token_count_t> returns;
    m_control.run(
        [&](control_core& core)
        {
            draws = core.grants().draw_states(core.host_count());
            returns = core.grants().take_returns();
        });
    for (const auto& [customer, tokens] : returns)
        m_returns[customer] += tokens;
    for (const auto& [customer, state] : draws)
        works[shard_name(customer)].draws[customer] = state;
    for (const auto& [customer, tokens] : m_returns)
        works[shard_name(customer)].returns[customer] = tokens;
    m_returns.clear();
    for (const auto& [name, lost] : m_lost)
        works[name];
    if (settle)
        for (const auto& batch : m_pending)
            for (const auto& owed : batch.bills)
                works[shard_name(owed.customer)].settle = true;
    return works;
}

bool budget_writer::write_shards(bool settle)
{
    auto works = plan(settle);
    const auto objects = m_control.run(
        [](control_core& core)
        {
            return core.configuration().objects();
        });
    prepaid_t prepaid;
    for (const auto& [name, work] : works)
    {
        for (const auto& [customer, state] : work.draws)
            prepaid[customer] = 0;
        for (const auto& [customer, tokens] : work.returns)
            prepaid[customer] = 0;
    }
    for (auto& [customer, tokens] : prepaid)
    {
        const auto* const known = find(objects->customers, customer);
        if (known != nullptr)
            tokens = known->prepaid_tokens;
    }
    bool reached = true;
    for (auto& [name, work] : works)
    {
        const auto done = reached ? write_shard(name, work, prepaid)
                                  : failure(errc::platform_unreachable, "");
        if (done)
            continue;
        reached = false;
        for (const auto& [customer, tokens] : work.returns)
            m_returns[customer] += tokens;
    }
    if (settle && reached)
        drop_settled();
    return reached;
}

result<void> budget_writer::write_shard(const std::string& name,
                                        shard_work& work,
                                        const prepaid_t& prepaid)
{
    result<void> done = failure(errc::conflict, "write_shard");
    for (int attempt = 0; attempt < update_attempts; ++attempt)
    {
        done = try_shard(name, work, prepaid);
        if (done || done.error().code != errc::conflict)
            break;
    }
    return done;
}

void budget_writer::resolve_lost(const std::string& name,
                                 const budget_shard& shard, shard_work& work)
{
    const auto found = m_lost.find(name);
    if (found == m_lost.end())
        return;
    const auto lost = std::move(found->second);
    m_lost.erase(found);
    const auto row = shard.writers.find(to_string(lost.writer));
    const bool landed =
        row != shard.writers.end() && row->second.draw >= lost.number;
    if (landed)
        m_control.run(
            [&](control_core& core)
            {
                core.grants().credit_drawn(row->second.drawn);
            });
    else
        for (const auto& [customer, tokens] : lost.returns)
            work.returns[customer] += tokens;
}

std::map<std::string, std::int64_t>
budget_writer::wanted(const budget_shard& shard, const shard_work& work,
                      const prepaid_t& prepaid) const
{
    std::map<std::string, std::int64_t> amounts;
    for (const auto& [customer, tokens] : work.returns)
        amounts[customer] -= static_cast<std::int64_t>(tokens);
    for (auto [customer, state] : work.draws)
    {
        const auto paid = prepaid.find(customer);
        state.free =
            free_of(shard, customer, paid == prepaid.end() ? 0 : paid->second);
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

bool budget_writer::settle_pending(const std::string& name,
                                   budget_shard& shard) const
{
    bool changed = false;
    for (const auto& batch : m_pending)
    {
        const auto bills = of_shard(name, batch.bills);
        if (!bills.empty())
            changed |= settle_batch(shard, batch.writer, m_settings.zone,
                                    batch.number, bills);
    }
    return changed;
}

result<void> budget_writer::try_shard(const std::string& name, shard_work& work,
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
    resolve_lost(name, *shard, work);
    bool changed = work.settle && settle_pending(name, *shard);
    const auto amounts = wanted(*shard, work, prepaid);
    const auto writer = m_control.run(
        [](control_core& core)
        {
            return core.owner().book().id;
        });
    std::map<std::string, std::int64_t> entered;
    if (!amounts.empty() && !writer.host.empty())
    {
        entered =
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
                m_lost[name] = {writer, shard->writers[to_string(writer)].draw,
                                std::move(work.returns)};
            work.returns.clear();
            return tl::unexpected(written.error());
        }
    }
    work.returns.clear();
    m_control.run(
        [&](control_core& core)
        {
            core.grants().credit_drawn(entered);
            for (const auto& [customer, state] : work.draws)
                core.grants().note_free(
                    customer,
                    free_of(*shard, customer, prepaid.find(customer)->second));
        });
    return {};
}

void budget_writer::drop_settled()
{
    for (const auto& batch : m_pending)
        m_control.run(
            [&](control_core& core)
            {
                if (core.owner().book().id == batch.writer)
                    static_cast<void>(
                        core.owner().apply_now(mark_settled{batch.number}));
            });
    m_pending.clear();
}

} // namespace rhubarbgrade
