#pragma once

#include <map>    // map
#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp>    // milliseconds, time_point_t
#include <rhubarbgrade/detail/escrow/escrow.hpp> // escrow_book

namespace rhubarbgrade
{

/// @brief What a host knows of another one as a writer of the account.
struct host_contact
{
    time_point_t heard_at{};    ///< last heartbeat
    time_point_t avoid_until{}; ///< left a change unanswered or could not write
    bool can_write = false;     ///< according to its last heartbeat
};

/// @brief By host name.
using host_contacts_t = std::map<std::string, host_contact, std::less<>>;

/// @brief Limits of the choice of a writer.
struct writer_policy
{
    /// Age of the last heartbeat (one every 0.5 s) up to which a host counts as
    /// running.
    milliseconds max_heartbeat_age{1300};
    /// Period after the start in which hosts that were not heard of are
    /// accepted: they send heartbeats to this host once they know it.
    milliseconds introduction{5000};
    /// Period after this host's own path to the store is back in which the
    /// others count as able to write: an outage mostly ends for all at once,
    /// before their next heartbeats.
    milliseconds recovery{1000};
};

/// @brief Chooses the host that writes this host's changes to the account.
///
/// Hosts choose alike, so that one of them writes for all and conditional
/// writes rarely collide. They need not agree: the conditional write decides.
/// The host of the highest capacity that is heard of and can write is chosen; a
/// hash of the name decides between equals.
/// @param[in] self      name of this host, which is chosen if no other is
/// better
/// @param[in] capacity  of this host
/// @param[in] started   when this host started
/// @param[in] reachable_since  when this host's path to the store came back
std::string choose_writer(const escrow_book& book, const std::string& self,
                          double capacity, const host_contacts_t& contacts,
                          time_point_t started, time_point_t reachable_since,
                          time_point_t now, const writer_policy& policy = {});

} // namespace rhubarbgrade
