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

/// @brief Evidence on moves, by move key.
using evidence_table_t = std::map<std::string, move_evidence_t>;

/// @brief Final state of a move, as exchanged with other routers and stored on
///        the platform.
struct move_end
{
    std::string key;
    move_state state = move_state::done; ///< done or taken_back
    std::string reason;                  ///< of a move taken back
};

/// @brief Progress of the moves of the configuration in force, driven by the
///        evidence of this router and of its zone's other routers.
///
/// Used on the control thread only.
class move_tracker
{
public:
    /// @brief Adds evidence from this router's own traffic.
    void add(const evidence_table_t& samples);

    /// @brief Replaces the evidence of another router.
    void set_peer_evidence(const std::string& host, evidence_table_t evidence,
                           time_point_t now);

    /// @brief Merges final states that other routers have reached.
    void merge_ends(const std::vector<move_end>& ends);

    /// @brief Decays this router's evidence, then judges the evidence on each
    ///        move and advances the move accordingly.
    /// @param[in] objects   the configuration in force
    /// @param[in] now       monotonic time, for the decay
    /// @param[in] wall_now  time of day, for the schedules of moves
    /// @return whether a share or a state changed
    bool tick(const object_set& objects, time_point_t now,
              wall_time_t wall_now);

    /// @brief This router's own evidence.
    const evidence_table_t& own() const
    {
        return m_own;
    }

    /// @brief Final states of all moves that have ended.
    std::vector<move_end> ends() const;

    /// @brief Progress of a move, or null.
    const move_progress* find(const std::string& key) const;

private:
    struct peer_evidence
    {
        evidence_table_t evidence;
        time_point_t received{};
    };

    /// Sum of this router's evidence on a move and that received recently.
    move_evidence_t pooled_evidence(const std::string& key,
                                    time_point_t now) const;

    evidence_table_t m_own;
    std::map<std::string, peer_evidence> m_peers; ///< by host
    std::map<std::string, move_progress> m_moves; ///< by move key
    time_point_t m_last_tick{};
};

} // namespace rhubarbgrade
