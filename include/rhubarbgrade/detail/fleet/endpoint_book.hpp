#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

#include <rhubarbgrade/detail/base/types.hpp>           // time_point_t
#include <rhubarbgrade/detail/fleet/endpoint_entry.hpp> // endpoint_entry
#include <rhubarbgrade/detail/fleet/move_order.hpp>     // move_order

namespace rhubarbgrade
{

/// @brief An endpoint of the host list, with the state of its entry.
struct listed_endpoint
{
    endpoint_entry entry;   ///< without the time for which it is cold
    time_point_t seen{};    ///< when the entry of this process first appeared
    bool gone = false;      ///< the entry has been removed
    bool lapsed = false;    ///< removed around an outage of the store
    time_point_t gone_at{}; ///< when the entry was removed
    time_point_t kept_until{}; ///< removed only by the store's return to a copy
    time_point_t held_until{}; ///< listed again only by that; not used before
    time_point_t cold_until{}; ///< as its entry has named
};

/// @brief A process of an endpoint whose entry was removed.
struct former_endpoint
{
    std::uint64_t started = 0; ///< as in endpoint_entry
    time_point_t gone_at{};
    time_point_t seen{}; ///< as in listed_endpoint
};

/// @brief The endpoints of the host list, kept usable across outages of the
///        store.
///
/// Endpoints renew their entries by heartbeats to the store. During an outage
/// the entries lapse although the endpoints still run, so entries that vanish
/// together around an outage are kept for a while.
struct endpoint_registry
{
    std::map<std::string, listed_endpoint, std::less<>> endpoints;
    /// Removed lately, by id.
    std::map<std::string, former_endpoint, std::less<>> former;
    time_point_t first_listed_at{}; ///< the first list of all entries
    time_point_t last_answer{};     ///< of the store, to any call
    time_point_t failing_since{};   ///< first unanswered call after it
    time_point_t back_since{};      ///< first answered call after an outage
    bool reachable = false;         ///< whether the last call was answered
    std::size_t bytes = 0;          ///< memory of the entries, see entry_bytes
};

/// @brief Bound of the memory of the entries of a list, in bytes. Entries are
///        copied for the traffic thread and for peers, so a host needs several
///        times as much. 2,500 endpoints take a quarter of it.
constexpr std::size_t max_list_bytes = std::size_t{4} << 20U;

/// @brief Memory that an entry takes in the registry, in bytes.
std::size_t entry_bytes(const endpoint_entry& entry);

/// @brief The entries of a list that is being read.
struct entry_list
{
    std::vector<endpoint_entry> entries;
    std::size_t bytes = 0;    ///< of the entries
    std::size_t left_out = 0; ///< entries beyond @ref max_list_bytes
};

/// @brief Adds an entry, unless the list is full.
void append_entry(entry_list& list, endpoint_entry entry);

/// @brief Shortest outage of the store in which an entry can lapse: an entry
///        that was renewed just before it misses three heartbeats of 1.2 s, one
///        of which may have been due before the outage. A margin is taken off.
constexpr milliseconds min_lapse_outage{2000};

/// @brief Time by which a failing call may show an outage late: signs of life
///        are half a second apart, and each has a time-out.
constexpr milliseconds outage_detection{1700};

/// @brief How long lapsed entries are kept after the store is reachable again.
constexpr milliseconds lapse_grace{2000};

/// @brief Time after which an entry that nobody renews is removed by the store:
///        three heartbeats of 1.2 s, and a margin.
constexpr milliseconds entry_lifetime{4000};

/// @brief Records whether a call to the store, of any kind, was answered.
void record_store_call(endpoint_registry& book, bool answered,
                       time_point_t now);

/// @brief Whether the store has been away for so long that entries may lapse.
///
/// A call that fails while others are answered is none: a watch may be cut off.
bool in_outage(const endpoint_registry& book, time_point_t now);

/// @brief Inserts or replaces an entry. A new one is left out if the registry
///        is full.
/// @return whether the registry has the entry
bool upsert_endpoint(endpoint_registry& book, const endpoint_entry& entry,
                     time_point_t now);

/// @brief The entry as others are told of it.
endpoint_entry shared_entry(const listed_endpoint& endpoint, time_point_t now);

/// @brief Marks an entry as removed.
void remove_endpoint(endpoint_registry& book, std::string_view id,
                     time_point_t now);

/// @brief Inserts or replaces the entries of a list that may lack others.
void add_endpoints(endpoint_registry& book,
                   const std::vector<endpoint_entry>& entries,
                   time_point_t now);

/// @brief Replaces all entries; those not in @a entries are marked as removed.
void replace_endpoints(endpoint_registry& book,
                       const std::vector<endpoint_entry>& entries,
                       time_point_t now);

/// @brief Replaces all entries by those of a store that came back from a copy.
///
/// The list is some seconds old. Endpoints that are not in it have registered
/// since, and write their entries again if they run. One that was leaving, or
/// had left, still does: it is not used because the list says so, but if its
/// entry outlives the heartbeats that would have renewed it.
void restore_endpoints(endpoint_registry& book,
                       const std::vector<endpoint_entry>& entries,
                       time_point_t now);

/// @brief The endpoints that may receive requests; drops entries that are
///        removed and not kept as lapsed.
std::vector<endpoint_entry> usable_endpoints(endpoint_registry& book,
                                             time_point_t now);

/// @return hashes of the processes whose entries say that they are leaving
std::set<std::uint64_t> draining_processes(const endpoint_registry& book);

} // namespace rhubarbgrade
