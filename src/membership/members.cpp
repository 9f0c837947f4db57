#include <rhubarbgrade/detail/membership/members.hpp>

#include <algorithm>   // find_if, rotate, sort
#include <cstdint>     // uint64_t
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // pair
#include <vector>      // vector

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{
namespace
{

bool newer(const member_beat& beat, const member_beat& known)
{
    return std::pair(beat.incarnation, beat.count) >
           std::pair(known.incarnation, known.count);
}

std::string_view zone_of(const members_t& members, std::string_view host)
{
    const auto found = members.find(host);
    return found == members.end() ? std::string_view()
                                  : found->second.listed.zone;
}

/// The other hosts of a zone in the order of its hash ring, starting after
/// @a self.
std::vector<std::string> ring_after(const members_t& members,
                                    std::string_view zone,
                                    std::string_view self)
{
    using ring_entry = std::pair<std::uint64_t, std::string>;
    std::vector<ring_entry> ring;
    for (const auto& [name, state] : members)
        if (state.listed.zone == zone)
            ring.emplace_back(hash64(name), name);
    std::sort(ring.begin(), ring.end());
    const auto self_position = std::find_if(ring.begin(), ring.end(),
                                            [self](const ring_entry& entry)
                                            {
                                                return entry.second == self;
                                            });
    if (self_position != ring.end())
        std::rotate(ring.begin(), self_position, ring.end());
    std::vector<std::string> hosts;
    for (const auto& [hash, name] : ring)
        if (name != self)
            hosts.push_back(name);
    return hosts;
}

} // namespace

void merge_list(members_t& members, std::span<const listed_host> list)
{
    members_t updated;
    for (const auto& entry : list)
    {
        auto& current = updated[entry.name];
        const auto previous = members.find(entry.name);
        if (previous != members.end())
            current = previous->second;
        current.listed = entry;
        current.beat.host = entry.name;
    }
    members = std::move(updated);
}

void merge_beats(members_t& members, std::span<const member_beat> beats,
                 time_point_t now)
{
    for (const auto& beat : beats)
    {
        const auto found = members.find(beat.host);
        if (found == members.end() || !newer(beat, found->second.beat))
            continue;
        found->second.beat = beat;
        found->second.heard = now;
    }
}

bool alive(const member& state, time_point_t now, milliseconds silence)
{
    return state.heard != time_point_t{} && now - state.heard <= silence;
}

std::vector<std::string> live_hosts(const members_t& members,
                                    std::string_view zone,
                                    std::string_view self, time_point_t now,
                                    milliseconds silence)
{
    std::vector<std::string> hosts;
    for (const auto& [name, state] : members)
    {
        const bool live = name == self || alive(state, now, silence);
        if (state.listed.zone == zone && live)
            hosts.push_back(name);
    }
    return hosts;
}

std::vector<std::string> beat_targets(const members_t& members,
                                      std::string_view self, std::size_t fanout,
                                      const random_source_t& random)
{
    const auto zone = zone_of(members, self);
    auto targets = ring_after(members, zone, self);
    if (targets.size() > fanout)
        targets.resize(fanout);
    std::vector<std::string> other_zones;
    for (const auto& [name, state] : members)
        if (state.listed.zone != zone)
            other_zones.push_back(name);
    if (!other_zones.empty())
        targets.push_back(other_zones[random() % other_zones.size()]);
    return targets;
}

std::vector<member_beat> sample_beats(const members_t& members,
                                      std::string_view self, std::size_t limit,
                                      const random_source_t& random)
{
    std::vector<member_beat> beats;
    for (const auto& host : ring_after(members, zone_of(members, self), self))
    {
        const auto& beat = members.find(host)->second.beat;
        if (beat.count > 0)
            beats.push_back(beat);
    }
    while (beats.size() > limit)
    {
        beats[random() % beats.size()] = beats.back();
        beats.pop_back();
    }
    return beats;
}

std::string choose_replica_host(const members_t& members, std::string_view self,
                                time_point_t now, milliseconds silence)
{
    const auto hosts = ring_after(members, zone_of(members, self), self);
    for (const bool accept_leaving : {false, true})
        for (const auto& host : hosts)
        {
            const auto& state = members.find(host)->second;
            const bool leaving = state.listed.leaving || state.beat.leaving;
            if (alive(state, now, silence) && (accept_leaving || !leaving))
                return host;
        }
    return {};
}

} // namespace rhubarbgrade
