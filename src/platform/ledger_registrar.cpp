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
ledger_registrar::ledger_registrar(const settings& read, control_loop control,
                                   object_api& api, budget_writer& budgets,
                                   std::shared_ptr<spdlog::logger> log)
    : m_settings(read),
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

result<void> ledger_registrar::write_table(const stored_table& read)
{
    const auto written = m_api.update(ledger_table_name(m_settings.zone),
                                      to_text(read.table), read.version);
    if (!written)
        return tl::unexpected(written.error());
    return {};
}

void ledger_registrar::pair_own()
{
    const bool due = m_control.run(
        [](control_core& core)
        {
            return core.wants_pairing();
        });
    if (!due)
        return;
    auto read = read_table();
    if (!read)
        return;
    const auto id = m_control.run(
        [](control_core& core)
        {
            return core.owner().book().id;
        });
    if (id.host.empty())
        register_own(*read);
    else
        renew_own(*read, id);
}

void ledger_registrar::register_own(stored_table& read)
{
    std::uint64_t incarnation = wall_milliseconds();
    for (auto& [id, row] : read.table.rows)
        if (id.host == m_settings.host)
        {
            // One process a host: this one holds its port, so that no earlier
            // one acts for an earlier ledger.
            row.ended = row.ended || !m_marked_earlier;
            incarnation = std::max(incarnation, id.incarnation + 1);
        }
    const ledger_id id{m_settings.host, incarnation};
    const auto second = m_control.run(
        [](control_core& core)
        {
            return core.choose_second_host();
        });
    read.table.rows[id] = {second.host, second.boot, false, false};
    if (!write_table(read))
        return;
    m_marked_earlier = true;
    m_control.run(
        [&](control_core& core)
        {
            core.registered(id, second);
        });
}

void ledger_registrar::renew_own(stored_table& read, const ledger_id& id)
{
    const auto row = read.table.rows.find(id);
    if (row == read.table.rows.end() || row->second.closed)
    {
        const auto stored = own_stored(id);
        if (stored)
            m_control.run(
                [&](control_core& core)
                {
                    core.ledger_was_closed(*stored);
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
    if (write_table(read))
        m_control.run(
            [&](control_core& core)
            {
                core.registered(id, second);
            });
}

result<std::set<std::string>> ledger_registrar::own_stored(const ledger_id& id)
{
    const auto number = m_control.run(
        [](control_core& core)
        {
            return core.owner().book().batches;
        });
    std::set<std::string> stored;
    const auto object = m_api.read(bill_batch_name(id, number + 1));
    if (!object && object.error().code != errc::absent)
        return tl::unexpected(object.error());
    const auto batch = object ? parse_bill_batch(object->value)
                              : result<bill_batch>(bill_batch{});
    if (batch)
        for (const auto& owed : batch->bills)
            stored.insert(owed.request);
    return stored;
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
    const bool held = m_control.run(
        [&](control_core& core)
        {
            const auto state = core.owner().state();
            const bool able =
                state == pairing::paired || state == pairing::alone;
            return able && core.replicas().begin_close(id);
        });
    if (!held)
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
    const auto stored = seal_batches(id);
    if (stored)
        m_control.run(
            [&](control_core& core)
            {
                core.adopt(id, *stored);
            });
}

result<void> ledger_registrar::record_closed(const ledger_id& id)
{
    const auto boot = m_control.run(
        [](control_core& core)
        {
            return core.boot();
        });
    auto read = read_table();
    if (!read)
        return tl::unexpected(read.error());
    const auto row = read->table.rows.find(id);
    const bool mine = row != read->table.rows.end() &&
                      row->second.second_host == m_settings.host &&
                      row->second.second_boot == boot;
    if (!mine)
        return failure(errc::absent, "close_ledger", "platform", to_string(id));
    if (row->second.closed)
        return {};
    row->second.closed = true;
    return write_table(*read);
}

result<std::set<std::string>>
ledger_registrar::seal_batches(const ledger_id& id)
{
    std::uint64_t settled = 0;
    std::uint64_t known = 0;
    m_control.run(
        [&](control_core& core)
        {
            const auto* const book = core.replicas().find(id);
            settled = book == nullptr ? 0 : book->settled;
            known = book == nullptr ? 0 : book->batches;
        });
    std::set<std::string> stored;
    std::vector<bill_batch> batches;
    for (auto number = settled + 1;; ++number)
    {
        auto batch = read_or_seal(id, number);
        if (!batch)
            return tl::unexpected(batch.error());
        if (batch->last)
            break;
        if (number > known)
            for (const auto& owed : batch->bills)
                stored.insert(owed.request);
        batches.push_back(std::move(*batch));
    }
    for (auto& batch : batches)
        m_budgets.adopt_batch(id, ++settled, std::move(batch.bills));
    return stored;
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
    const auto mine = m_control.run(
        [](control_core& core)
        {
            return core.own_ended_ledgers();
        });
    const bool waiting = m_control.run(
        [](control_core& core)
        {
            return !core.doubtful().empty();
        });
    if (mine.empty() && !waiting)
        return;
    auto read = read_table();
    if (!read)
        return;
    bool changed = false;
    for (const auto& id : mine)
    {
        const auto row = read->table.rows.find(id);
        if (row == read->table.rows.end() || row->second.ended)
            continue;
        row->second.ended = true;
        changed = true;
    }
    if (changed && !write_table(*read))
        return;
    std::set<ledger_id> ended;
    for (const auto& [id, row] : read->table.rows)
        if (row.ended)
            ended.insert(id);
    m_control.run(
        [&](control_core& core)
        {
            core.put_ended_ledgers(std::move(ended));
        });
}

void ledger_registrar::end_own(const ledger_id& id)
{
    auto read = read_table();
    if (!read)
        return;
    read->table.rows.erase(id);
    static_cast<void>(write_table(*read));
}

} // namespace rhubarbgrade
