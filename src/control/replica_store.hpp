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

/// @brief The replicas that this host holds for others of its zone.
///
/// Runs on the control thread only.
class replica_store
{
public:
    /// @param[in] boot  the start of this process; a message meant for an
    ///                  earlier process of this host is refused
    explicit replica_store(std::uint64_t boot);

    /// @brief Applies a message of another host's ledger.
    replica_answer apply_message(const replica_message& message,
                                 time_point_t now);

    /// @brief Stops acknowledging, until @ref drop or @ref reopen.
    /// @return whether the replica is there
    bool begin_close(const ledger_id& id);

    /// @brief Acknowledges again: the ledger was not closed.
    void reopen(const ledger_id& id);

    /// @brief Forgets a replica that another host holds now.
    void drop(const ledger_id& id);

    /// @brief Hands the replica of a closed ledger out.
    ledger take_closed(const ledger_id& id);

    /// @brief The replica of a ledger, or null.
    const ledger* find(const ledger_id& id) const;

    /// @brief The ids of all replicas.
    std::vector<ledger_id> ids() const;

    /// @brief When a ledger's owner last sent something.
    time_point_t heard(const ledger_id& id) const;

    /// @brief Finds where a request of any replica was sent.
    const std::string* find_request(std::string_view request) const;

private:
    struct replica
    {
        ledger book;
        ledger incoming; ///< being rebuilt at the start of a session
        std::uint64_t session = 0;
        std::uint64_t next = 0; ///< number of the next operation
        bool closing = false;
        time_point_t heard{};
    };

    static replica_answer apply_operations(replica& held,
                                           const replica_message& message);

    std::uint64_t m_boot;
    std::map<ledger_id, replica> m_replicas;
    std::map<ledger_id, bool> m_closed;
};

} // namespace rhubarbgrade
