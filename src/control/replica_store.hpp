#pragma once

#include <cstdint> // uint64_t
#include <map>     // map
#include <span>    // span
#include <string>  // string
#include <vector>  // vector

#include <rhubarbgrade/detail/base/types.hpp>       // ledger_id, time_point_t
#include <rhubarbgrade/detail/budget/ledger.hpp>    // ledger
#include <rhubarbgrade/detail/budget/operation.hpp> // operation

#include "ledger_owner.hpp" // replica_answer

namespace rhubarbgrade
{

/// @brief Replicas of the ledgers of other hosts of the zone.
///
/// Used on the control thread only.
class replica_store
{
public:
    /// @param[in] boot  incarnation of this process; messages addressed to an
    ///                  earlier process of this host are refused
    explicit replica_store(std::uint64_t boot);

    /// @brief Applies a batch of operations from the owner of a ledger.
    /// @return never @ref replica_answer::silent
    replica_answer apply_message(const replica_message& message,
                                 time_point_t now);

    /// @brief Refuses further operations on a ledger while it is being closed,
    ///        until @ref drop, @ref reopen or @ref extract_closed.
    /// @return whether this host holds a replica of the ledger
    bool begin_close(const ledger_id& id);

    /// @brief Accepts operations again after a close that did not take place.
    void reopen(const ledger_id& id);

    /// @brief Deletes a replica after the ledger got another second host.
    void drop(const ledger_id& id);

    /// @brief Marks a ledger as closed and removes its replica.
    /// @return the replica's contents, empty if there is no replica
    ledger extract_closed(const ledger_id& id);

    /// @brief Replica of a ledger, or null.
    const ledger* find(const ledger_id& id) const;

    /// @brief Ids of the ledgers with a replica here.
    std::vector<ledger_id> ids() const;

    /// @brief Time of the last message from a ledger's owner.
    time_point_t last_message(const ledger_id& id) const;

    /// @brief Endpoint that a request in any replica was sent to, or null.
    const std::string* find_request(std::string_view request) const;

private:
    struct replica
    {
        ledger contents;
        ledger rebuilt; ///< replaces the contents when a session's sync ends
        std::uint64_t session = 0;
        std::uint64_t next_number = 0; ///< of the next operation to apply
        bool closing = false;
        time_point_t last_message{};
    };

    static replica_answer apply_operations(replica& target,
                                           const replica_message& message);

    std::uint64_t m_boot;
    std::map<ledger_id, replica> m_replicas;
    std::map<ledger_id, bool> m_closed;
};

} // namespace rhubarbgrade
