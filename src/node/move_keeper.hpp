#pragma once

#include <map>    // map
#include <string> // string
#include <vector> // vector

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

/// @brief Follows the moves in the store, judges the versions on trial and
///        writes how each move ends.
class move_keeper
{
public:
    move_keeper(boost::asio::any_io_executor executor, store_client& store);

    void put(const move_order& order, time_point_t now);
    void remove(const std::string& service);
    void note(const version_sample& sample);

    /// @brief Takes over what other hosts have seen of a move.
    void set_peer_evidence(const std::string& peer,
                           const shared_evidence& evidence);

    /// @brief This host's evidence on the moves that run.
    std::vector<shared_evidence> evidence() const;

    /// @brief The moves that this host knows, for a peer.
    std::vector<shared_move> moves(time_point_t now) const;

    /// @brief Lets time pass; writes the end of a move that has come to it.
    void tick(time_point_t now);

    /// @brief How each service's requests are to be split now.
    std::map<std::string, trial_split, std::less<>> splits() const;

private:
    struct tracked_move
    {
        move_order order;
        time_point_t seen{};
        time_point_t decayed{};
        move_evidence_t evidence; ///< this host's
        std::map<std::string, move_evidence_t> peers;
        trial_step step;
        bool writing = false;
    };

    boost::asio::awaitable<void> write_end(std::string service,
                                           move_order order);

    boost::asio::any_io_executor m_executor;
    store_client& m_store;
    trial_policy m_policy;
    std::map<std::string, tracked_move, std::less<>> m_moves;
};

} // namespace rhubarbgrade
