#include "replica_store.hpp"

#include <string>      // string
#include <string_view> // string_view
#include <utility>     // exchange, move
#include <vector>      // vector

namespace rhubarbgrade
{

replica_store::replica_store(std::uint64_t boot) : m_boot(boot)
{
}

replica_answer replica_store::apply_message(const replica_message& message,
                                            time_point_t now)
{
    if (m_closed.contains(message.ledger))
        return replica_answer::closed;
    if (message.second.boot != m_boot)
        return replica_answer::closing;
    auto& held = m_replicas[message.ledger];
    held.heard = now;
    if (held.closing)
        return replica_answer::closing;
    if (message.session > held.session && message.first == 0)
    {
        held.incoming = ledger{};
        held.incoming.id = message.ledger;
        held.session = message.session;
        held.next = 0;
    }
    if (message.session != held.session || message.first > held.next)
        return replica_answer::reset;
    return apply_operations(held, message);
}

replica_answer replica_store::apply_operations(replica& held,
                                               const replica_message& message)
{
    const auto count = message.operations.size();
    for (auto index = held.next - message.first; index < count; ++index)
    {
        auto& book = held.next < message.sync ? held.incoming : held.book;
        if (!apply_operation(book, message.operations[index]))
            return replica_answer::reset;
        held.next++;
        if (held.next == message.sync)
            held.book = std::exchange(held.incoming, ledger{});
    }
    return replica_answer::ok;
}

bool replica_store::begin_close(const ledger_id& id)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return false;
    found->second.closing = true;
    return true;
}

void replica_store::reopen(const ledger_id& id)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        found->second.closing = false;
}

void replica_store::drop(const ledger_id& id)
{
    m_replicas.erase(id);
}

ledger replica_store::take_closed(const ledger_id& id)
{
    m_closed[id] = true;
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return {};
    ledger book = std::move(found->second.book);
    m_replicas.erase(found);
    return book;
}

const ledger* replica_store::find(const ledger_id& id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : &found->second.book;
}

std::vector<ledger_id> replica_store::ids() const
{
    std::vector<ledger_id> known;
    for (const auto& [id, held] : m_replicas)
        known.push_back(id);
    return known;
}

time_point_t replica_store::heard(const ledger_id& id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? time_point_t{} : found->second.heard;
}

const std::string* replica_store::find_request(std::string_view request) const
{
    for (const auto& [id, held] : m_replicas)
    {
        const auto* const where =
            rhubarbgrade::find_request(held.book, request);
        if (where != nullptr)
            return where;
    }
    return nullptr;
}

} // namespace rhubarbgrade
