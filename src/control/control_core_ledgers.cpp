#include "control_core.hpp"

#include <algorithm> // min
#include <chrono>    // steady_clock
#include <memory>    // make_shared
#include <string>    // string
#include <utility>   // exchange, move
#include <vector>    // vector

#include <spdlog/spdlog.h> // logger

// The part of control_core that deals with requests, claims and ledgers, both
// this host's own ledger and those that it closes and adopts.

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;

claim_answer to_answer(const claim& existing)
{
    if (existing.status == 0)
        return {claim_status::pending, 0, {}, {}};
    return {claim_status::answered, existing.status, existing.content_type,
            existing.body};
}

} // namespace

kj::Promise<result<void>>
control_core::assign_endpoint(const std::string& request,
                              const std::string& endpoint)
{
    return m_owner.propose(assign{request, endpoint});
}

kj::Promise<result<void>>
control_core::settle_request(const std::string& request, token_count_t tokens)
{
    const auto found = m_owner.book().reservations.find(request);
    if (found == m_owner.book().reservations.end())
    {
        mark_finished(request);
        return result<void>(failure(errc::ledger_closed, "settle"));
    }
    m_grants.record_usage(found->second.customer, tokens);
    return m_owner.propose(settle{request, tokens});
}

result<void> control_core::release_request(const std::string& request)
{
    mark_finished(request);
    return m_owner.apply_now(release{request});
}

void control_core::mark_finished(const std::string& request)
{
    for (auto& [id, requests] : m_unfinished_requests)
        requests.erase(request);
}

std::string control_core::find_request_locally(const std::string& request) const
{
    const auto* const own_endpoint =
        rhubarbgrade::find_request(m_owner.book(), request);
    if (own_endpoint != nullptr)
        return *own_endpoint;
    const auto* const replicated_endpoint = m_replicas.find_request(request);
    return replicated_endpoint == nullptr ? std::string()
                                          : *replicated_endpoint;
}

kj::Promise<std::string> control_core::find_request(const std::string& request)
{
    auto local = find_request_locally(request);
    if (!local.empty())
        return local;
    auto found = std::make_shared<std::string>();
    kj::Vector<kj::Promise<void>> calls;
    for (const auto& [name, peer] : m_members)
    {
        if (name == m_settings.host || m_peers.failing(name))
            continue;
        calls.add(m_peers.find_request(name, request)
                      .then(
                          [found](std::string endpoint)
                          {
                              if (!endpoint.empty())
                                  *found = std::move(endpoint);
                          })
                      .catch_([](kj::Exception&&) {}));
    }
    return kj::joinPromises(calls.releaseAsArray())
        .then(
            [found]
            {
                return *found;
            });
}

bool control_core::owns_keys_of(const ledger_id& owner) const
{
    return m_owner.book().key_issuers.contains(owner);
}

kj::Promise<claim_answer> control_core::claim_locally(const claim_call& call)
{
    if (!owns_keys_of(call.owner))
        return claim_answer{claim_status::not_owner, 0, {}, {}};
    const auto& claims = m_owner.book().claims;
    const auto existing = claims.find(call.key);
    if (existing != claims.end())
        return to_answer(existing->second);
    return m_owner.propose(claim_key{call.key, call.request})
        .then(
            [this, key = call.key](const result<void>& outcome)
            {
                if (outcome)
                    return claim_answer{claim_status::claimed, 0, {}, {}};
                static_cast<void>(
                    m_owner.apply_now(rhubarbgrade::drop_claim{key}));
                return claim_answer{claim_status::unavailable, 0, {}, {}};
            });
}

kj::Promise<claim_answer> control_core::claim(const claim_call& call)
{
    if (owns_keys_of(call.owner))
        return claim_locally(call);
    auto found = std::make_shared<claim_answer>();
    kj::Vector<kj::Promise<void>> calls;
    for (const auto& [name, peer] : m_members)
    {
        if (name == m_settings.host || m_peers.failing(name))
            continue;
        calls.add(m_peers.claim(name, call)
                      .then(
                          [found](claim_answer answer)
                          {
                              if (answer.status != claim_status::not_owner)
                                  *found = std::move(answer);
                          })
                      .catch_([](kj::Exception&&) {}));
    }
    return kj::joinPromises(calls.releaseAsArray())
        .then(
            [found]
            {
                return *found;
            });
}

kj::Promise<void> control_core::answer(const ledger_id& owner,
                                       const answer_key& step)
{
    if (owns_keys_of(owner))
        return m_owner.propose(step).ignoreResult();
    for (const auto& [name, peer] : m_members)
        if (name != m_settings.host && !m_peers.failing(name))
            m_tasks.add(m_peers.answer(name, owner, step));
    return kj::READY_NOW;
}

kj::Promise<void> control_core::drop_claim(const ledger_id& owner,
                                           const std::string& key)
{
    if (owns_keys_of(owner))
        return m_owner.propose(rhubarbgrade::drop_claim{key}).ignoreResult();
    for (const auto& [name, peer] : m_members)
        if (name != m_settings.host && !m_peers.failing(name))
            m_tasks.add(m_peers.drop_claim(name, owner, key));
    return kj::READY_NOW;
}

kj::Promise<void>
control_core::quarantine_request(const std::string& fingerprint)
{
    mark_quarantined(m_quarantine, fingerprint, steady_clock::now());
    m_log->warn("event=quarantined fingerprint={}", fingerprint);
    publish_snapshot();
    kj::Vector<kj::Promise<void>> sends;
    for (const auto& host : current_peers().zone_hosts)
        sends.add(m_peers.beat(host, make_beat())
                      .ignoreResult()
                      .catch_([](kj::Exception&&) {}));
    return kj::joinPromises(sends.releaseAsArray());
}

second_host control_core::choose_second_host() const
{
    const auto host =
        choose_replica_host(m_members, m_settings.host, steady_clock::now(),
                            m_settings.suspect_after);
    if (host.empty())
        return {};
    return {host, m_members.find(host)->second.beat.incarnation};
}

bool control_core::needs_pairing() const
{
    const auto state = m_owner.state();
    if (state == pairing::unregistered)
        return m_members.contains(m_settings.host) && !m_leaving;
    if (state == pairing::cut)
        return true;
    if (state == pairing::alone)
        return !choose_second_host().host.empty();
    const auto second = m_members.find(m_owner.second().host);
    return second == m_members.end();
}

void control_core::registered(const ledger_id& id, const second_host& second)
{
    m_owner.register_ledger(id, second);
    m_log->info("event=ledger_registered ledger={} peer={}", to_string(id),
                second.host);
    for (const auto& solo_ledger : std::exchange(m_retained_solo, {}))
        for (const auto& step : to_operations(solo_ledger))
            static_cast<void>(m_owner.apply_now(step));
    publish_snapshot();
}

void control_core::ledger_was_closed(
    const std::set<std::string>& stored_requests)
{
    const auto closed_ledger = m_owner.abandon();
    m_log->warn("event=ledger_closed ledger={}", to_string(closed_ledger.id));
    auto& unfinished = m_unfinished_requests[closed_ledger.id];
    for (const auto& [request, reserved] : closed_ledger.reservations)
        if (reserved.origin == closed_ledger.id &&
            reserved.pool == token_pool::shared)
            unfinished.insert(request);
    retain_solo(closed_ledger, stored_requests);
    publish_snapshot();
}

void control_core::retain_solo(const ledger& closed_ledger,
                               const std::set<std::string>& stored)
{
    ledger retained;
    for (const auto& [customer, account] : closed_ledger.accounts)
        if (account.solo > 0)
            retained.accounts[customer] = {0, account.solo};
    for (const auto& [request, reserved] : closed_ledger.reservations)
        if (reserved.pool == token_pool::solo)
        {
            // A reservation requires an account of its customer.
            retained.accounts[reserved.customer];
            retained.reservations[request] = reserved;
        }
    for (const auto& [number, entry] : closed_ledger.bills)
        if (entry.pool == token_pool::solo && !stored.contains(entry.request))
            retained.bills[++retained.last_bill] = entry;
    m_retained_solo.push_back(std::move(retained));
}

std::vector<ledger_id> control_core::closable() const
{
    std::vector<ledger_id> closable_ids;
    const auto now = steady_clock::now();
    for (const auto& id : m_replicas.ids())
    {
        const auto owner = m_members.find(id.host);
        const bool known = owner != m_members.end();
        const bool silent =
            now - m_replicas.last_message(id) > m_settings.close_after &&
            !(known && alive(owner->second, now, m_settings.close_after));
        const bool restarted =
            known && owner->second.beat.incarnation > id.incarnation;
        if (silent || restarted)
            closable_ids.push_back(id);
    }
    return closable_ids;
}

void control_core::adopt(const ledger_id& id,
                         const std::set<std::string>& stored_requests)
{
    const auto adopted = m_replicas.extract_closed(id);
    adopt_contents(adopted, stored_requests);
    m_log->warn("event=ledger_adopted ledger={} reservations={} bills={}",
                to_string(id), adopted.reservations.size(),
                adopted.bills.size());
    publish_snapshot();
}

void control_core::adopt_contents(const ledger& adopted,
                                  const std::set<std::string>& stored)
{
    const auto apply = [this](operation step)
    {
        static_cast<void>(m_owner.apply_now(std::move(step)));
    };
    for (const auto& [customer, account] : adopted.accounts)
        if (account.shared > 0)
            apply(credit{customer, account.shared});
    for (const auto& [request, reserved] : adopted.reservations)
        if (reserved.pool == token_pool::shared)
            apply(adopt_reservation{request, reserved.customer, reserved.tokens,
                                    reserved.endpoint, reserved.pool,
                                    reserved.origin});
    for (const auto& [number, entry] : adopted.bills)
        if (!stored.contains(entry.request))
            apply(adopt_bill{entry.request, entry.customer, entry.tokens,
                             entry.endpoint, entry.pool, 0});
    for (const auto& request : adopted.recent_order)
        apply(recall_request{request, adopted.recent.find(request)->second});
    for (const auto& origin : adopted.key_issuers)
        apply(adopt_keys{origin});
    for (const auto& [key, existing] : adopted.claims)
    {
        apply(claim_key{key, existing.request});
        if (existing.status != 0)
            apply(answer_key{key, existing.status, existing.content_type,
                             existing.body});
    }
}

std::vector<in_doubt_request> control_core::in_doubt_requests() const
{
    std::vector<in_doubt_request> unresolved;
    const auto& own_ledger = m_owner.book();
    for (const auto& [request, reserved] : own_ledger.reservations)
    {
        if (reserved.origin == own_ledger.id ||
            reserved.pool == token_pool::solo)
            continue;
        const auto* const configured =
            find(m_configuration.objects()->endpoints, reserved.endpoint);
        unresolved.push_back(
            {request, reserved.endpoint,
             configured == nullptr ? std::string() : configured->address,
             reserved.tokens, m_ended_ledgers.contains(reserved.origin)});
    }
    return unresolved;
}

void control_core::set_ended_ledgers(std::set<ledger_id> ended)
{
    m_ended_ledgers = std::move(ended);
}

std::vector<ledger_id> control_core::own_ended_ledgers()
{
    std::vector<ledger_id> ended;
    for (const auto& [id, requests] : m_unfinished_requests)
        if (requests.empty())
            ended.push_back(id);
    return ended;
}

void control_core::resolve(const in_doubt_request& request, bool ran,
                           token_count_t used)
{
    const auto found = m_owner.book().reservations.find(request.request);
    if (found == m_owner.book().reservations.end())
        return;
    const auto tokens = std::min(used, found->second.tokens);
    m_log->info("event=request_resolved request={} endpoint={} ran={} "
                "tokens={}",
                request.request, request.endpoint, ran, tokens);
    if (ran)
        static_cast<void>(m_owner.apply_now(settle{request.request, tokens}));
    else
        static_cast<void>(m_owner.apply_now(release{request.request}));
}

} // namespace rhubarbgrade
