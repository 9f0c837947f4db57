#include "control_core.hpp"

#include <chrono>  // steady_clock, system_clock
#include <memory>  // make_shared
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/routing/slots.hpp> // assigned_slots

// The part of control_core that builds the snapshot for traffic threads and the
// status text for operators.

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;
using std::chrono::system_clock;

} // namespace

void control_core::publish_snapshot()
{
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->generation = m_configuration.generation();
    snapshot->objects = m_configuration.objects();
    snapshot->customer_of_key = m_customer_keys;
    add_splits(*snapshot);
    snapshot->shares = current_shares();
    snapshot->leaving = m_leaving_endpoints;
    snapshot->leaving.merge(leaving_endpoints(m_leaving_reports));
    for (const auto& [name, object] : snapshot->objects->endpoints)
    {
        const auto host = m_members.find(object.host);
        const bool host_leaves =
            host != m_members.end() && host->second.listed.leaving;
        if (object.leaving || host_leaves)
            snapshot->leaving.insert(name);
    }
    for (const auto& [fingerprint, entry] : m_quarantine.entries)
        snapshot->quarantined.insert(fingerprint);
    snapshot->ready = m_owner.state() != pairing::unregistered && !m_leaving &&
                      m_configuration.generation() > 0;
    m_hooks.publish(std::move(snapshot));
}

void control_core::add_splits(routing_snapshot& snapshot) const
{
    const auto wall_now = system_clock::now();
    for (const auto& [name, object] : snapshot.objects->services)
        snapshot.splits[name] = {object.version, {}, 0, {}};
    for (const auto& [name, plan] : snapshot.objects->moves)
    {
        const auto key = move_key(plan);
        const auto* const progress = m_moves.find(key);
        if (progress == nullptr || wall_now < plan.start)
            continue;
        auto& split = snapshot.splits[plan.service];
        split = {plan.from, plan.to, progress->share, key};
        if (progress->state == move_state::done)
            split = {plan.to, {}, 0, {}};
        if (progress->state == move_state::taken_back)
            split = {plan.from, {}, 0, {}};
    }
}

std::shared_ptr<const endpoint_shares> control_core::current_shares()
{
    const auto now = steady_clock::now();
    // Hosts of the own zone get shares while their heartbeats arrive, hosts of
    // other zones while they are in the host list.
    std::map<std::string, std::vector<std::string>> hosts;
    hosts[m_settings.zone] =
        live_hosts(m_members, m_settings.zone, m_settings.host, now,
                   m_settings.suspect_after);
    for (const auto& [host, peer] : m_members)
        if (peer.listed.zone != m_settings.zone)
            hosts[peer.listed.zone].push_back(host);
    if (m_shares != nullptr && hosts == m_shares_hosts &&
        m_shares_generation == m_configuration.generation())
        return m_shares;
    m_shares = std::make_shared<const endpoint_shares>(compute_shares(hosts));
    m_shares_hosts = std::move(hosts);
    m_shares_generation = m_configuration.generation();
    return m_shares;
}

endpoint_shares control_core::compute_shares(
    const std::map<std::string, std::vector<std::string>>& hosts) const
{
    endpoint_shares computed;
    std::map<std::string, std::vector<std::string>> remote_by_zone;
    for (const auto& [name, object] : m_configuration.objects()->endpoints)
    {
        const auto zone_entry = hosts.find(object.zone);
        const auto zone_hosts = zone_entry == hosts.end()
                                    ? std::vector<std::string>()
                                    : zone_entry->second;
        auto& remote_hosts = remote_by_zone[object.zone];
        if (remote_hosts.empty())
            for (const auto& [zone, others] : hosts)
                if (zone != object.zone)
                    remote_hosts.insert(remote_hosts.end(), others.begin(),
                                        others.end());
        computed.slots[name] =
            assigned_slots(name, object.max_in_flight,
                           {zone_hosts, remote_hosts}, m_settings.host);
        const bool in_own_zone = object.zone == m_settings.zone;
        if (in_own_zone &&
            assigned_slots(name, 1, {zone_hosts, {}}, m_settings.host) == 1)
            computed.probed.insert(name);
    }
    return computed;
}

std::string control_core::status_text() const
{
    nlohmann::json status;
    status["host"] = m_settings.host;
    status["zone"] = m_settings.zone;
    status["generation"] = m_configuration.generation();
    status["pairing"] = to_string(m_owner.state());
    status["second"] = m_owner.second().host;
    status["ledger"] = to_string(m_owner.book().id);
    status["reservations"] = m_owner.book().reservations.size();
    status["bills"] = m_owner.book().bills.size();
    status["leaving"] = m_leaving;
    for (const auto& [name, plan] : m_configuration.objects()->moves)
    {
        const auto* const progress = m_moves.find(move_key(plan));
        if (progress != nullptr)
            status["moves"][name] = {{"state", to_string(progress->state)},
                                     {"share", progress->share},
                                     {"reason", progress->reason}};
    }
    for (const auto& [customer, account] : m_owner.book().accounts)
        status["accounts"][customer] = {{"shared", account.shared},
                                        {"solo", account.solo}};
    const auto now = steady_clock::now();
    for (const auto& [name, peer] : m_members)
        status["members"][name] = alive(peer, now, m_settings.suspect_after);
    return status.dump();
}

} // namespace rhubarbgrade
