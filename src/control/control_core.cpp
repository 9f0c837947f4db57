#include "control_core.hpp"

#include <algorithm> // find
#include <chrono>    // steady_clock, system_clock
#include <memory>    // make_shared
#include <string>    // string
#include <utility>   // exchange, move
#include <vector>    // vector

#include <spdlog/spdlog.h> // logger

#include <rhubarbgrade/detail/base/clock.hpp> // wall_milliseconds
#include <rhubarbgrade/detail/base/hash.hpp>  // hash64

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
    beat.leaving_reports.push_back(
        {m_settings.host, m_boot, m_beat_count, m_leaving_endpoints});
    for (const auto& [host, heard] : m_heard_reports)
        beat.leaving_reports.push_back(heard.report);
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
        m_moves.put_peer(beat.sender, beat.evidence, now);
    take_reports(beat, now);
    if (same_zone)
    {
        take_quarantined(beat.quarantined, now);
        follow_host_list(beat);
    }
    m_moves.merge_ends(beat.ends);
    if (beat.generation > m_configuration.generation())
        fetch_from(beat.sender);
}

void control_core::take_reports(const beat_message& beat, time_point_t now)
{
    const bool changed = merge_reports(m_heard_reports, beat.leaving_reports,
                                       m_settings.host, m_members, now);
    if (changed)
        publish_snapshot();
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

void control_core::put_leaving_endpoints(leaving_set_t leaving)
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

} // namespace rhubarbgrade
