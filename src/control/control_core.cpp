#include "control_core.hpp"

#include <algorithm> // find, max
#include <chrono>    // steady_clock, system_clock
#include <memory>    // make_shared
#include <string>    // string
#include <utility>   // move
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

/// Number of hosts of the own zone that each heartbeat is sent to.
constexpr std::size_t beat_fanout = 3;

/// Maximum number of other hosts' counts in a heartbeat. In a larger zone, each
/// heartbeat carries a random sample.
constexpr std::size_t max_beat_hosts = 8;

/// Number of hosts of a zone that read the configuration, the host list and the
/// ends of moves from the platform.
constexpr std::size_t watchers_per_zone = 2;

/// How long heartbeats announce a quarantined request.
constexpr std::chrono::seconds quarantine_announcement_time{10};

std::uint64_t host_list_digest(const std::vector<listed_host>& hosts)
{
    std::string text;
    for (const auto& host : hosts)
        text += host.name + host.zone + host.address +
                (host.leaving ? "-\n" : "+\n");
    return hash64(text);
}

} // namespace

control_core::control_core(const settings& options, kj::Network& network,
                           kj::Timer& timer,
                           std::shared_ptr<spdlog::logger> log,
                           core_hooks hooks)
    : m_settings(options),
      m_log(std::move(log)),
      m_hooks(std::move(hooks)),
      m_boot(wall_milliseconds()),
      m_random(hash64(options.host, m_boot)),
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
      m_grants(options.draw, m_owner, m_peers, timer,
               {[this]
                {
                    return current_peers();
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
    const auto configured = m_settings.peer_addresses.find(host);
    if (configured != m_settings.peer_addresses.end())
        return configured->second;
    const auto match = m_members.find(host);
    return match == m_members.end() ? std::string()
                                    : match->second.listed.address;
}

reachable_peers control_core::current_peers() const
{
    reachable_peers peers;
    const auto now = steady_clock::now();
    for (const auto& [name, peer] : m_members)
    {
        const bool own_zone = peer.listed.zone == m_settings.zone;
        if (name == m_settings.host || m_peers.failing(name))
            continue;
        if (own_zone && alive(peer, now, m_settings.suspect_after))
            peers.zone_hosts.push_back(name);
        if (!own_zone)
            peers.remote_hosts.push_back(name);
    }
    return peers;
}

void control_core::set_leaving(bool leaving)
{
    m_leaving = leaving;
    send_beats();
}

heartbeat_message control_core::make_beat()
{
    heartbeat_message beat = make_heartbeat_response();
    beat.hosts = sample_beats(m_members, m_settings.host, max_beat_hosts,
                              [this]
                              {
                                  return m_random();
                              });
    beat.hosts.push_back({m_settings.host, m_boot, ++m_beat_count, m_leaving});
    beat.evidence = m_moves.own();
    beat.leaving_reports.push_back(
        {m_settings.host, m_boot, m_beat_count, m_leaving_endpoints});
    for (const auto& [host, received] : m_leaving_reports)
        beat.leaving_reports.push_back(received.report);
    return beat;
}

heartbeat_message control_core::make_heartbeat_response()
{
    heartbeat_message beat;
    beat.sender = m_settings.host;
    beat.generation = m_configuration.generation();
    beat.host_list = m_host_list_digest;
    beat.ends = m_moves.ends();
    // Announced for a limited time only: otherwise hosts whose entry expired
    // would receive it again, and it would never expire in the zone.
    for (const auto& [fingerprint, entry] : m_quarantine.entries)
        if (steady_clock::now() - entry.last < quarantine_announcement_time)
            beat.quarantined.push_back(fingerprint);
    return beat;
}

void control_core::take_beat(const heartbeat_message& beat)
{
    const auto now = steady_clock::now();
    merge_beats(m_members, beat.hosts, now);
    const auto sender = m_members.find(beat.sender);
    if (sender == m_members.end())
        return;
    const bool same_zone = sender->second.listed.zone == m_settings.zone;
    // A response to a heartbeat carries no host counts and no evidence.
    if (same_zone && !beat.hosts.empty())
        m_moves.set_peer_evidence(beat.sender, beat.evidence, now);
    merge_leaving_reports(beat, now);
    if (same_zone)
    {
        merge_quarantined(beat.quarantined, now);
        fetch_changed_host_list(beat);
    }
    m_moves.merge_ends(beat.ends);
    if (beat.generation > m_configuration.generation())
        fetch_configuration(beat.sender);
}

void control_core::merge_leaving_reports(const heartbeat_message& beat,
                                         time_point_t now)
{
    const bool changed = merge_reports(m_leaving_reports, beat.leaving_reports,
                                       m_settings.host, m_members, now);
    if (changed)
        publish_snapshot();
}

void control_core::merge_quarantined(
    const std::vector<std::string>& fingerprints, time_point_t now)
{
    bool added = false;
    for (const auto& fingerprint : fingerprints)
    {
        if (quarantined(m_quarantine, fingerprint))
            continue;
        mark_quarantined(m_quarantine, fingerprint, now);
        added = true;
    }
    if (added)
        publish_snapshot();
}

void control_core::fetch_configuration(const std::string& host)
{
    if (!m_fetch_sources.insert(host).second)
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
                            m_fetch_sources.erase(host);
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
    m_grants.update_customers(customers);
    publish_snapshot();
    send_beats();
}

void control_core::take_hosts(const std::vector<listed_host>& hosts)
{
    merge_list(m_members, hosts);
    m_host_list_digest = host_list_digest(hosts);
}

/// Hosts that don't read the host list from the platform fetch a changed list
/// from a host that does.
void control_core::fetch_changed_host_list(const heartbeat_message& beat)
{
    const bool behind =
        beat.host_list != m_host_list_digest && beat.host_list != 0;
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

void control_core::publish_leaving_endpoints(leaving_set_t leaving)
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
    const auto position = std::find(hosts.begin(), hosts.end(), host);
    const auto rank = static_cast<std::size_t>(position - hosts.begin());
    if (position == hosts.end())
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
    fetch_first_host_list();
    resume_if_second_is_alive();
    m_moves.tick(*m_configuration.objects(), steady_clock::now(),
                 system_clock::now());
    publish_snapshot();
    send_beats();
}

/// A host that starts while the platform is unreachable fetches the host list
/// from the peers named in its settings.
void control_core::fetch_first_host_list()
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

void control_core::resume_if_second_is_alive()
{
    if (m_owner.state() != pairing::cut || m_owner.closure_reported())
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
                            [this](const heartbeat_message& answer)
                            {
                                take_beat(answer);
                            })
                        .catch_([](kj::Exception&&) {}));
}

} // namespace rhubarbgrade
