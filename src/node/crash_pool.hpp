#pragma once

#include <cstdint> // uint32_t, uint64_t
#include <map>     // map
#include <set>     // set
#include <string>  // string

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

#include "../peers/peer_state.hpp" // crash_counts_t

namespace rhubarbgrade
{

/// @brief Requests, by fingerprint, that crash the endpoints that run them, as
///        all hosts have seen them.
class crash_pool
{
public:
    /// @brief Notes that an endpoint crashed while it ran a request.
    /// @return whether the quarantined set has changed
    bool note(std::uint64_t fingerprint, time_point_t now);

    /// @brief Takes over what a peer has counted.
    /// @return whether the quarantined set has changed
    bool set_peer(const std::string& peer, const crash_counts_t& counts,
                  time_point_t now);

    /// @brief This host's own counts that are still of interest.
    crash_counts_t own(time_point_t now);

    const std::set<std::uint64_t>& quarantined() const
    {
        return m_quarantined;
    }

private:
    struct own_count
    {
        std::uint32_t count = 0;
        time_point_t last{};
    };

    bool update();

    std::map<std::uint64_t, own_count> m_own;
    std::map<std::string, crash_counts_t> m_peers;
    std::set<std::uint64_t> m_quarantined;
};

} // namespace rhubarbgrade
