#pragma once

#include <cstdint> // uint32_t, uint64_t
#include <map>     // map
#include <string>  // string
#include <variant> // variant
#include <vector>  // vector

#include <rhubarbgrade/detail/base/error.hpp>           // result
#include <rhubarbgrade/detail/escrow/witness.hpp>       // witness_message
#include <rhubarbgrade/detail/fleet/endpoint_entry.hpp> // endpoint_entry
#include <rhubarbgrade/detail/fleet/move_order.hpp>     // move_order
#include <rhubarbgrade/detail/moves/evidence.hpp>       // move_evidence_t

namespace rhubarbgrade
{

/// @brief One host's evidence on one move.
struct shared_evidence
{
    std::string service;
    std::string target;
    move_evidence_t routes;
};

/// Requests that broke endpoints, by fingerprint, with how often.
using crash_counts_t = std::map<std::uint64_t, std::uint32_t>;

/// @brief What a host tells its peers several times a second.
struct peer_beat
{
    std::string host;
    std::string incarnation;
    std::uint64_t configuration = 0; ///< version in force
    bool fresh = false;              ///< it hears from the store
    std::uint64_t state_digest = 0;  ///< of its endpoints and moves
    std::vector<shared_evidence> evidence;
    crash_counts_t crashes;
};

/// @brief A move as a peer knows it.
struct shared_move
{
    move_order order;
    milliseconds elapsed{0}; ///< since the order was first seen
};

/// @brief What a peer that has missed something asks for.
struct peer_state
{
    std::string configuration; ///< as it lies in the store
    std::uint64_t version = 0;
    std::vector<endpoint_entry> endpoints;
    std::vector<shared_move> moves;
};

/// @brief What comes in one datagram.
using peer_datagram_t = std::variant<peer_beat, witness_message>;

std::string encode_beat(const peer_beat& beat);
std::string encode_witness(const witness_message& message);
result<peer_datagram_t> decode_datagram(std::string_view bytes);
std::string encode_state(const peer_state& state);
result<peer_state> decode_state(std::string_view bytes);

} // namespace rhubarbgrade
