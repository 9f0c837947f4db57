#pragma once

#include <map>    // map
#include <string> // string
#include <vector> // vector

#include <rhubarbgrade/detail/base/types.hpp>     // time_point_t, wall_time_t
#include <rhubarbgrade/detail/config/objects.hpp> // object_set
#include <rhubarbgrade/detail/moves/evidence.hpp> // move_evidence_t
#include <rhubarbgrade/detail/moves/ramp.hpp>     // move_progress

namespace rhubarbgrade
{

/// @brief Evidence on several moves, by move key.
using evidence_table_t = std::map<std::string, move_evidence_t>;

/// @brief A move that has ended, as it is told to others.
struct move_end
{
    std::string key;
    move_state state = move_state::done;
    std::string reason;
};

/// @brief Follows the moves of the configuration in force.
///
/// Runs on the control thread only.
class move_tracker
{
public:
    /// @brief Adds samples of this router's own traffic.
    void add(const evidence_table_t& samples);

    /// @brief Replaces what is known of another router's evidence.
    void put_peer(const std::string& host, evidence_table_t evidence,
                  time_point_t now);

    /// @brief Takes over ends that others have seen.
    void merge_ends(const std::vector<move_end>& ends);

    /// @brief Decays evidence, judges it and advances every move.
    /// @return whether a share or a state changed
    bool tick(const object_set& objects, time_point_t now, wall_time_t day);

    /// @brief This router's own evidence.
    const evidence_table_t& own() const
    {
        return m_own;
    }

    /// @brief The moves that have ended.
    std::vector<move_end> ends() const;

    /// @brief Progress of a move, or null.
    const move_progress* find(const std::string& key) const;

private:
    struct peer_evidence
    {
        evidence_table_t evidence;
        time_point_t heard{};
    };

    move_evidence_t pooled(const std::string& key, time_point_t now) const;

    evidence_table_t m_own;
    std::map<std::string, peer_evidence> m_peers;
    std::map<std::string, move_progress> m_moves;
    time_point_t m_ticked{};
};

} // namespace rhubarbgrade
