#include "move_tracker.hpp"

#include <chrono>  // duration, seconds
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

namespace rhubarbgrade
{
namespace
{

/// Evidence of another router is ignored when it is older than this.
constexpr std::chrono::seconds peer_evidence_ttl{10};

bool ended(move_state state)
{
    return state == move_state::done || state == move_state::taken_back;
}

} // namespace

void move_tracker::add(const evidence_table_t& samples)
{
    for (const auto& [key, evidence] : samples)
        merge(m_own[key], evidence);
}

void move_tracker::set_peer_evidence(const std::string& host,
                                     evidence_table_t evidence,
                                     time_point_t now)
{
    m_peers[host] = {std::move(evidence), now};
}

void move_tracker::merge_ends(const std::vector<move_end>& ends)
{
    for (const auto& entry : ends)
        merge(m_moves[entry.key], entry.state, entry.reason);
}

bool move_tracker::tick(const object_set& objects, time_point_t now,
                        wall_time_t wall_now)
{
    const std::chrono::duration<double> elapsed = now - m_last_tick;
    if (m_last_tick != time_point_t{})
        for (auto& [key, evidence] : m_own)
            decay(evidence, elapsed.count());
    m_last_tick = now;
    bool changed = false;
    for (const auto& [name, plan] : objects.moves)
    {
        const auto key = move_key(plan);
        auto& progress = m_moves[key];
        const auto previous = progress;
        const auto judged = judge(plan, pooled_evidence(key, now));
        progress = advance(plan, previous, judged, wall_now);
        changed |= progress.state != previous.state ||
                   progress.share != previous.share;
    }
    return changed;
}

move_evidence_t move_tracker::pooled_evidence(const std::string& key,
                                              time_point_t now) const
{
    move_evidence_t sum;
    const auto own = m_own.find(key);
    if (own != m_own.end())
        merge(sum, own->second);
    for (const auto& [host, peer] : m_peers)
    {
        const auto match = peer.evidence.find(key);
        const bool fresh = now - peer.received < peer_evidence_ttl;
        if (fresh && match != peer.evidence.end())
            merge(sum, match->second);
    }
    return sum;
}

std::vector<move_end> move_tracker::ends() const
{
    std::vector<move_end> final_states;
    for (const auto& [key, progress] : m_moves)
        if (ended(progress.state))
            final_states.push_back({key, progress.state, progress.reason});
    return final_states;
}

const move_progress* move_tracker::find(const std::string& key) const
{
    const auto found = m_moves.find(key);
    return found == m_moves.end() ? nullptr : &found->second;
}

} // namespace rhubarbgrade
