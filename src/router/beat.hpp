#pragma once

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include <rhubarbgrade/detail/base/types.hpp>         // generation_t
#include <rhubarbgrade/detail/membership/leaving.hpp> // leaving_report
#include <rhubarbgrade/detail/membership/members.hpp> // member_beat

#include "../control/move_tracker.hpp" // evidence_table_t, move_end
#include "protocol.capnp.h"            // protocol

namespace rhubarbgrade
{

/// @brief Contents of a heartbeat and of the response to it.
///
/// The response contains neither hosts nor evidence.
struct heartbeat_message
{
    std::string sender;             ///< name of the sending host
    std::vector<member_beat> hosts; ///< heartbeat counts known to the sender
    generation_t generation = 0;    ///< of the sender's configuration
    std::uint64_t host_list = 0;    ///< digest of the host list, 0: none yet
    evidence_table_t evidence;      ///< of the sender only
    std::vector<move_end> ends;     ///< moves that have ended
    /// Reports of the sender and those that it has received, of any zone.
    std::vector<leaving_report> leaving_reports;
    std::vector<std::string> quarantined; ///< fingerprints of requests
};

/// @brief Serializes a heartbeat.
void write(protocol::Beat::Builder to, const heartbeat_message& beat);

/// @brief Deserializes a heartbeat.
heartbeat_message read(protocol::Beat::Reader from);

} // namespace rhubarbgrade
