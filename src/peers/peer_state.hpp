#pragma once

#include <compare>  // strong_ordering
#include <cstdint>  // uint16_t, uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

#include <rhubarbgrade/detail/base/error.hpp>             // result
#include <rhubarbgrade/detail/escrow/account_change.hpp>  // account_change
#include <rhubarbgrade/detail/escrow/witness.hpp>         // witness_message
#include <rhubarbgrade/detail/fleet/endpoint_entry.hpp>   // endpoint_entry
#include <rhubarbgrade/detail/fleet/evacuations.hpp>      // evacuation_list
#include <rhubarbgrade/detail/fleet/move_order.hpp>       // move_order
#include <rhubarbgrade/detail/moves/evidence.hpp>         // move_evidence_t
#include <rhubarbgrade/detail/routing/crash_evidence.hpp> // crash_suspects_t

namespace rhubarbgrade
{

/// @brief One host's evidence on a move of a service to another version.
struct shared_evidence
{
    std::string service;
    std::string target;
    move_evidence_t routes;
};

/// @brief An endpoint crash as one host knows it.
struct shared_crash
{
    std::uint64_t process = 0; ///< hash of the endpoint's process
    milliseconds age{0};
    crash_suspects_t suspects;
};

/// @brief A quarantine as one host knows it.
struct shared_quarantine
{
    std::uint64_t suspect = 0;
    milliseconds age{0};
    bool released = false; ///< has ended, since the suspect proved harmless
};

/// @brief What one host knows of crashes and quarantines.
struct shared_crashes
{
    std::vector<shared_crash> crashes;
    std::vector<shared_quarantine> quarantined;
};

/// @brief An endpoint's request limit as one host has observed it.
struct shared_limit
{
    std::uint64_t process = 0; ///< hash of the endpoint's process
    double per_s = 0;
    /// Since the last answer that named it; empty if there was none.
    std::optional<milliseconds> named_age;
    /// Since the last request whose answer named none.
    std::optional<milliseconds> unnamed_age;
    /// Since it last turned a request away for want of room.
    std::optional<milliseconds> rejected_age;
};

/// @brief The datagram that a host sends to its peers several times a second.
struct peer_heartbeat
{
    std::string host;
    std::string incarnation;
    std::uint64_t configuration = 0; ///< version in force
    bool fresh = false;              ///< the store answered recently
    bool can_write = false;          ///< the escrow account
    std::uint64_t state_digest = 0;  ///< hash of the endpoints and moves
    std::vector<shared_evidence> evidence;
    shared_crashes crashes;
    std::vector<shared_limit> limits;
    std::vector<shared_limit> brittle; ///< of what endpoints can turn away
    /// Port at which the host passes connections on to endpoints; 0: it does
    /// not, since it is cut from them, stops or has no room.
    std::uint16_t relay_port = 0;
    /// Start of the process, Unix time in ms; 0 in heartbeats of hosts that
    /// send theirs to all others and know no hubs.
    std::uint64_t started = 0;
    std::uint64_t sequence = 0; ///< of the report on the host
    std::string address;        ///< "ip:port" for peers
    std::string zone;
    double capacity = 0;   ///< see escrow_holding
    bool asks_hub = false; ///< the sender takes the receiver for a hub
    /// Since the sender's state was the store's; empty if it doesn't tell.
    std::optional<milliseconds> state_age;
    bool store_failing = false;  ///< the store doesn't answer the sender
    bool store_answers = false;  ///< the sender reads it, with success
    std::uint64_t store_era = 0; ///< the latest that the sender knows
    evacuation_list evacuations; ///< that the sender knows of
};

/// @brief A change of the list of endpoints, as one host tells others.
struct endpoint_change
{
    endpoint_entry entry;
    bool gone = false;
    bool lapsed = false;        ///< removed around an outage of the store
    std::uint64_t position = 0; ///< revision at which a host learned of it
};

/// @brief How much of the store's history a list of endpoints contains.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0; ///< 0: not known

    auto operator<=>(const store_position&) const = default; // NOLINT
};

/// @brief A host's report as another one passes it on.
struct shared_report
{
    std::string beat; ///< encoded heartbeat, as the host made it
    milliseconds age{0};
    bool down = false; ///< declared so by a hub
};

/// @brief What a host passes on of others.
struct peer_news
{
    peer_heartbeat sender;
    bool hub = false; ///< the sender acts as hub
    std::vector<shared_report> reports;
    std::uint64_t digest = 0; ///< of all reports that the sender has
    std::map<std::string, milliseconds> zones; ///< age of the last contact
    std::vector<shared_evidence> evidence;     ///< sums over many hosts
    bool complete = false;                     ///< the last part of the news
    store_position position;                   ///< of the sender's endpoints
    std::vector<endpoint_change> changes;
};

/// @brief A move as one host has it.
struct shared_move
{
    move_order order;
    milliseconds elapsed{0}; ///< since the order was first seen
    std::uint64_t era = 0;   ///< of the store that had it; 0: not known
};

/// @brief A host's whole state, for a peer that has missed changes.
struct peer_state
{
    std::string configuration; ///< as stored; empty before the first
    std::uint64_t version = 0; ///< of the configuration
    std::vector<endpoint_entry> endpoints;
    std::vector<shared_move> moves;
    std::vector<shared_report> reports; ///< on all hosts
    store_position position;            ///< of the endpoints
};

/// @brief Content of one datagram between hosts.
using peer_datagram_t = std::variant<peer_heartbeat, witness_message,
                                     account_change, account_answer, peer_news>;

std::string encode_heartbeat(const peer_heartbeat& heartbeat);
std::string encode_witness(const witness_message& message);
std::string encode_change(const account_change& change);
std::string encode_answer(const account_answer& answer);
std::string encode_news(const peer_news& news);

/// @brief Decodes a datagram.
/// @return the message, or errc::malformed for bytes that are none and for a
///         kind that this version doesn't know
result<peer_datagram_t> decode_datagram(std::string_view bytes);

std::string encode_state(const peer_state& state);

/// @brief Decodes a peer's state.
/// @return the state, or errc::malformed for bytes that are none
result<peer_state> decode_state(std::string_view bytes);

} // namespace rhubarbgrade
