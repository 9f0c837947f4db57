#pragma once

#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <rhubarbgrade/detail/escrow/escrow.hpp>  // escrow_book, wallet_state
#include <rhubarbgrade/detail/escrow/witness.hpp> // owner_ceilings

namespace rhubarbgrade
{

/// @brief Callbacks of @ref witness_keeper; called on the control thread.
struct witness_callbacks
{
    /// Sends a message to a host by name; it may be lost.
    std::function<void(const std::string&, const witness_message&)> send;
    /// A witness has confirmed a higher ceiling.
    std::function<void()> ceiling_confirmed;
};

/// @brief Both roles of the witness protocol: requests confirmations of this
///        host's spending ceilings, and confirms those of other hosts.
///
/// A host spends no more tokens of a budget than the ceiling that its witness,
/// a process on another host, has confirmed. If the host dies, the witness
/// knows the most that it may have spent, and the rest can be returned. All
/// members run on the control thread.
class witness_keeper
{
public:
    witness_keeper(const boost::asio::any_io_executor& executor,
                   process_id self, std::string zone,
                   witness_callbacks callbacks);

    /// @brief Records that a heartbeat of a process has arrived now.
    void record_heartbeat(const process_id& peer);

    /// @brief Handles a request as witness, or a confirmation as owner.
    /// @return the confirmation to send, for a request that is accepted
    std::optional<witness_message>
    handle_message(const witness_message& message);

    /// @brief Raises the requested ceilings ahead of the usage and sends
    ///        requests for those that are not confirmed.
    void raise_ceilings(const wallet_states_t& states);

    /// @brief Sets the processes that have to confirm the ceilings.
    void set_witnesses(std::vector<process_id> witnesses);

    /// @brief Chooses a process as this host's witness.
    ///
    /// It must have sent a heartbeat recently and own its host's holding in
    /// @a book. Processes of this host's zone come first, since a partition
    /// between zones or from the store does not separate the two hosts.
    /// @param[in] except    process that must not be chosen
    /// @param[in] any_zone  whether a process of another zone is acceptable
    /// @return an empty id if there is none
    process_id choose_witness(const escrow_book& book, const process_id& except,
                              bool any_zone) const;

    /// @brief Whether a process has left a request unanswered for too long.
    bool silent(const process_id& witness) const;

    /// @brief Ceilings that this host has requested and that witnesses have
    ///        confirmed.
    const owner_ceilings& ceilings() const
    {
        return m_ceilings;
    }

    /// @brief Ceilings that this process has confirmed as a witness.
    witness_record& confirmed_for_others()
    {
        return m_confirmed_for_others;
    }

    /// @brief Retries unanswered requests; runs until the program exits.
    boost::asio::awaitable<void> run();

private:
    bool request_confirmation(const process_id& witness);
    bool request_confirmations();

    process_id m_self;
    std::string m_zone;
    witness_callbacks m_callbacks;
    boost::asio::steady_timer m_timer;
    owner_ceilings m_ceilings;
    witness_record m_confirmed_for_others;
    std::vector<process_id> m_witnesses;
    /// Start of the oldest unanswered request, by witness.
    std::map<process_id, time_point_t> m_unanswered_since;
    std::map<process_id, time_point_t> m_last_heartbeats;
};

} // namespace rhubarbgrade
