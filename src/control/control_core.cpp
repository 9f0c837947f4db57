#include "control_core.hpp"

#include <algorithm> // find
#include <chrono>    // steady_clock, system_clock
#include <memory>    // make_shared
#include <string>    // string
#include <utility>   // exchange, move
#include <vector>    // vector

#include <nlohmann/json.hpp> // json
#include <spdlog/spdlog.h>   // logger

#include <rhubarbgrade/detail/base/clock.hpp>    // wall_milliseconds
#include <rhubarbgrade/detail/base/hash.hpp>     // hash64
#include <rhubarbgrade/detail/routing/slots.hpp> // assigned_slots

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;
using std::chrono::system_clock;

/// Hosts of the zone that get each heartbeat.
constexpr std::size_t beat_fanout = 3;

/// Counts of other hosts in a heartbeat; more of them travel in turn.
constexpr std::size_t beat_rows = 8;

/// Hosts of a zone that watch the configuration at the platform.
constexpr std::size_t watchers_per_zone = 2;

/// A quarantined request is told in heartbeats for so long.
constexpr std::chrono::seconds news_time{10};

std::uint64_t digest_of(const std::vector<listed_host>& hosts)
{
    std::string text;
    for (const auto& host : hosts)
        text += host.name + host.zone + host.address +
                (host.leaving ? "-\n" : "+\n");
    return hash64(text);
}

claim_answer answer_of(const claim& held)
{
    if (held.status == 0)
        return {claim_status::pending, 0, {}, {}};
    return {claim_status::answered, held.status, held.content_type, held.body};
}

} // namespace

control_core::control_core(const settings& read, kj::Network& network,
                           kj::Timer& timer,
                           std::shared_ptr<spdlog::logger> log,
                           core_hooks hooks)
    : m_settings(read),
      m_log(std::move(log)),
      m_hooks(std::move(hooks)),
      m_boot(wall_milliseconds()),
      m_random(hash64(read.host, m_boot)),
      m_peers(network, timer,
              [this](const std::string& host)
              {
                  return address_of(host);
              }),
      m_owner(
          [this](const replica_message& message)
          {
              return m_peers.replicate(message, m_settings.replicate_timeout);
          },
          [this]
          {
              m_log->warn("event=second_host_silent peer={}",
                          m_owner.second().host);
              m_hooks.wake_worker();
          }),
      m_replicas(m_boot),
      m_grants(read.draw, m_owner, m_peers, timer,
               {[this]
                {
                    return token_peer_hosts();
                },
                m_hooks.wake_worker}),
      m_tasks(*this)
{
}

void control_core::taskFailed(kj::Exception&& reason)
{
    m_log->debug("event=task_failed reason=\"{}\"",
                 reason.getDescription().cStr());
}

std::string control_core::address_of(const std::string& host) const
{
    const auto own = m_settings.peer_addresses.find(host);
    if (own != m_settings.peer_addresses.end())
        return own->second;
    const auto known = m_members.find(host);
    return known == m_members.end() ? std::string()
                                    : known->second.listed.address;
}

token_peers control_core::token_peer_hosts() const
{
    token_peers found;
    const auto now = steady_clock::now();
    for (const auto& [name, who] : m_members)
    {
        const bool home = who.listed.zone == m_settings.zone;
        if (name == m_settings.host || m_peers.failing(name))
            continue;
        if (home && alive(who, now, m_settings.suspect_after))
            found.zone.push_back(name);
        if (!home)
            found.remote.push_back(name);
    }
    return found;
}

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

void control_core::set_leaving(bool leaving)
{
    m_leaving = leaving;
    send_beats();
}

beat_message control_core::make_beat()
{
    beat_message beat = make_answer();
    beat.hosts = sample_beats(m_members, m_settings.host, beat_rows,
                              [this]
                              {
                                  return m_random();
                              });
    beat.hosts.push_back({m_settings.host, m_boot, ++m_beat_count, m_leaving});
    beat.evidence = m_moves.own();
    beat.leaving_endpoints.assign(m_leaving_endpoints.begin(),
                                  m_leaving_endpoints.end());
    return beat;
}

beat_message control_core::make_answer()
{
    beat_message beat;
    beat.sender = m_settings.host;
    beat.generation = m_configuration.generation();
    beat.host_list = m_host_list;
    beat.ends = m_moves.ends();
    // News only: what is told for ever would never expire.
    for (const auto& [fingerprint, entry] : m_quarantine.entries)
        if (steady_clock::now() - entry.last < news_time)
            beat.quarantined.push_back(fingerprint);
    return beat;
}

void control_core::take_beat(const beat_message& beat)
{
    const auto now = steady_clock::now();
    merge_beats(m_members, beat.hosts, now);
    const auto sender = m_members.find(beat.sender);
    if (sender == m_members.end())
        return;
    const bool same_zone = sender->second.listed.zone == m_settings.zone;
    // An answer to a heartbeat carries no hosts and no evidence.
    if (same_zone && !beat.hosts.empty())
    {
        m_moves.put_peer(beat.sender, beat.evidence, now);
        m_peer_leaving[beat.sender] = {beat.leaving_endpoints.begin(),
                                       beat.leaving_endpoints.end()};
    }
    if (same_zone)
    {
        take_quarantined(beat.quarantined, now);
        follow_host_list(beat);
    }
    m_moves.merge_ends(beat.ends);
    if (beat.generation > m_configuration.generation())
        fetch_from(beat.sender);
}

void control_core::take_quarantined(
    const std::vector<std::string>& fingerprints, time_point_t now)
{
    bool news = false;
    for (const auto& fingerprint : fingerprints)
    {
        if (quarantined(m_quarantine, fingerprint))
            continue;
        note_quarantined(m_quarantine, fingerprint, now);
        news = true;
    }
    if (news)
        publish_snapshot();
}

void control_core::fetch_from(const std::string& host)
{
    if (!m_fetching.insert(host).second)
        return;
    m_tasks.add(m_peers.manifest(host)
                    .then(
                        [this, host](const std::string& text)
                        {
                            kj::Vector<kj::Promise<void>> parts;
                            for (const auto& digest : offer_manifest(text))
                                parts.add(m_peers.part(host, digest)
                                              .then(
                                                  [this, digest](
                                                      const std::string& part)
                                                  {
                                                      offer_part(digest, part);
                                                  }));
                            return kj::joinPromises(parts.releaseAsArray());
                        })
                    .catch_([](kj::Exception&&) {})
                    .then(
                        [this, host]
                        {
                            m_fetching.erase(host);
                        }));
}

std::vector<std::string> control_core::offer_manifest(const std::string& text)
{
    auto missing = m_configuration.offer(text);
    offer_part({}, {});
    return missing;
}

void control_core::offer_part(const std::string& digest,
                              const std::string& text)
{
    m_configuration.offer_part(digest, text);
    if (!m_configuration.try_apply())
        return;
    m_log->info("event=configuration_in_force generation={}",
                m_configuration.generation());
    std::vector<std::string> customers;
    auto keys = std::make_shared<customer_keys_t>();
    for (const auto& [name, object] : m_configuration.objects()->customers)
    {
        customers.push_back(name);
        for (const auto& key : object.key_sha256)
            (*keys)[key] = name;
    }
    m_customer_keys = std::move(keys);
    m_grants.note_customers(customers);
    publish_snapshot();
    send_beats();
}

void control_core::take_hosts(const std::vector<listed_host>& hosts)
{
    merge_list(m_members, hosts);
    m_host_list = digest_of(hosts);
}

/// Hosts that don't read the list themselves get it from one that does.
void control_core::follow_host_list(const beat_message& beat)
{
    const bool behind = beat.host_list != m_host_list && beat.host_list != 0;
    if (!behind || watches() || !watches(beat.sender))
        return;
    m_tasks.add(m_peers.hosts(beat.sender)
                    .then(
                        [this](const std::vector<listed_host>& list)
                        {
                            take_hosts(list);
                        })
                    .catch_([](kj::Exception&&) {}));
}

void control_core::put_leaving_endpoints(
    std::set<std::string, std::less<>> leaving)
{
    const bool changed = leaving != m_leaving_endpoints;
    m_leaving_endpoints = std::move(leaving);
    if (!changed)
        return;
    publish_snapshot();
    send_beats();
}

bool control_core::watches() const
{
    return watches(m_settings.host);
}

bool control_core::watches(const std::string& host) const
{
    const auto hosts =
        live_hosts(m_members, m_settings.zone, m_settings.host,
                   steady_clock::now(), m_settings.suspect_after);
    const auto own = std::find(hosts.begin(), hosts.end(), host);
    const auto rank = static_cast<std::size_t>(own - hosts.begin());
    if (own == hosts.end())
        return host == m_settings.host;
    return rank < watchers_per_zone;
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

std::size_t control_core::host_count() const
{
    return std::max<std::size_t>(1, m_members.size());
}

void control_core::tick()
{
    expire(m_quarantine, steady_clock::now());
    ask_for_hosts();
    resume_if_heard();
    m_moves.tick(*m_configuration.objects(), steady_clock::now(),
                 system_clock::now());
    publish_snapshot();
    send_beats();
}

/// A host that starts while the platform is out of reach learns the others
/// from those that its settings name.
void control_core::ask_for_hosts()
{
    if (!m_members.empty())
        return;
    for (const auto& [host, address] : m_settings.peer_addresses)
        m_tasks.add(m_peers.hosts(host)
                        .then(
                            [this](const std::vector<listed_host>& list)
                            {
                                if (m_members.empty())
                                    take_hosts(list);
                            })
                        .catch_([](kj::Exception&&) {}));
}

void control_core::resume_if_heard()
{
    if (m_owner.state() != pairing::cut || m_owner.doubted())
        return;
    const auto second = m_members.find(m_owner.second().host);
    const bool heard =
        second != m_members.end() &&
        second->second.beat.incarnation == m_owner.second().boot &&
        steady_clock::now() - second->second.heard < 2 * m_settings.heartbeat;
    if (heard)
        m_owner.resume();
}

void control_core::send_beats()
{
    const auto targets = beat_targets(m_members, m_settings.host, beat_fanout,
                                      [this]
                                      {
                                          return m_random();
                                      });
    for (const auto& host : targets)
        m_tasks.add(m_peers.beat(host, make_beat())
                        .then(
                            [this](const beat_message& answer)
                            {
                                take_beat(answer);
                            })
                        .catch_([](kj::Exception&&) {}));
}

void control_core::publish_snapshot()
{
    auto shot = std::make_shared<routing_snapshot>();
    shot->generation = m_configuration.generation();
    shot->objects = m_configuration.objects();
    shot->customer_of_key = m_customer_keys;
    add_splits(*shot);
    shot->shares = shares_now();
    shot->leaving = m_leaving_endpoints;
    for (const auto& [host, endpoints] : m_peer_leaving)
        shot->leaving.insert(endpoints.begin(), endpoints.end());
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
