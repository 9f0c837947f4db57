#pragma once

#include <cstdint> // uint32_t, uint64_t
#include <map>     // map
#include <set>     // set
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

#include "../peers/peer_state.hpp" // crash_counts_t

namespace rhubarbgrade
{

/// @brief Counts endpoint crashes by the fingerprint of the request that ran,
///        over all hosts, and quarantines requests that crash repeatedly.
///
/// Used on the control thread only.
class crash_pool
{
public:
    /// @brief Counts an endpoint crash that this host observed.
    /// @param[in] fingerprint  of the request that the endpoint was running
    /// @return whether the quarantined set has changed
    bool note(std::uint64_t fingerprint, time_point_t now);

    /// @brief Replaces the crash counts that a peer has published.
    /// @return whether the quarantined set has changed
    bool set_peer_counts(const std::string& peer, const crash_counts_t& counts,
                         time_point_t now);

    /// @brief Crashes that this host observed itself, for its peers. Discards
    ///        requests whose last crash was over a minute ago.
    crash_counts_t own(time_point_t now);

    /// @brief Fingerprints of the requests that must not run again.
    const std::set<std::uint64_t>& quarantined() const
    {
        return m_quarantined;
    }

private:
    struct local_count
    {
        std::uint32_t count = 0;
        time_point_t last_crash{};
    };

    bool update_quarantine();

    std::map<std::uint64_t, local_count> m_local_counts;
    std::map<std::string, crash_counts_t> m_peer_counts;
    std::set<std::uint64_t> m_quarantined;
};

} // namespace rhubarbgrade
