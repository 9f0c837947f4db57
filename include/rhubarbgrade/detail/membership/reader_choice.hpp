#pragma once

#include <cstddef> // size_t
#include <span>    // span
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief A live host of a zone that may read the store for the others.
struct reader_candidate
{
    std::string host;
    double capacity = 0;  ///< see escrow_holding
    bool failing = false; ///< the store doesn't answer it; it goes on trying
};

/// @brief Limits of the choice of readers.
struct reader_policy
{
    /// Hosts of a zone that try a store that doesn't answer.
    std::size_t trying_hosts = 3;
    /// Age of the state that a host has from others, from which on it reads by
    /// itself; shorter than the time in which a host must be up to date.
    milliseconds max_state_age{2200};
};

/// @brief Chooses the host that reads the store for its zone.
///
/// The host of the highest capacity that the store answers. If it answers none,
/// one host after the other tries, up to a bound, and all of these go on; so a
/// store that refuses gets a constant number of calls from a zone, and the
/// first call that succeeds ends that. Hosts that know the same reports choose
/// alike, and a wrong choice costs calls only. Holds at any load, since the
/// number of readers is that of the zones.
/// @return its name; empty if those that try go on alone
std::string choose_reader(std::span<const reader_candidate> zone,
                          const reader_policy& policy = {});

/// @brief What decides whether a host reads the store itself.
struct reader_situation
{
    bool chosen = false;         ///< by @ref choose_reader
    bool others_try = false;     ///< live hosts of the zone, without success
    bool knows_state = false;    ///< has a configuration and the endpoints
    time_point_t confirmed_at{}; ///< when its state was the store's, at least
    milliseconds stagger{0};     ///< differs from host to host
};

/// @brief Whether a host reads the store itself.
///
/// A host that isn't chosen does so if its state gets old although nobody
/// reports a fault of the store: its reader hangs, lags, or is cut off from it.
bool reads_store(const reader_situation& situation, time_point_t now,
                 const reader_policy& policy = {});

} // namespace rhubarbgrade
