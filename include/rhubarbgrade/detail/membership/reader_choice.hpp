#pragma once

#include <cstddef>     // size_t
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief A live host of a zone that may read the store for the others.
struct reader_candidate
{
    std::string host;
    double capacity = 0;   ///< see escrow_holding
    bool failing = false;  ///< the store doesn't answer it; it goes on trying
    bool answered = false; ///< reads, and the store answers it
};

/// @brief Limits of the choice of readers.
struct reader_policy
{
    /// Hosts of a zone that read on trial a store that doesn't answer.
    std::size_t trying_hosts = 3;
    /// Time in which a change must be in force on each host.
    milliseconds apply_bound{2000};
    /// What reading the store and applying a change takes of it.
    milliseconds apply_time{350};
    /// Hosts, the next best ones after the reader, that stand in for it earlier
    /// than the others, each this much after the one before; the news of the
    /// first that does keep the others from reading.
    std::size_t deputies = 4;
    milliseconds deputy_step{100};
    /// Lower bound of the age: news come twice a second, and one may be lost.
    milliseconds min_state_age{1200};
    /// What telling the other hosts of the zone takes of it.
    milliseconds news_time{150};
    /// Upper bound of the age of a reader's own state: from 2.6 s on, hosts
    /// look for a newer one, and a check may be late.
    milliseconds reader_age_limit{2100};
};

/// @brief Chooses the host that reads the store for its zone.
///
/// The host of the highest capacity that doesn't fail to get answers. If one
/// fails, the next tries, up to a bound; from then on only a host that is known
/// to be answered is chosen, so that a store that refuses is watched by a
/// constant number of hosts of a zone. Hosts that know the same reports choose
/// alike, and a wrong choice costs calls only. Holds at any load, since the
/// number of readers is that of the zones.
/// @return its name; empty if the store is known to answer none
std::string choose_reader(std::span<const reader_candidate> zone,
                          const reader_policy& policy = {});

/// @brief Number of hosts of a zone that are preferred to one as its reader.
std::size_t reader_rank(std::span<const reader_candidate> zone,
                        std::string_view host);

/// @brief Age of the state that a host has from others, from which on it reads
///        the store by itself.
///
/// Whatever becomes of the reader and of its successors, a host that begins to
/// read then is up to date in time.
milliseconds max_state_age(std::size_t rank, const reader_policy& policy = {});

/// @brief Age that the state of a reader reaches at most while the store
///        answers it: so that no host reads by itself for it, and a change
///        whose news to the reader is lost is in force in time.
milliseconds max_reader_age(const reader_policy& policy = {});

/// @brief What a host does at the store for its state.
enum class store_use
{
    none,  ///< gets its state from others
    asks,  ///< makes a cheap call now and then, until one is answered
    reads, ///< watches it
};

/// @brief What decides how a host uses the store.
struct reader_situation
{
    bool chosen = false;         ///< by @ref choose_reader
    bool others_try = false;     ///< live hosts of the zone, without success
    bool knows_state = false;    ///< has a configuration and the endpoints
    time_point_t confirmed_at{}; ///< when its state was the store's, at least
    std::size_t rank = 0;        ///< by @ref reader_rank
    bool failing = false;        ///< the store doesn't answer this host
    bool answered = false;       ///< it reads, or its last call was answered
};

/// @brief How a host uses the store.
///
/// A host that isn't chosen reads if its state gets old: its reader has ended,
/// hangs, lags, or is cut off from the store. If hosts report that the store
/// fails, only the first few read on trial. The others ask first: their own
/// path may be whole, so what others report is no reason to stay with an old
/// state. With the state older than @ref max_state_age, it is never `none`.
store_use use_of_store(const reader_situation& situation, time_point_t now,
                       const reader_policy& policy = {});

} // namespace rhubarbgrade
