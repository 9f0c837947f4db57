#pragma once

#include <cstdint>     // uint64_t
#include <map>         // map
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/types.hpp>     // time_point_t
#include <rhubarbgrade/detail/routing/choose.hpp> // random_source_t

namespace rhubarbgrade
{

/// @brief An entry of the platform's host list.
struct listed_host
{
    std::string name;
    std::string zone;
    std::string address;  ///< "ip:port" for other routers
    bool leaving = false; ///< draining
};

/// @brief The heartbeat counter of a host, as sent between hosts.
struct member_beat
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t count = 0; ///< incremented with each heartbeat
    bool leaving = false;    ///< draining
};

/// @brief Membership state of one host.
struct member
{
    listed_host listed;
    member_beat beat;
    time_point_t heard{}; ///< when its counter last grew
};

/// @brief The hosts of the host list by name, including this one.
using members_t = std::map<std::string, member, std::less<>>;

/// @brief Applies the host list; removes hosts that are not in it.
void merge_list(members_t& members, std::span<const listed_host> list);

/// @brief Applies the heartbeat counters that are newer than the known ones.
void merge_beats(members_t& members, std::span<const member_beat> beats,
                 time_point_t now);

/// @brief Whether a host's heartbeat counter grew within the last @a silence.
bool alive(const member& state, time_point_t now, milliseconds silence);

/// @brief The live hosts of a zone; always includes @a self if it is in it.
std::vector<std::string> live_hosts(const members_t& members,
                                    std::string_view zone,
                                    std::string_view self, time_point_t now,
                                    milliseconds silence);

/// @brief The hosts to send a heartbeat to: the successors on the zone's hash
///        ring, and one random host of another zone.
/// @param[in] members  all hosts
/// @param[in] self     this host
/// @param[in] fanout   number of hosts of the own zone
/// @param[in] random   source of randomness for the host of another zone
std::vector<std::string> beat_targets(const members_t& members,
                                      std::string_view self, std::size_t fanout,
                                      const random_source_t& random);

/// @brief A random sample of the known heartbeats of the own zone, to forward;
///        bounds the size of a heartbeat message in large zones.
/// @param[in] members  all hosts
/// @param[in] self     this host; its own heartbeat is left out
/// @param[in] limit    maximum number of heartbeats
/// @param[in] random   source of randomness for the sample
std::vector<member_beat> sample_beats(const members_t& members,
                                      std::string_view self, std::size_t limit,
                                      const random_source_t& random);

/// @brief Chooses the second host, which holds the replica of @a self's ledger.
/// @return the next live host on the zone's hash ring, preferably one that is
///         not leaving; empty if there is none
std::string choose_replica_host(const members_t& members, std::string_view self,
                                time_point_t now, milliseconds silence);

} // namespace rhubarbgrade
