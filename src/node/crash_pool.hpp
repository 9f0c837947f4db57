#pragma once

#include <cstdint> // uint64_t
#include <map>     // map
#include <set>     // set
#include <span>    // span
#include <string>  // string
#include <utility> // pair

#include <rhubarbgrade/detail/base/types.hpp>             // time_point_t
#include <rhubarbgrade/detail/routing/crash_evidence.hpp> // crash_records_t

#include "../peers/peer_state.hpp" // shared_crashes

namespace rhubarbgrade
{

/// @brief Collects the crashes of endpoints from all hosts, and quarantines
///        prompt parts and requests that crash endpoints repeatedly.
///
/// Each host publishes what it has observed itself for a few seconds, and what
/// is in quarantine as long as it lasts, so that this stays known when the
/// hosts that saw the crashes are gone. Used on the control thread only.
class crash_pool
{
public:
    /// @param[in] host  name of this host
    explicit crash_pool(std::string host);

    /// @brief Records an endpoint crash that this host observed.
    /// @param[in] process   hash of the endpoint's process
    /// @param[in] suspects  of the requests that this host had there
    void record_crash(std::uint64_t process, const crash_suspects_t& suspects,
                      time_point_t now);

    /// @brief Clears a suspect after a request with it was answered whole, and
    ///        releases it from quarantine.
    void clear(std::uint64_t suspect, time_point_t now);

    /// @brief Adds what a peer knows.
    void merge(const shared_crashes& known, time_point_t now);

    /// @brief What this host has to tell its peers.
    shared_crashes shared(time_point_t now) const;

    /// @brief Decides on the quarantine, and discards what has expired; to be
    ///        called a few times a second.
    void update(time_point_t now);

    /// @brief Suspects that are not cleared of all crashes, or in quarantine.
    std::set<std::uint64_t> suspected() const;

    /// @brief Suspects in quarantine, with the number of the trial that this
    ///        host has to make with each; 0: none.
    /// @param[in] live_hosts  one of which makes the trial
    std::map<std::uint64_t, int>
    quarantined(std::span<const std::string> live_hosts,
                time_point_t now) const;

private:
    struct quarantine_entry
    {
        time_point_t since{};
        bool released = false;
        time_point_t released_at{};
    };

    /// A suspect in the record of a process.
    using report_key_t = std::pair<std::uint64_t, std::uint64_t>;

    void clear_records(std::uint64_t suspect, time_point_t now);
    std::set<std::uint64_t> in_quarantine() const;
    crash_records_t crashes_before(time_point_t latest) const;
    void update_quarantine(time_point_t now);
    void release(std::uint64_t suspect, time_point_t now);
    void merge_quarantine(const shared_quarantine& known, time_point_t now);
    bool makes_trial(std::uint64_t suspect,
                     std::span<const std::string> live_hosts) const;

    std::string m_host;
    crash_records_t m_crashes;
    std::map<report_key_t, time_point_t> m_own_reports; ///< last change
    std::map<std::uint64_t, quarantine_entry> m_quarantine;
};

} // namespace rhubarbgrade
