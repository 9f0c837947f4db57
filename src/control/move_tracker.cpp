#include "move_tracker.hpp"

#include <chrono>  // duration, seconds
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

namespace rhubarbgrade
{
namespace
{

/// Evidence of a router that has been silent for so long no longer counts.
constexpr std::chrono::seconds peer_evidence_time{10};

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

void move_tracker::put_peer(const std::string& host, evidence_table_t evidence,
                            time_point_t now)
{
    m_peers[host] = {std::move(evidence), now};
}

void move_tracker::merge_ends(const std::vector<move_end>& ends)
{
    for (const auto& end : ends)
        merge(m_moves[end.key], end.state, end.reason);
}

bool move_tracker::tick(const object_set& objects, time_point_t now,
                        wall_time_t day)
{
    const std::chrono::duration<double> passed = now - m_ticked;
    if (m_ticked != time_point_t{})
        for (auto& [key, evidence] : m_own)
            decay(evidence, passed.count());
    m_ticked = now;
    bool changed = false;
    for (const auto& [name, plan] : objects.moves)
    {
        const auto key = move_key(plan);
        auto& progress = m_moves[key];
        const auto before = progress;
        const auto found = judge(plan, pooled(key, now));
        progress = advance(plan, before, found, day);
        changed |=
            progress.state != before.state || progress.share != before.share;
    }
    return changed;
}

move_evidence_t move_tracker::pooled(const std::string& key,
                                     time_point_t now) const
{
    move_evidence_t sum;
    const auto own = m_own.find(key);
    if (own != m_own.end())
        merge(sum, own->second);
    for (const auto& [host, peer] : m_peers)
    {
        const auto theirs = peer.evidence.find(key);
        const bool fresh = now - peer.heard < peer_evidence_time;
        if (fresh && theirs != peer.evidence.end())
            merge(sum, theirs->second);
    }
    return sum;
}

std::vector<move_end> move_tracker::ends() const
{
    std::vector<move_end> known;
    for (const auto& [key, progress] : m_moves)
        if (ended(progress.state))
            known.push_back({key, progress.state, progress.reason});
    return known;
}

const move_progress* move_tracker::find(const std::string& key) const
{
    const auto found = m_moves.find(key);
    return found == m_moves.end() ? nullptr : &found->second;
}

} // namespace rhubarbgrade
