#include "ledger_registrar.hpp"

#include <algorithm> // max
#include <chrono>    // system_clock
#include <cstdint>   // uint64_t
#include <set>       // set
#include <string>    // string
#include <utility>   // move
#include <vector>    // vector

#include <spdlog/spdlog.h> // logger

#include <rhubarbgrade/detail/base/clock.hpp>          // wall_milliseconds
#include <rhubarbgrade/detail/platform/bill_batch.hpp> // bill_batch
#include <rhubarbgrade/detail/platform/object_api.hpp> // object_api

#include "../control/control_core.hpp" // control_core
#include "budget_writer.hpp"           // budget_writer

namespace rhubarbgrade
{
ledger_registrar::ledger_registrar(const settings& config, control_loop control,
                                   object_api& api, budget_writer& budgets,
                                   std::shared_ptr<spdlog::logger> log)
    : m_settings(config),
      m_control(control),
      m_api(api),
      m_budgets(budgets),
      m_log(std::move(log))
{
}

result<ledger_registrar::stored_table> ledger_registrar::read_table()
{
    auto object = m_api.read(ledger_table_name(m_settings.zone));
    if (!object && object.error().code == errc::absent)
        return stored_table{};
    if (!object)
        return tl::unexpected(object.error());
    auto table = parse_ledger_table(object->value);
    if (!table)
        return tl::unexpected(table.error());
    return stored_table{object->version, std::move(*table)};
}

result<void> ledger_registrar::write_table(const stored_table& current)
{
    const auto written = m_api.update(ledger_table_name(m_settings.zone),
                                      to_text(current.table), current.version);
    if (!written)
        return tl::unexpected(written.error());
    return {};
}

void ledger_registrar::pair_own()
{
    const bool due = m_control.run(
        [](control_core& core)
        {
            return core.needs_pairing();
        });
    if (!due)
        return;
    auto current = read_table();
    if (!current)
        return;
    const auto id = m_control.run(
        [](control_core& core)
        {
            return core.owner().book().id;
        });
    if (id.host.empty())
        register_own(*current);
    else
        renew_own(*current, id);
}

void ledger_registrar::register_own(stored_table& current)
{
    std::uint64_t incarnation = wall_milliseconds();
    for (auto& [id, row] : current.table.rows)
        if (id.host == m_settings.host)
        {
            // There is one process per host. This one has bound the port, so
            // no earlier process still uses an earlier ledger.
            row.ended = row.ended || !m_earlier_ledgers_marked;
            incarnation = std::max(incarnation, id.incarnation + 1);
        }
    const ledger_id id{m_settings.host, incarnation};
    const auto second = m_control.run(
        [](control_core& core)
        {
            return core.choose_second_host();
        });
    current.table.rows[id] = {second.host, second.boot, false, false};
    if (!write_table(current))
        return;
    m_earlier_ledgers_marked = true;
    m_control.run(
        [&](control_core& core)
        {
            core.registered(id, second);
        });
}

void ledger_registrar::renew_own(stored_table& current, const ledger_id& id)
{
    const auto row = current.table.rows.find(id);
    if (row == current.table.rows.end() || row->second.closed)
    {
        const auto stored_requests = stored_requests_of_own(id);
        if (stored_requests)
            m_control.run(
                [&](control_core& core)
                {
                    core.ledger_was_closed(*stored_requests);
                });
        return;
    }
    const auto second = m_control.run(
        [](control_core& core)
        {
            return core.choose_second_host();
        });
    row->second.second_host = second.host;
    row->second.second_boot = second.boot;
    if (write_table(current))
        m_control.run(
            [&](control_core& core)
            {
                core.registered(id, second);
            });
}

result<std::set<std::string>>
ledger_registrar::stored_requests_of_own(const ledger_id& id)
{
    const auto number = m_control.run(
        [](control_core& core)
        {
            return core.owner().book().batches;
        });
    std::set<std::string> stored_requests;
    const auto object = m_api.read(bill_batch_name(id, number + 1));
    if (!object && object.error().code != errc::absent)
        return tl::unexpected(object.error());
    const auto batch = object ? parse_bill_batch(object->value)
                              : result<bill_batch>(bill_batch{});
    if (batch)
        for (const auto& charge : batch->bills)
            stored_requests.insert(charge.request);
    return stored_requests;
}

void ledger_registrar::close_others()
{
    const auto ids = m_control.run(
        [](control_core& core)
        {
            return core.closable();
        });
    for (const auto& id : ids)
        close_ledger(id);
}

void ledger_registrar::close_ledger(const ledger_id& id)
{
    const bool closing = m_control.run(
        [&](control_core& core)
        {
            const auto state = core.owner().state();
            const bool can_close =
                state == pairing::paired || state == pairing::alone;
            return can_close && core.replicas().begin_close(id);
        });
    if (!closing)
        return;
    const auto closed = record_closed(id);
    if (!closed && closed.error().code == errc::absent)
        m_control.run(
            [&](control_core& core)
            {
                core.replicas().drop(id);
            });
    if (!closed)
        return;
    const auto stored_requests = seal_batches(id);
    if (stored_requests)
        m_control.run(
            [&](control_core& core)
            {
                core.adopt(id, *stored_requests);
            });
}

result<void> ledger_registrar::record_closed(const ledger_id& id)
{
    const auto boot = m_control.run(
        [](control_core& core)
        {
            return core.boot();
        });
    auto current = read_table();
    if (!current)
        return tl::unexpected(current.error());
    const auto row = current->table.rows.find(id);
    const bool may_close = row != current->table.rows.end() &&
                           row->second.second_host == m_settings.host &&
                           row->second.second_boot == boot;
    if (!may_close)
        return failure(errc::absent, "close_ledger", "platform", to_string(id));
    if (row->second.closed)
        return {};
    row->second.closed = true;
    return write_table(*current);
}

result<std::set<std::string>>
ledger_registrar::seal_batches(const ledger_id& id)
{
    std::uint64_t settled = 0;
    std::uint64_t replicated_batches = 0;
    m_control.run(
        [&](control_core& core)
        {
            const auto* const book = core.replicas().find(id);
            settled = book == nullptr ? 0 : book->settled;
            replicated_batches = book == nullptr ? 0 : book->batches;
        });
    std::set<std::string> stored_requests;
    std::vector<bill_batch> batches;
    for (auto number = settled + 1;; ++number)
    {
        auto batch = read_or_seal(id, number);
        if (!batch)
            return tl::unexpected(batch.error());
        if (batch->last)
            break;
        if (number > replicated_batches)
            for (const auto& charge : batch->bills)
                stored_requests.insert(charge.request);
        batches.push_back(std::move(*batch));
    }
    for (auto& batch : batches)
        m_budgets.adopt_batch(id, ++settled, std::move(batch.bills));
    return stored_requests;
}

result<bill_batch> ledger_registrar::read_or_seal(const ledger_id& id,
                                                  std::uint64_t number)
{
    const auto name = bill_batch_name(id, number);
    const bill_batch seal{m_settings.zone, {}, true};
    const auto sealed = m_api.create(name, to_text(seal));
    if (sealed)
        return seal;
    if (sealed.error().code != errc::conflict)
        return tl::unexpected(sealed.error());
    const auto object = m_api.read(name);
    if (!object)
        return tl::unexpected(object.error());
    return parse_bill_batch(object->value);
}

void ledger_registrar::exchange_ended()
{
    const auto own_ended = m_control.run(
        [](control_core& core)
        {
            return core.own_ended_ledgers();
        });
    const bool has_doubtful = m_control.run(
        [](control_core& core)
        {
            return !core.in_doubt_requests().empty();
        });
    if (own_ended.empty() && !has_doubtful)
        return;
    auto current = read_table();
    if (!current)
        return;
    bool changed = false;
    for (const auto& id : own_ended)
    {
        const auto row = current->table.rows.find(id);
        if (row == current->table.rows.end() || row->second.ended)
            continue;
        row->second.ended = true;
        changed = true;
    }
    if (changed && !write_table(*current))
        return;
    std::set<ledger_id> ended;
    for (const auto& [id, row] : current->table.rows)
        if (row.ended)
            ended.insert(id);
    m_control.run(
        [&](control_core& core)
        {
            core.set_ended_ledgers(std::move(ended));
        });
}

void ledger_registrar::end_own(const ledger_id& id)
{
    auto current = read_table();
    if (!current)
        return;
    current->table.rows.erase(id);
    static_cast<void>(write_table(*current));
}

} // namespace rhubarbgrade
