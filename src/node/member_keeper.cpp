#include "member_keeper.hpp"

#include <algorithm> // max, rotate
#include <chrono>    // duration_cast, seconds
#include <set>       // set
#include <utility>   // exchange, move
#include <variant>   // get_if

#include <spdlog/spdlog.h> // info, warn

#include <rhubarbgrade/detail/base/address.hpp> // split_address
#include <rhubarbgrade/detail/base/hash.hpp>    // hash64

namespace rhubarbgrade
{

namespace
{

/// Hosts that a host without hubs asks in each period.
constexpr std::size_t strangers_asked = 3;

/// Silence after which a host that knows no hubs gets no more heartbeats.
constexpr std::chrono::seconds foreign_timeout{5};

/// Size of a datagram with reports, a few packets.
constexpr std::size_t max_news_bytes = 8000;
constexpr std::size_t report_overhead_bytes = 24;

/// Age up to which an observation makes a report a new one, so that other hosts
/// learn that it has been made again.
constexpr milliseconds recent_observation{500};

/// Shortest time between two reports that only repeat observations, for each
/// host of the fleet.
constexpr milliseconds refresh_per_host{10};
constexpr milliseconds min_refresh{500};

/// Time for which digests may differ while reports are on their way, and the
/// shortest time between two requests for what is missing.
constexpr milliseconds max_difference{1500};
constexpr milliseconds repair_interval{2000};

socket_address to_address(const std::string& text)
{
    auto [ip, port] = split_address(text);
    return {std::move(ip), static_cast<std::uint16_t>(port)};
}

milliseconds age_of(time_point_t at, time_point_t now)
{
    return std::chrono::duration_cast<milliseconds>(
        std::max(now - at, time_point_t::duration::zero()));
}

class hasher
{
public:
    void add(std::uint64_t value)
    {
        m_sum = hash64({reinterpret_cast<const char*>(&value), sizeof value},
                       m_sum);
    }

    void add(std::string_view text)
    {
        m_sum = hash64(text, m_sum);
    }

    std::uint64_t sum() const
    {
        return m_sum;
    }

private:
    std::uint64_t m_sum = 0;
};

/// Hash of what peers must learn, without ages.
std::uint64_t hash_content(const peer_heartbeat& heartbeat)
{
    hasher hash;
    hash.add(heartbeat.store_era);
    // The revision rises with each change in the store, and is sent anyway.
    hash.add(heartbeat.evacuations.revision != 0 ? 1 : 0);
    for (const auto& zone : heartbeat.evacuations.zones)
        hash.add(zone);
    hash.add(heartbeat.address);
    hash.add(heartbeat.zone);
    hash.add(heartbeat.relay_port);
    hash.add((heartbeat.can_write ? 1 : 0) + (heartbeat.store_failing ? 2 : 0) +
             (heartbeat.store_answers ? 4 : 0));
    for (const auto& crash : heartbeat.crashes.crashes)
    {
        hash.add(crash.process);
        for (const auto& [id, suspect] : crash.suspects)
        {
            hash.add(id);
            hash.add(suspect.cleared ? 1 : 0);
        }
    }
    for (const auto& each : heartbeat.crashes.quarantined)
    {
        hash.add(each.suspect);
        hash.add(each.released ? 1 : 0);
    }
    for (const auto* limits : {&heartbeat.limits, &heartbeat.brittle})
        for (const auto& each : *limits)
        {
            hash.add(each.process);
            hash.add(static_cast<std::uint64_t>(each.per_s * 1000));
            hash.add((each.named_age ? 1 : 0) + (each.unnamed_age ? 2 : 0) +
                     (each.rejected_age ? 4 : 0));
        }
    return hash.sum();
}

/// Whether something has been observed again, which the hash leaves out.
bool has_recent_observation(const peer_heartbeat& heartbeat)
{
    for (const auto* limits : {&heartbeat.limits, &heartbeat.brittle})
        for (const auto& each : *limits)
            for (const auto& age :
                 {each.named_age, each.unnamed_age, each.rejected_age})
                if (age && *age < recent_observation)
                    return true;
    return false;
}

/// Whether what a host reports must be known everywhere at once.
bool is_urgent(const peer_heartbeat& heartbeat)
{
    return heartbeat.store_failing || !heartbeat.crashes.crashes.empty() ||
           !heartbeat.limits.empty() || !heartbeat.brittle.empty();
}

} // namespace

member_keeper::member_keeper(const host_report& self, std::uint64_t started_ms,
                             member_callbacks callbacks)
    : m_callbacks(std::move(callbacks)),
      m_table(
          [&]
          {
              auto own = self;
              own.version.started = started_ms;
              return own;
          }(),
          hub_policy{}, m_callbacks.now())
{
}

void member_keeper::introduce(const escrow_book& book)
{
    for (const auto& [host, holding] : book.hosts)
        m_table.introduce({host,
                           holding.incarnation,
                           holding.zone,
                           to_address(holding.address),
                           holding.capacity,
                           {},
                           {},
                           {}});
}

peer_heartbeat member_keeper::make_heartbeat(time_point_t now)
{
    auto heartbeat = m_callbacks.current_heartbeat();
    const auto& self = m_table.self();
    heartbeat.address =
        self.address.ip + ":" + std::to_string(self.address.port);
    heartbeat.zone = self.zone;
    heartbeat.capacity = self.capacity;
    const auto hash = hash_content(heartbeat);
    const auto refresh = std::max<milliseconds>(
        min_refresh,
        refresh_per_host * static_cast<milliseconds::rep>(m_table.size()));
    const bool changed =
        hash != m_content_hash ||
        (has_recent_observation(heartbeat) && now - m_refreshed_at >= refresh);
    if (changed)
        m_refreshed_at = now;
    m_content_hash = hash;
    m_table.renew(changed, now);
    heartbeat.started = self.version.started;
    heartbeat.sequence = self.version.sequence;
    auto content = heartbeat;
    content.evidence.clear();
    m_table.set_content(encode_heartbeat(content));
    return heartbeat;
}

void member_keeper::send(const std::string& host, const std::string& bytes)
{
    const auto* const report = m_table.find(host);
    if (report == nullptr)
        return;
    m_counts.bytes_sent += bytes.size();
    m_callbacks.send(report->address, bytes);
}

void member_keeper::send_heartbeat(const std::string& host,
                                   const std::string& bytes)
{
    ++m_counts.heartbeats_sent;
    send(host, bytes);
}

void member_keeper::send_reports()
{
    const auto now = m_callbacks.now();
    auto heartbeat = make_heartbeat(now);
    const bool hub = m_table.acts_as_hub(now);
    heartbeat.asks_hub = true;
    const auto question = encode_heartbeat(heartbeat);
    heartbeat.asks_hub = false;
    for (const auto& host : m_table.choose_hubs(now))
        if (const auto* const known = m_table.find(host);
            !hub || known->version == report_version())
            send_heartbeat(host, question);
    if (const auto others = m_table.other_hubs(now); !hub && !others.empty())
    {
        const auto bytes = encode_heartbeat(heartbeat);
        for (const auto& host : others)
            send_heartbeat(host, bytes);
    }
    if (!m_table.connected(now))
    {
        auto without_evidence = heartbeat;
        without_evidence.evidence.clear();
        const auto bytes = encode_heartbeat(without_evidence);
        for (const auto& host : m_table.strangers(strangers_asked, now))
            send_heartbeat(host, bytes);
    }
    std::erase_if(m_foreign,
                  [now](const auto& each)
                  {
                      return now - each.second.heard_at > foreign_timeout;
                  });
    if (!m_foreign.empty())
    {
        const auto bytes = encode_heartbeat(heartbeat);
        for (const auto& [host, each] : m_foreign)
            send_heartbeat(host, bytes);
    }
    if (hub)
        send_news(heartbeat, now);
}

void member_keeper::send_news(const peer_heartbeat& heartbeat, time_point_t now)
{
    peer_news header;
    header.sender = heartbeat;
    header.hub = true;
    header.digest = m_table.digest();
    for (const auto& [zone, heard_at] : m_table.zones(now))
        header.zones[zone] = age_of(heard_at, now);
    const auto since = m_sent_at.back();
    std::rotate(m_sent_at.rbegin(), m_sent_at.rbegin() + 1, m_sent_at.rend());
    m_sent_at.front() = now;
    // A new hub has not heard of all hosts of its zone yet.
    if (m_table.settled_hub(now))
        header.evidence = m_callbacks.fleet_evidence();
    m_callbacks.add_changes(header, since);
    send_parts(m_table.zone_members(), header, m_table.changed_since("", since),
               now);
    std::vector<std::string> distant;
    std::string question;
    for (auto& host : m_table.choose_distant_hubs(now))
        if (m_table.find(host)->version != report_version())
            distant.push_back(std::move(host));
        else
        {
            if (question.empty())
                question = encode_heartbeat(heartbeat);
            send_heartbeat(host, question);
        }
    header.sender.evidence.clear();
    header.evidence.clear();
    header.changes.clear();
    if (m_table.settled_hub(now))
        header.evidence = m_callbacks.zone_evidence();
    send_parts(distant, std::move(header),
               m_table.changed_since(m_table.self().zone, since), now);
    // What is urgent is sent twice at once, in case that a datagram is lost.
    for (const auto& each : m_table.changed_since("", m_sent_at[1]))
        if (each.version.down || is_urgent(m_reports[each.host]))
            return m_callbacks.hasten();
}

void member_keeper::send_parts(const std::vector<std::string>& hosts,
                               peer_news header,
                               const std::vector<host_report>& reports,
                               time_point_t now)
{
    if (hosts.empty())
        return;
    // The last part has the changes, with the digest of the state after them.
    auto changes = std::exchange(header.changes, {});
    const auto flush = [&]
    {
        const auto bytes = encode_news(header);
        for (const auto& host : hosts)
        {
            ++m_counts.news_sent;
            send(host, bytes);
        }
        header.reports.clear();
        header.evidence.clear();
        header.sender.evidence.clear();
        header.sender.crashes = {};
        header.sender.limits.clear();
        header.sender.brittle.clear();
    };
    std::size_t bytes = 0;
    for (const auto& each : reports)
    {
        const auto size = each.content.size() + report_overhead_bytes;
        if (bytes + size > max_news_bytes && !header.reports.empty())
        {
            flush();
            bytes = 0;
        }
        bytes += size;
        header.reports.push_back(
            {each.content, age_of(each.made_at, now), each.version.down});
    }
    header.complete = true;
    header.changes = std::move(changes);
    flush();
}

bool member_keeper::merge(const peer_heartbeat& heartbeat, bool down,
                          time_point_t made_at, time_point_t now)
{
    auto content = heartbeat;
    content.evidence.clear();
    content.asks_hub = false;
    const bool is_new =
        m_table.merge({heartbeat.host,
                       heartbeat.incarnation,
                       heartbeat.zone,
                       to_address(heartbeat.address),
                       heartbeat.capacity,
                       {heartbeat.started, heartbeat.sequence, down},
                       encode_heartbeat(content),
                       made_at},
                      now);
    if (!is_new)
        return false;
    ++m_counts.new_reports;
    if (heartbeat.host == m_table.self().host)
    {
        m_callbacks.hasten();
        return true;
    }
    m_reports[heartbeat.host] = std::move(content);
    if (down)
        spdlog::debug("event=host_down host={} incarnation={} sequence={}",
                      heartbeat.host, heartbeat.incarnation,
                      heartbeat.sequence);
    if ((down || is_urgent(heartbeat)) && m_table.acts_as_hub(now))
        m_callbacks.hasten();
    return true;
}

void member_keeper::handle_heartbeat(const peer_heartbeat& heartbeat)
{
    const auto now = m_callbacks.now();
    ++m_counts.received;
    if (heartbeat.started == 0)
    {
        m_foreign[heartbeat.host].heard_at = now;
        m_table.record_foreign(heartbeat.host, now);
        m_reports[heartbeat.host] = heartbeat;
        m_callbacks.reported(heartbeat, now);
        return;
    }
    m_foreign.erase(heartbeat.host);
    merge(heartbeat, false, now, now);
    m_table.record_heard(heartbeat.host, heartbeat.asks_hub, false, now);
    m_callbacks.reported(heartbeat, now);
    const bool gets_news =
        m_table.acts_as_hub(now) && heartbeat.zone == m_table.self().zone;
    if ((!heartbeat.asks_hub && !gets_news) || is_outdated(heartbeat))
        answer_stranger(heartbeat, now);
}

bool member_keeper::is_outdated(const peer_heartbeat& heartbeat) const
{
    const auto* const known = m_table.find(heartbeat.host);
    return known != nullptr &&
           report_version{heartbeat.started, heartbeat.sequence, false} <
               known->version;
}

void member_keeper::answer_stranger(const peer_heartbeat& stranger,
                                    time_point_t now)
{
    std::vector<host_report> reports;
    for (const auto& host : m_table.hubs_of(stranger.zone, now))
        if (const auto* const hub = m_table.find(host); hub != nullptr)
            reports.push_back(*hub);
    if (const auto* const own = m_table.find(stranger.host);
        own != nullptr && is_outdated(stranger))
        reports.push_back(*own);
    std::erase_if(reports,
                  [](const auto& each)
                  {
                      return each.version == report_version();
                  });
    peer_news header;
    header.sender = make_heartbeat(now);
    header.sender.evidence.clear();
    send_parts({stranger.host}, std::move(header), reports, now);
}

void member_keeper::repair(const std::vector<shared_report>& reports)
{
    merge_reports(reports);
    // What is later here is missing there.
    const auto now = m_callbacks.now();
    std::vector<host_report> later;
    for (const auto& each : reports)
    {
        const auto decoded = decode_datagram(each.beat);
        if (!decoded)
            continue;
        if (const auto* const heartbeat =
                std::get_if<peer_heartbeat>(&*decoded);
            heartbeat != nullptr && !each.down && is_outdated(*heartbeat))
            later.push_back(*m_table.find(heartbeat->host));
    }
    if (later.empty() || m_repaired_from.empty())
        return;
    peer_news header;
    header.sender = make_heartbeat(now);
    header.sender.evidence.clear();
    send_parts({m_repaired_from}, std::move(header), later, now);
}

void member_keeper::merge_reports(const std::vector<shared_report>& reports)
{
    const auto now = m_callbacks.now();
    for (const auto& each : reports)
    {
        const auto decoded = decode_datagram(each.beat);
        if (!decoded)
        {
            spdlog::warn("report dropped: {}", decoded.error().message());
            continue;
        }
        const auto* const heartbeat = std::get_if<peer_heartbeat>(&*decoded);
        if (heartbeat == nullptr || heartbeat->started == 0)
            continue;
        const auto made_at = now - each.age;
        if (merge(*heartbeat, each.down, made_at, now) &&
            heartbeat->host != m_table.self().host)
            m_callbacks.reported(*heartbeat, made_at);
    }
}

void member_keeper::handle_news(const peer_news& news)
{
    const auto now = m_callbacks.now();
    ++m_counts.received;
    const auto& sender = news.sender;
    if (sender.started == 0 || sender.host == m_table.self().host)
        return;
    merge(sender, false, now, now);
    m_table.record_heard(sender.host, false, news.hub, now);
    m_callbacks.reported(sender, now);
    merge_reports(news.reports);
    if (is_outdated(sender))
        answer_stranger(sender, now);
    if (sender.zone == m_table.self().zone)
        for (const auto& [zone, age] : news.zones)
            m_table.record_zone(zone, now - age);
    if (news.hub && news.complete)
        compare_digests(news, now);
}

void member_keeper::compare_digests(const peer_news& news, time_point_t now)
{
    if (news.sender.zone != m_table.self().zone)
        return;
    if (news.digest == m_table.digest())
    {
        m_differs_since = {};
        return;
    }
    if (m_differs_since == time_point_t{})
        m_differs_since = now;
    if (now - m_differs_since < max_difference ||
        now - m_repaired_at < repair_interval)
        return;
    m_repaired_at = now;
    m_repaired_from = news.sender.host;
    ++m_counts.repairs;
    m_callbacks.request_reports(news.sender.host);
}

std::vector<shared_report> member_keeper::shared_reports() const
{
    const auto now = m_callbacks.now();
    std::vector<shared_report> reports;
    for (const auto& each : m_table.all())
        if (!each.content.empty())
            reports.push_back(
                {each.content, age_of(each.made_at, now), each.version.down});
    return reports;
}

void member_keeper::tick()
{
    const auto now = m_callbacks.now();
    const auto declared = m_table.advance(now);
    for (const auto& host : declared)
        spdlog::info("event=host_silent host={} known={}", host,
                     m_table.size());
    if (!declared.empty())
        m_callbacks.hasten();
}

std::vector<std::string> member_keeper::live_hosts(time_point_t now) const
{
    auto hosts = m_table.live_hosts(now);
    for (const auto& [host, each] : m_foreign)
        if (now - each.heard_at <= hub_policy{}.zone_silence)
            hosts.push_back(host);
    return hosts;
}

std::vector<const peer_heartbeat*>
member_keeper::live_reports(time_point_t now) const
{
    std::vector<const peer_heartbeat*> reports;
    for (const auto& host : live_hosts(now))
        if (const auto found = m_reports.find(host); found != m_reports.end())
            reports.push_back(&found->second);
    return reports;
}

socket_address member_keeper::address_of(const std::string& host) const
{
    const auto* const report = m_table.find(host);
    return report == nullptr ? socket_address{} : report->address;
}

std::string member_keeper::zone_of(const std::string& host) const
{
    const auto* const report = m_table.find(host);
    return report == nullptr ? std::string() : report->zone;
}

std::set<std::string> member_keeper::ips() const
{
    return m_table.ips();
}

bool member_keeper::acts_as_hub() const
{
    return m_table.acts_as_hub(m_callbacks.now());
}

void member_keeper::log_counts()
{
    const auto now = m_callbacks.now();
    spdlog::info("event=members known={} live={} earlier_version={} hub={} "
                 "connected={} heartbeats_sent={} news_sent={} bytes_sent={} "
                 "received={} new_reports={} repairs={}",
                 m_table.size(), live_hosts(now).size(), m_foreign.size(),
                 m_table.acts_as_hub(now), m_table.connected(now),
                 m_counts.heartbeats_sent, m_counts.news_sent,
                 m_counts.bytes_sent, m_counts.received, m_counts.new_reports,
                 m_counts.repairs);
    m_counts = {};
}

} // namespace rhubarbgrade
