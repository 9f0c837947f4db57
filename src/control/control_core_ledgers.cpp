#include "control_core.hpp"

#include <algorithm> // min
#include <chrono>    // steady_clock
#include <memory>    // make_shared
#include <string>    // string
#include <utility>   // exchange, move
#include <vector>    // vector

#include <spdlog/spdlog.h> // logger

// Requests, claims and ledgers: this host's own and those it takes over.

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;

claim_answer answer_of(const claim& held)
{
    if (held.status == 0)
        return {claim_status::pending, 0, {}, {}};
    return {claim_status::answered, held.status, held.content_type, held.body};
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
        note_finished(request);
        return result<void>(failure(errc::ledger_closed, "settle"));
    }
    m_grants.note_use(found->second.customer, tokens);
    return m_owner.propose(settle{request, tokens});
}

result<void> control_core::release_request(const std::string& request)
{
    note_finished(request);
    return m_owner.apply_now(release{request});
}

void control_core::note_finished(const std::string& request)
{
    for (auto& [id, requests] : m_unfinished)
        requests.erase(request);
}

std::string control_core::find_here(const std::string& request) const
{
    const auto* const own = rhubarbgrade::find_request(m_owner.book(), request);
    if (own != nullptr)
        return *own;
    const auto* const held = m_replicas.find_request(request);
    return held == nullptr ? std::string() : *held;
}

kj::Promise<std::string> control_core::find_request(const std::string& request)
{
    auto here = find_here(request);
    if (!here.empty())
        return here;
    auto found = std::make_shared<std::string>();
    kj::Vector<kj::Promise<void>> asked;
    for (const auto& [name, who] : m_members)
    {
        if (name == m_settings.host || m_peers.failing(name))
            continue;
        asked.add(m_peers.find_request(name, request)
                      .then(
                          [found](std::string endpoint)
                          {
                              if (!endpoint.empty())
                                  *found = std::move(endpoint);
                          })
                      .catch_([](kj::Exception&&) {}));
    }
    return kj::joinPromises(asked.releaseAsArray())
        .then(
            [found]
            {
                return *found;
            });
}

bool control_core::owns_keys_of(const ledger_id& owner) const
{
    return m_owner.book().keys_of.contains(owner);
}

kj::Promise<claim_answer> control_core::claim_here(const claim_call& call)
{
    if (!owns_keys_of(call.owner))
        return claim_answer{claim_status::not_owner, 0, {}, {}};
    const auto& claims = m_owner.book().claims;
    const auto held = claims.find(call.key);
    if (held != claims.end())
        return answer_of(held->second);
    return m_owner.propose(claim_key{call.key, call.request})
        .then(
            [this, key = call.key](const result<void>& done)
            {
                if (done)
                    return claim_answer{claim_status::claimed, 0, {}, {}};
                static_cast<void>(
                    m_owner.apply_now(rhubarbgrade::drop_claim{key}));
                return claim_answer{claim_status::unavailable, 0, {}, {}};
            });
}

kj::Promise<claim_answer> control_core::claim(const claim_call& call)
{
    if (owns_keys_of(call.owner))
        return claim_here(call);
    auto found = std::make_shared<claim_answer>();
    kj::Vector<kj::Promise<void>> asked;
    for (const auto& [name, who] : m_members)
    {
        if (name == m_settings.host || m_peers.failing(name))
            continue;
        asked.add(m_peers.claim(name, call)
                      .then(
                          [found](claim_answer answer)
                          {
                              if (answer.status != claim_status::not_owner)
                                  *found = std::move(answer);
                          })
                      .catch_([](kj::Exception&&) {}));
    }
    return kj::joinPromises(asked.releaseAsArray())
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
    for (const auto& [name, who] : m_members)
        if (name != m_settings.host && !m_peers.failing(name))
            m_tasks.add(m_peers.answer(name, owner, step));
    return kj::READY_NOW;
}

kj::Promise<void> control_core::drop_claim(const ledger_id& owner,
                                           const std::string& key)
{
    if (owns_keys_of(owner))
        return m_owner.propose(rhubarbgrade::drop_claim{key}).ignoreResult();
    for (const auto& [name, who] : m_members)
        if (name != m_settings.host && !m_peers.failing(name))
            m_tasks.add(m_peers.drop_claim(name, owner, key));
    return kj::READY_NOW;
}

kj::Promise<void>
control_core::quarantine_request(const std::string& fingerprint)
{
    note_quarantined(m_quarantine, fingerprint, steady_clock::now());
    m_log->warn("event=quarantined fingerprint={}", fingerprint);
    publish_snapshot();
    kj::Vector<kj::Promise<void>> told;
    for (const auto& host : token_peer_hosts().zone)
        told.add(m_peers.beat(host, make_beat())
                     .ignoreResult()
                     .catch_([](kj::Exception&&) {}));
    return kj::joinPromises(told.releaseAsArray());
}

second_host control_core::choose_second_host() const
{
    const auto host =
        choose_second(m_members, m_settings.host, steady_clock::now(),
                      m_settings.suspect_after);
    if (host.empty())
        return {};
    return {host, m_members.find(host)->second.beat.incarnation};
}

bool control_core::wants_pairing() const
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
    for (const auto& book : std::exchange(m_kept_solo, {}))
        for (const auto& step : to_operations(book))
            static_cast<void>(m_owner.apply_now(step));
    publish_snapshot();
}

void control_core::ledger_was_closed(
    const std::set<std::string>& stored_requests)
{
    const auto book = m_owner.abandon();
    m_log->warn("event=ledger_closed ledger={}", to_string(book.id));
    auto& unfinished = m_unfinished[book.id];
    for (const auto& [request, held] : book.reservations)
        if (held.origin == book.id && held.pool == token_pool::shared)
            unfinished.insert(request);
    keep_solo(book, stored_requests);
    publish_snapshot();
}

void control_core::keep_solo(const ledger& book,
                             const std::set<std::string>& stored)
{
    ledger kept;
    for (const auto& [customer, held] : book.accounts)
        if (held.solo > 0)
            kept.accounts[customer] = {0, held.solo};
    for (const auto& [request, held] : book.reservations)
        if (held.pool == token_pool::solo)
        {
            kept.accounts[held.customer];
            kept.reservations[request] = held;
        }
    for (const auto& [number, owed] : book.bills)
        if (owed.pool == token_pool::solo && !stored.contains(owed.request))
            kept.bills[++kept.last_bill] = owed;
    m_kept_solo.push_back(std::move(kept));
}

std::vector<ledger_id> control_core::closable() const
{
    std::vector<ledger_id> found;
    const auto now = steady_clock::now();
    for (const auto& id : m_replicas.ids())
    {
        const auto owner = m_members.find(id.host);
        const bool known = owner != m_members.end();
        const bool silent =
            now - m_replicas.heard(id) > m_settings.close_after &&
            !(known && alive(owner->second, now, m_settings.close_after));
        const bool restarted =
            known && owner->second.beat.incarnation > id.incarnation;
        if (silent || restarted)
            found.push_back(id);
    }
    return found;
}

void control_core::adopt(const ledger_id& id,
                         const std::set<std::string>& stored_requests)
{
    const auto book = m_replicas.take_closed(id);
    adopt_operations(book, stored_requests);
    m_log->warn("event=ledger_adopted ledger={} reservations={} bills={}",
                to_string(id), book.reservations.size(), book.bills.size());
    publish_snapshot();
}

void control_core::adopt_operations(const ledger& book,
                                    const std::set<std::string>& stored)
{
    const auto add = [this](operation step)
    {
        static_cast<void>(m_owner.apply_now(std::move(step)));
    };
    for (const auto& [customer, held] : book.accounts)
        if (held.shared > 0)
            add(credit{customer, held.shared});
    for (const auto& [request, held] : book.reservations)
        if (held.pool == token_pool::shared)
            add(adopt_reservation{request, held.customer, held.tokens,
                                  held.endpoint, held.pool, held.origin});
    for (const auto& [number, owed] : book.bills)
        if (!stored.contains(owed.request))
            add(adopt_bill{owed.request, owed.customer, owed.tokens,
                           owed.endpoint, owed.pool, 0});
    for (const auto& request : book.recent_order)
        add(recall_request{request, book.recent.find(request)->second});
    for (const auto& origin : book.keys_of)
        add(adopt_keys{origin});
    for (const auto& [key, held] : book.claims)
    {
        add(claim_key{key, held.request});
        if (held.status != 0)
            add(answer_key{key, held.status, held.content_type, held.body});
    }
}

std::vector<doubtful_request> control_core::doubtful() const
{
    std::vector<doubtful_request> found;
    const auto& book = m_owner.book();
    for (const auto& [request, held] : book.reservations)
    {
        if (held.origin == book.id || held.pool == token_pool::solo)
            continue;
        const auto* const where =
            find(m_configuration.objects()->endpoints, held.endpoint);
        found.push_back({request, held.endpoint,
                         where == nullptr ? std::string() : where->address,
                         held.tokens, m_ended.contains(held.origin)});
    }
    return found;
}

void control_core::put_ended_ledgers(std::set<ledger_id> ended)
{
    m_ended = std::move(ended);
}

std::vector<ledger_id> control_core::own_ended_ledgers()
{
    std::vector<ledger_id> ended;
    for (const auto& [id, requests] : m_unfinished)
        if (requests.empty())
            ended.push_back(id);
    return ended;
}

void control_core::resolve(const doubtful_request& request, bool ran,
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
