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

/// @brief What a heartbeat carries, both ways.
struct beat_message
{
    std::string sender;
    std::vector<member_beat> hosts;
    generation_t generation = 0;
    std::uint64_t host_list = 0; ///< digest of the host list, 0: none yet
    evidence_table_t evidence;   ///< the sender's own
    std::vector<move_end> ends;
    std::vector<leaving_report> leaving_reports; ///< own and heard
    std::vector<std::string> quarantined;
};

/// @brief Writes a heartbeat into a message.
void write(protocol::Beat::Builder to, const beat_message& beat);

/// @brief Reads a heartbeat from a message.
beat_message read(protocol::Beat::Reader from);

} // namespace rhubarbgrade
