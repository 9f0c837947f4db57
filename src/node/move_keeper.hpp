#pragma once

#include <functional> // function
#include <map>        // map
#include <set>        // set
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/any_io_executor.hpp> // any_io_executor

#include <rhubarbgrade/detail/fleet/fleet_view.hpp> // trial_split
#include <rhubarbgrade/detail/fleet/move_order.hpp> // move_order
#include <rhubarbgrade/detail/moves/evidence.hpp>   // move_evidence_t
#include <rhubarbgrade/detail/moves/trial.hpp>      // trial_policy

#include "../gateway/traffic_context.hpp" // version_sample
#include "../peers/peer_state.hpp"        // shared_evidence, shared_move

namespace rhubarbgrade
{

class store_client;

/// @brief Runs the moves of services to new versions: collects evidence on the
///        version on trial, decides the traffic split and writes the outcome
///        to the store.
///
/// All members run on the control thread.
class move_keeper
{
public:
    move_keeper(boost::asio::any_io_executor executor, store_client& store);

    /// @brief Inserts or updates a move; a new target starts a new trial. An
    ///        older state of an order is ignored.
    /// @param[in] era  of the store that had the order
    void apply_order(const move_order& order, time_point_t now,
                     std::uint64_t era);

    void remove(const std::string& service);

    /// @brief Forgets the moves of all services but these.
    void retain(const std::set<std::string>& services);

    /// @brief Adds an attempt to the evidence on its service's move, if any.
    void record_sample(const version_sample& sample);

    /// @brief Replaces the evidence of a host that reports to this one.
    void set_peer_evidence(const std::string& peer,
                           const shared_evidence& evidence);

    /// @brief Replaces the evidence of a host that knows no hubs.
    void set_foreign_evidence(const std::string& peer,
                              const shared_evidence& evidence);

    /// @brief Replaces the sum of another zone's evidence on a move.
    void set_zone_evidence(const std::string& zone,
                           const shared_evidence& evidence);

    /// @brief Replaces the sum of all hosts' evidence, this one's included, as
    ///        a hub has it.
    void set_fleet_evidence(const std::vector<shared_evidence>& evidence,
                            time_point_t now);

    /// @brief Evidence of this host and of those that report to it.
    std::vector<shared_evidence> zone_evidence() const;

    /// @brief The same with the sums of the other zones.
    std::vector<shared_evidence> fleet_evidence() const;

    /// @brief This host's evidence on the running moves, for its peers.
    std::vector<shared_evidence> evidence() const;

    /// @brief All known moves with the time since each was first seen.
    std::vector<shared_move> moves(time_point_t now) const;

    /// @brief Decays the evidence, decides the next step of each running move
    ///        and writes the outcomes that have been decided.
    /// @param[in] first  this host writes at once; others only if it does not
    /// @note Call it periodically; failed writes are retried.
    void tick(time_point_t now, bool first);

    /// @brief Current traffic split by service.
    std::map<std::string, trial_split, std::less<>> splits() const;

private:
    struct tracked_move
    {
        move_order order;
        std::uint64_t era = 0; ///< of the store that had the order
        time_point_t first_seen{};
        time_point_t decayed_at{};
        move_evidence_t evidence;                     ///< of this host, decayed
        std::map<std::string, move_evidence_t> peers; ///< by host
        std::map<std::string, move_evidence_t> foreign; ///< by host
        std::map<std::string, move_evidence_t> zones;   ///< sums, by zone
        move_evidence_t fleet;   ///< sum of all, as a hub has it
        time_point_t fleet_at{}; ///< when it was received
        trial_step step;
        time_point_t decided_at{}; ///< when the step ended the move
        bool writing = false;      ///< a write of the outcome is in flight
    };

    /// Evidence of this host and its peers, and of other zones.
    static move_evidence_t pool(const tracked_move& move, bool all_zones);
    using evidence_source_t =
        std::function<move_evidence_t(const tracked_move&)>;
    /// Evidence on the running moves, of a size that fits into a message.
    std::vector<shared_evidence>
    running_evidence(const evidence_source_t& evidence_of) const;
    static void log_decision(const tracked_move& move,
                             const move_evidence_t& evidence, time_point_t now);
    boost::asio::awaitable<void> write_status(std::string service,
                                              move_order order);

    boost::asio::any_io_executor m_executor;
    store_client& m_store;
    trial_policy m_policy;
    std::map<std::string, tracked_move, std::less<>> m_moves;
};

} // namespace rhubarbgrade
