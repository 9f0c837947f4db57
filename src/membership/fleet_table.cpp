#include <rhubarbgrade/detail/membership/fleet_table.hpp>

#include <algorithm> // find, max, min
#include <utility>   // move, pair, swap

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{

namespace
{

std::uint64_t hash_of(const host_report& report)
{
    const auto& version = report.version;
    return hash64(report.host, version.started * 31 + version.sequence * 2 +
                                   (version.down ? 1 : 0));
}

} // namespace

fleet_table::fleet_table(host_report self, const hub_policy& policy,
                         time_point_t now)
    : m_self(std::move(self)),
      m_policy(policy),
      m_started(now),
      m_advanced_at(now)
{
    m_self.version.sequence = 1;
    m_self.made_at = now;
}

void fleet_table::introduce(const host_report& row)
{
    if (row.host == m_self.host)
        return;
    auto& known = m_members[row.host];
    if (known.report.version == report_version{})
        known.report = row;
}

void fleet_table::renew(bool changed, time_point_t now)
{
    m_self.made_at = now;
    if (!changed)
        return;
    ++m_self.version.sequence;
}

void fleet_table::set_content(std::string content)
{
    m_self.content = std::move(content);
}

bool fleet_table::merge(const host_report& report, time_point_t now)
{
    if (report.host == m_self.host)
    {
        // A report on an earlier process, or a wrong one on this: the next one
        // of this process has to be the latest.
        if (report.version < m_self.version ||
            (!report.version.down && report.version == m_self.version))
            return false;
        m_self.version.started =
            std::max(m_self.version.started, report.version.started);
        m_self.version.sequence =
            std::max(m_self.version.sequence, report.version.sequence) + 1;
        return true;
    }
    auto& known = m_members[report.host];
    if (report.version <= known.report.version)
        return false;
    known.report = report;
    known.changed_at = now;
    return true;
}

void fleet_table::record_heard(const std::string& host, bool asks, bool is_hub,
                               time_point_t now)
{
    const auto found = m_members.find(host);
    if (found == m_members.end())
        return;
    auto& known = found->second;
    m_heard_at = now;
    known.heard_at = now;
    known.avoid_until = {};
    if (is_hub)
        known.hub_heard_at = now;
    if (asks || is_hub)
        known.reported_at = now;
    if (asks)
        m_asked_at = now;
    record_zone(known.report.zone, now);
}

void fleet_table::record_foreign(const std::string& host, time_point_t now)
{
    const auto found = m_members.find(host);
    if (found == m_members.end())
        return;
    found->second.avoid_until = now + m_policy.avoid;
    record_zone(found->second.report.zone, now);
}

void fleet_table::record_zone(const std::string& zone, time_point_t heard_at)
{
    auto& known = m_zones[zone];
    known = std::max(known, heard_at);
}

void fleet_table::shift(time_point_t::duration gap)
{
    for (auto& [host, each] : m_members)
        for (auto* const at :
             {&each.heard_at, &each.hub_heard_at, &each.reported_at,
              &each.asked_since, &each.avoid_until})
            if (*at != time_point_t{})
                *at += gap;
    for (auto& [zone, at] : m_zones)
        at += gap;
    for (auto* const at : {&m_hub_since, &m_heard_at})
        if (*at != time_point_t{})
            *at += gap;
}

std::vector<std::string> fleet_table::advance(time_point_t now)
{
    if (now - m_advanced_at > m_policy.frozen)
        shift(now - m_advanced_at);
    m_advanced_at = now;
    if (!acts_as_hub(now))
    {
        m_hub_since = {};
        return {};
    }
    if (m_hub_since == time_point_t{})
        m_hub_since = now;
    // If all are silent, this host is cut off rather than all others dead.
    if (now - m_heard_at > m_policy.silence)
        return {};
    std::vector<std::string> declared;
    for (auto& [host, each] : m_members)
    {
        if (each.report.zone != m_self.zone || each.report.version.down ||
            each.report.version == report_version{})
            continue;
        // A host that has reported to others so far must learn of this hub
        // first, and then has the usual time.
        const bool reported = each.reported_at + 2 * m_policy.silence > now;
        const auto since =
            reported ? each.heard_at
                     : std::max(each.heard_at, m_hub_since + m_policy.silence);
        if (now - since <= m_policy.silence)
            continue;
        each.report.version.down = true;
        each.changed_at = now;
        declared.push_back(host);
    }
    return declared;
}

bool fleet_table::effectively_down(const member& each, time_point_t now) const
{
    return each.report.version.down &&
           now - each.changed_at >= m_policy.objection;
}

bool fleet_table::can_be_hub(const member& each, time_point_t now) const
{
    return now >= each.avoid_until && !effectively_down(each, now);
}

template <typename Predicate>
std::vector<std::string> fleet_table::best_hosts(std::string_view zone,
                                                 Predicate eligible) const
{
    using rank_t = std::pair<double, std::uint64_t>;
    std::vector<std::pair<rank_t, std::string_view>> best;
    const auto consider = [&](const host_report& report)
    {
        best.push_back({{report.capacity, hash64(report.host)}, report.host});
        for (auto i = best.size() - 1; i > 0 && best[i - 1] < best[i]; --i)
            std::swap(best[i - 1], best[i]);
        if (best.size() > m_policy.hubs)
            best.pop_back();
    };
    if (zone == m_self.zone)
        consider(m_self);
    for (const auto& [host, each] : m_members)
        if (each.report.zone == zone && eligible(each))
            consider(each.report);
    std::vector<std::string> hosts;
    hosts.reserve(best.size());
    for (const auto& [rank, host] : best)
        hosts.emplace_back(host);
    return hosts;
}

std::vector<std::string> fleet_table::hubs_of(std::string_view zone,
                                              time_point_t now) const
{
    return best_hosts(zone,
                      [&](const member& each)
                      {
                          return can_be_hub(each, now);
                      });
}

std::vector<std::string> fleet_table::answering_hubs(std::string_view zone,
                                                     time_point_t now)
{
    auto hubs = hubs_of(zone, now);
    for (bool replaced = true; replaced;)
    {
        replaced = false;
        for (const auto& host : hubs)
        {
            if (host == m_self.host)
                continue;
            auto& known = m_members.at(host);
            if (known.asked_since == time_point_t{})
                known.asked_since = now;
            if (now - std::max(known.asked_since, known.heard_at) <=
                m_policy.hub_silence)
                continue;
            known.avoid_until = now + m_policy.avoid;
            known.asked_since = {};
            replaced = true;
        }
        if (replaced)
            hubs = hubs_of(zone, now);
    }
    return hubs;
}

std::vector<std::string> fleet_table::choose_hubs(time_point_t now)
{
    auto hubs = answering_hubs(m_self.zone, now);
    std::erase(hubs, m_self.host);
    for (auto& [host, each] : m_members)
        if (each.report.zone == m_self.zone &&
            std::find(hubs.begin(), hubs.end(), host) == hubs.end())
            each.asked_since = {};
    return hubs;
}

std::vector<std::string> fleet_table::other_hubs(time_point_t now) const
{
    const auto chosen = hubs_of(m_self.zone, now);
    std::vector<std::string> others;
    for (const auto& [host, each] : m_members)
        if (each.report.zone == m_self.zone &&
            now - each.hub_heard_at < m_policy.asked &&
            std::find(chosen.begin(), chosen.end(), host) == chosen.end())
            others.push_back(host);
    return others;
}

std::vector<std::string> fleet_table::choose_distant_hubs(time_point_t now)
{
    std::set<std::string> zones;
    for (const auto& [host, each] : m_members)
        if (each.report.zone != m_self.zone)
            zones.insert(each.report.zone);
    std::vector<std::string> all;
    for (const auto& zone : zones)
        for (auto& host : answering_hubs(zone, now))
            all.push_back(std::move(host));
    return all;
}

std::vector<std::string> fleet_table::strangers(std::size_t count,
                                                time_point_t now)
{
    auto chosen = best_hosts(m_self.zone,
                             [](const member&)
                             {
                                 return true;
                             });
    std::erase(chosen, m_self.host);
    std::vector<std::string> names;
    for (const auto& [host, each] : m_members)
        if (now - each.heard_at > m_policy.hub_silence)
            names.push_back(host);
    for (std::size_t i = 0; i < std::min(count, names.size()); ++i)
        chosen.push_back(
            names[(hash64(m_self.host) + m_next_stranger++) % names.size()]);
    return chosen;
}

std::vector<std::string> fleet_table::zone_members() const
{
    std::vector<std::string> names;
    for (const auto& [host, each] : m_members)
        if (each.report.zone == m_self.zone && !each.report.version.down &&
            each.report.version != report_version{})
            names.push_back(host);
    return names;
}

std::vector<host_report> fleet_table::changed_since(std::string_view zone,
                                                    time_point_t since) const
{
    std::vector<host_report> reports;
    const auto add = [&](const host_report& report, time_point_t changed_at)
    {
        if ((zone.empty() || report.zone == zone) && changed_at >= since)
            reports.push_back(report);
    };
    for (const auto& [host, each] : m_members)
        if (each.report.version != report_version{})
            add(each.report, each.changed_at);
    return reports;
}

std::set<std::string> fleet_table::ips() const
{
    std::set<std::string> ips{m_self.address.ip};
    for (const auto& [host, each] : m_members)
        ips.insert(each.report.address.ip);
    return ips;
}

std::vector<host_report> fleet_table::all() const
{
    std::vector<host_report> reports{m_self};
    for (const auto& [host, each] : m_members)
        if (each.report.version != report_version{})
            reports.push_back(each.report);
    return reports;
}

const host_report* fleet_table::find(std::string_view host) const
{
    const auto found = m_members.find(host);
    return found == m_members.end() ? nullptr : &found->second.report;
}

time_point_t fleet_table::own_zone_heard() const
{
    const auto found = m_zones.find(m_self.zone);
    return found == m_zones.end() ? time_point_t{} : found->second;
}

std::map<std::string, time_point_t> fleet_table::zones(time_point_t now) const
{
    auto zones = m_zones;
    zones[m_self.zone] = now;
    return zones;
}

std::uint64_t fleet_table::digest() const
{
    auto sum = hash_of(m_self);
    for (const auto& [host, each] : m_members)
        if (each.report.version != report_version{})
            sum ^= hash_of(each.report);
    return sum;
}

std::vector<std::string> fleet_table::live_hosts(time_point_t now) const
{
    std::vector<std::string> hosts{m_self.host};
    std::set<std::string_view> heard;
    for (const auto& [zone, at] : m_zones)
        if (now - at < m_policy.zone_silence)
            heard.insert(zone);
    for (const auto& [host, each] : m_members)
        if (each.report.version != report_version{} &&
            heard.contains(each.report.zone) && !effectively_down(each, now))
            hosts.push_back(host);
    return hosts;
}

bool fleet_table::connected(time_point_t now) const
{
    bool alone = true;
    for (const auto& [host, each] : m_members)
    {
        if (each.report.zone != m_self.zone)
            continue;
        alone = false;
        if (now - each.hub_heard_at < m_policy.hub_silence)
            return true;
    }
    return alone;
}

bool fleet_table::settled_hub(time_point_t now) const
{
    return m_hub_since != time_point_t{} &&
           now - m_hub_since >= m_policy.hub_silence;
}

bool fleet_table::acts_as_hub(time_point_t now) const
{
    if (m_speaks || now - m_asked_at < m_policy.asked)
        return true;
    const auto hubs = hubs_of(m_self.zone, now);
    if (std::find(hubs.begin(), hubs.end(), m_self.host) != hubs.end())
        return true;
    // Cut off from its zone, a host speaks for itself.
    return now - std::max(own_zone_heard(), m_started) > m_policy.zone_silence;
}

} // namespace rhubarbgrade
