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
    auto& target = m_replicas[message.ledger];
    target.last_message = now;
    if (target.closing)
        return replica_answer::closing;
    if (message.session > target.session && message.first == 0)
    {
        target.rebuilt = ledger{};
        target.rebuilt.id = message.ledger;
        target.session = message.session;
        target.next_number = 0;
    }
    if (message.session != target.session || message.first > target.next_number)
        return replica_answer::reset;
    return apply_operations(target, message);
}

replica_answer replica_store::apply_operations(replica& target,
                                               const replica_message& message)
{
    const auto count = message.operations.size();
    for (auto index = target.next_number - message.first; index < count;
         ++index)
    {
        auto& destination = target.next_number < message.sync ? target.rebuilt
                                                              : target.contents;
        if (!apply_operation(destination, message.operations[index]))
            return replica_answer::reset;
        target.next_number++;
        if (target.next_number == message.sync)
            target.contents = std::exchange(target.rebuilt, ledger{});
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

ledger replica_store::extract_closed(const ledger_id& id)
{
    m_closed[id] = true;
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return {};
    ledger final_contents = std::move(found->second.contents);
    m_replicas.erase(found);
    return final_contents;
}

const ledger* replica_store::find(const ledger_id& id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : &found->second.contents;
}

std::vector<ledger_id> replica_store::ids() const
{
    std::vector<ledger_id> ledger_ids;
    for (const auto& [id, entry] : m_replicas)
        ledger_ids.push_back(id);
    return ledger_ids;
}

time_point_t replica_store::last_message(const ledger_id& id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? time_point_t{}
                                     : found->second.last_message;
}

const std::string* replica_store::find_request(std::string_view request) const
{
    for (const auto& [id, entry] : m_replicas)
    {
        const auto* const endpoint =
            rhubarbgrade::find_request(entry.contents, request);
        if (endpoint != nullptr)
            return endpoint;
    }
    return nullptr;
}

} // namespace rhubarbgrade
