#pragma once

#include <array>      // array
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <string>     // string
#include <vector>     // vector

#include <rhubarbgrade/detail/escrow/escrow.hpp>          // escrow_book
#include <rhubarbgrade/detail/membership/fleet_table.hpp> // fleet_table

#include "../peers/peer_state.hpp" // peer_heartbeat, peer_news

namespace rhubarbgrade
{

/// @brief Calls of @ref member_keeper.
struct member_callbacks
{
    /// What this host reports; the keeper adds who and where it is.
    std::function<peer_heartbeat()> current_heartbeat;
    /// A host has reported something new, at the given time.
    std::function<void(const peer_heartbeat&, time_point_t)> reported;
    /// Evidence on moves, summed over the hosts that this host reports to.
    std::function<std::vector<shared_evidence>()> zone_evidence;
    std::function<std::vector<shared_evidence>()> fleet_evidence;
    /// Adds what has changed since a time to the news for the own zone.
    std::function<void(peer_news&, time_point_t)> add_changes;
    std::function<void(const socket_address&, const std::string&)> send;
    /// What is to be sent must not wait for the next period.
    std::function<void()> hasten;
    std::function<time_point_t()> now;
    /// Reports of a host are missing here.
    std::function<void(const std::string&)> request_reports;
};

/// @brief Keeps this host's table of the fleet up to date: reports to hubs, or
///        passes reports on as one of them.
///
/// Hosts of earlier versions send their heartbeats to all others and get this
/// host's in return. Used on the control thread only.
class member_keeper
{
public:
    /// @param[in] started_ms  start of the process, Unix time in ms
    member_keeper(const host_report& self, std::uint64_t started_ms,
                  member_callbacks callbacks);

    /// @brief Learns of the hosts that the account lists.
    void introduce(const escrow_book& book);

    /// @brief Sends this host's report, and as hub those of others.
    void send_reports();

    void handle_heartbeat(const peer_heartbeat& heartbeat);
    void handle_news(const peer_news& news);

    /// @brief Adds all reports of the host that was asked for them, and sends
    /// it
    ///        what is later here.
    void repair(const std::vector<shared_report>& reports);

    /// @brief All reports, for the state that peers request.
    std::vector<shared_report> shared_reports() const;

    /// @brief Declares silent hosts down; see @ref fleet_table::advance.
    void tick();

    /// @brief Names of the live hosts, this one included.
    std::vector<std::string> live_hosts(time_point_t now) const;

    /// @brief The last report of each live host, this one excluded.
    std::vector<const peer_heartbeat*> live_reports(time_point_t now) const;

    /// @brief Address of a known host for peers; empty if it is unknown.
    socket_address address_of(const std::string& host) const;

    /// @brief Availability zone of a known host.
    std::string zone_of(const std::string& host) const;

    /// @brief Number of known hosts, live or not.
    std::size_t size() const
    {
        return m_table.size();
    }

    /// @brief IP addresses of all known hosts.
    std::set<std::string> ips() const;

    bool acts_as_hub() const;

    /// @brief See @ref fleet_table::set_speaks.
    void set_speaks(bool speaks)
    {
        m_table.set_speaks(speaks);
    }

    void log_counts();

private:
    struct foreign_host
    {
        time_point_t heard_at{};
    };

    struct message_counts
    {
        std::uint64_t heartbeats_sent = 0;
        std::uint64_t news_sent = 0;
        std::uint64_t bytes_sent = 0;
        std::uint64_t received = 0;
        std::uint64_t new_reports = 0;
        std::uint64_t repairs = 0; ///< requests for missing reports
    };

    peer_heartbeat make_heartbeat(time_point_t now);
    void send(const std::string& host, const std::string& bytes);
    void send_heartbeat(const std::string& host, const std::string& bytes);
    void send_news(const peer_heartbeat& heartbeat, time_point_t now);
    /// Sends reports in as many datagrams as they need.
    void send_parts(const std::vector<std::string>& hosts, peer_news header,
                    const std::vector<host_report>& reports, time_point_t now);
    /// Whether a later report on the host is known, such as that it is down.
    bool is_outdated(const peer_heartbeat& heartbeat) const;
    /// Tells a host its hubs, and what it has to object to.
    void answer_stranger(const peer_heartbeat& stranger, time_point_t now);
    /// Handles a report that came directly or through a hub.
    /// @return whether it was new
    bool merge(const peer_heartbeat& heartbeat, bool down, time_point_t made_at,
               time_point_t now);
    void merge_reports(const std::vector<shared_report>& reports);
    void compare_digests(const peer_news& news, time_point_t now);

    member_callbacks m_callbacks;
    fleet_table m_table;
    std::map<std::string, peer_heartbeat> m_reports; ///< decoded, by host
    std::map<std::string, foreign_host> m_foreign; ///< hosts that know no hubs
    std::uint64_t m_content_hash = 0; ///< of this host's last report
    time_point_t m_refreshed_at{};
    /// The last times that news were sent; reports are repeated in three.
    std::array<time_point_t, 3> m_sent_at{};
    time_point_t m_differs_since{}; ///< digests of hubs from this host's
    time_point_t m_repaired_at{};
    std::string m_repaired_from; ///< host that was asked for its reports
    message_counts m_counts;
};

} // namespace rhubarbgrade
