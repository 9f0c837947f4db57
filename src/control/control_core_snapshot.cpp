#include "control_core.hpp"

#include <chrono>  // steady_clock, system_clock
#include <memory>  // make_shared
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/routing/slots.hpp> // assigned_slots

// What control state shows of itself: the snapshot for traffic and the status.

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;
using std::chrono::system_clock;

} // namespace

void control_core::publish_snapshot()
{
    auto shot = std::make_shared<routing_snapshot>();
    shot->generation = m_configuration.generation();
    shot->objects = m_configuration.objects();
    shot->customer_of_key = m_customer_keys;
    add_splits(*shot);
    shot->shares = shares_now();
    shot->leaving = m_leaving_endpoints;
    shot->leaving.merge(leaving_endpoints(m_heard_reports));
    for (const auto& [name, object] : shot->objects->endpoints)
    {
        const auto host = m_members.find(object.host);
        const bool host_leaves =
            host != m_members.end() && host->second.listed.leaving;
        if (object.leaving || host_leaves)
            shot->leaving.insert(name);
    }
    for (const auto& [fingerprint, entry] : m_quarantine.entries)
        shot->quarantined.insert(fingerprint);
    shot->ready = m_owner.state() != pairing::unregistered && !m_leaving &&
                  m_configuration.generation() > 0;
    m_hooks.publish(std::move(shot));
}

void control_core::add_splits(routing_snapshot& shot) const
{
    const auto day = system_clock::now();
    for (const auto& [name, object] : shot.objects->services)
        shot.splits[name] = {object.version, {}, 0, {}};
    for (const auto& [name, plan] : shot.objects->moves)
    {
        const auto key = move_key(plan);
        const auto* const progress = m_moves.find(key);
        if (progress == nullptr || day < plan.start)
            continue;
        auto& split = shot.splits[plan.service];
        split = {plan.from, plan.to, progress->share, key};
        if (progress->state == move_state::done)
            split = {plan.to, {}, 0, {}};
        if (progress->state == move_state::taken_back)
            split = {plan.from, {}, 0, {}};
    }
}

std::shared_ptr<const endpoint_shares> control_core::shares_now()
{
    const auto now = steady_clock::now();
    // Hosts of the own zone count while they are heard, others while listed.
    std::map<std::string, std::vector<std::string>> hosts;
    hosts[m_settings.zone] =
        live_hosts(m_members, m_settings.zone, m_settings.host, now,
                   m_settings.suspect_after);
    for (const auto& [host, who] : m_members)
        if (who.listed.zone != m_settings.zone)
            hosts[who.listed.zone].push_back(host);
    if (m_shares != nullptr && hosts == m_shared_among &&
        m_shared_generation == m_configuration.generation())
        return m_shares;
    m_shares = std::make_shared<const endpoint_shares>(share_out(hosts));
    m_shared_among = std::move(hosts);
    m_shared_generation = m_configuration.generation();
    return m_shares;
}

endpoint_shares control_core::share_out(
    const std::map<std::string, std::vector<std::string>>& hosts) const
{
    endpoint_shares made;
    std::map<std::string, std::vector<std::string>> remote;
    for (const auto& [name, object] : m_configuration.objects()->endpoints)
    {
        const auto found = hosts.find(object.zone);
        const auto home =
            found == hosts.end() ? std::vector<std::string>() : found->second;
        auto& away = remote[object.zone];
        if (away.empty())
            for (const auto& [zone, others] : hosts)
                if (zone != object.zone)
                    away.insert(away.end(), others.begin(), others.end());
        made.slots[name] = assigned_slots(name, object.max_in_flight,
                                          {home, away}, m_settings.host);
        const bool own = object.zone == m_settings.zone;
        if (own && assigned_slots(name, 1, {home, {}}, m_settings.host) == 1)
            made.probed.insert(name);
    }
    return made;
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
    for (const auto& [customer, held] : m_owner.book().accounts)
        status["accounts"][customer] = {{"shared", held.shared},
                                        {"solo", held.solo}};
    const auto now = steady_clock::now();
    for (const auto& [name, who] : m_members)
        status["members"][name] = alive(who, now, m_settings.suspect_after);
    return status.dump();
}

} // namespace rhubarbgrade
