#pragma once

#include <cstdint> // uint64_t
#include <set>     // set
#include <string>  // string

namespace rhubarbgrade
{

/// @brief The availability zones whose endpoints get no new requests, as of a
///        position in the store's history.
struct evacuation_list
{
    std::uint64_t era = 0;      ///< of the store
    std::uint64_t revision = 0; ///< in this era; 0: not known
    std::set<std::string> zones;

    bool operator==(const evacuation_list&) const = default;
};

/// @brief What one host knows of evacuations, from the store or from other
///        hosts.
///
/// A list is complete at its position, so the newest one holds, and the order
/// in which hosts hear of the others doesn't matter.
struct evacuation_book
{
    evacuation_list list; ///< in force
    /// The same with changes whose position has not been reported yet.
    std::set<std::string> next;
    bool changed = false; ///< whether there are such changes
};

/// @brief Takes over a list if it is newer than the one in force.
/// @return whether the zones have changed
bool merge(evacuation_book& book, const evacuation_list& list);

/// @brief Records a change that a watch of the store has reported.
/// @param[in] evacuated  whether the zone is, after the change
void record_change(evacuation_book& book, const std::string& zone,
                   bool evacuated);

/// @brief All changes up to a position have been recorded.
/// @return whether the zones in force have changed
bool reach_position(evacuation_book& book, std::uint64_t era,
                    std::uint64_t revision);

} // namespace rhubarbgrade
