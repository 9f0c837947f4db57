#pragma once

#include <compare>     // strong_ordering
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <map>         // map
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/types.hpp>          // time_point_t
#include <rhubarbgrade/detail/fleet/node_settings.hpp> // socket_address

namespace rhubarbgrade
{

/// @brief Orders the reports on one host, wherever they come from.
struct report_version
{
    std::uint64_t started = 0;  ///< of the process, Unix time in ms
    std::uint64_t sequence = 0; ///< of the report, set by the host itself
    bool down = false;          ///< a hub has declared the host down

    auto operator<=>(const report_version&) const = default; // NOLINT
};

/// @brief What a host says of itself; other hosts pass it on unchanged.
struct host_report
{
    std::string host;
    std::string incarnation;
    std::string zone;
    socket_address address;
    double capacity = 0; ///< see escrow_holding
    report_version version{};
    std::string content{};  ///< opaque
    time_point_t made_at{}; ///< by this host's clock
};

/// @brief Times and numbers of the exchange of reports.
struct hub_policy
{
    std::size_t hubs = 2; ///< in each zone
    /// Silence after which a hub declares a host of its zone down; two
    /// heartbeats of 0.5 s may be lost.
    milliseconds silence{1200};
    /// Time for which a host that was declared down may object. It counts as
    /// live until then, so a host that is only slow to report is not lost.
    milliseconds objection{400};
    /// Silence after which a host takes another hub.
    milliseconds hub_silence{1200};
    /// Time for which a silent hub is not chosen again.
    milliseconds avoid{3000};
    /// Time for which a host acts as hub after another one has asked it to.
    milliseconds asked{1500};
    /// Silence after which the hosts of another zone don't count as live; what
    /// is heard of them passes through two hubs.
    milliseconds zone_silence{2500};
    /// A pause this long between two calls of @ref fleet_table::advance means
    /// that this process was stopped; silence in it proves nothing.
    milliseconds frozen{700};
};

/// @brief The hosts of the fleet as one of them knows them.
///
/// Each zone has a few hubs, the hosts of the highest capacity that answer.
/// Hosts report to the hubs of their own zone, and hubs send what is new to the
/// hosts of their zone and to the hubs of the other zones. So a host that is no
/// hub sends and receives a constant number of messages. There is no election:
/// hosts that know the same reports choose alike, and a host acts as hub for
/// whoever asks it to. Decides without I/O; used on one thread.
class fleet_table
{
public:
    fleet_table(host_report self, const hub_policy& policy, time_point_t now);

    /// @brief Adds a host that has not reported yet, or its new address.
    void introduce(const host_report& row);

    /// @brief Dates this host's report; a changed one gets the next number.
    void renew(bool changed, time_point_t now);

    /// @brief Sets what this host reports of itself.
    void set_content(std::string content);

    /// @brief Whether this host has something to tell its zone as a hub, such
    /// as
    ///        what it reads for it.
    void set_speaks(bool speaks)
    {
        m_speaks = speaks;
    }

    /// @brief Adds a report that was received.
    /// @return whether it was new
    bool merge(const host_report& report, time_point_t now);

    /// @brief Records a message that came directly from a host.
    /// @param[in] asks  the host takes this one for a hub
    /// @param[in] is_hub  the host acts as hub itself
    void record_heard(const std::string& host, bool asks, bool is_hub,
                      time_point_t now);

    /// @brief Records a message of a host that knows no hubs; it is none.
    void record_foreign(const std::string& host, time_point_t now);

    /// @brief Records how long ago a hub heard of a zone.
    void record_zone(const std::string& zone, time_point_t heard_at);

    /// @brief Declares silent hosts down; to be called several times a second.
    /// @return the hosts that this one has declared down
    std::vector<std::string> advance(time_point_t now);

    /// @brief Whether this host passes reports on.
    bool acts_as_hub(time_point_t now) const;

    /// @brief Whether it has done so for long enough that all hosts of its zone
    ///        report to it.
    bool settled_hub(time_point_t now) const;

    /// @brief The hubs to report to; silent ones are replaced.
    std::vector<std::string> choose_hubs(time_point_t now);

    /// @brief Other hosts of the zone that act as hubs, and expect reports.
    std::vector<std::string> other_hubs(time_point_t now) const;

    /// @brief Hubs of the other zones that a hub sends to; silent ones are
    ///        replaced.
    std::vector<std::string> choose_distant_hubs(time_point_t now);

    /// @brief Hosts to ask for the hubs while none has been heard: the best
    ///        ones of the own zone, whatever was heard of them, and others in
    ///        turn.
    std::vector<std::string> strangers(std::size_t count, time_point_t now);

    /// @brief The best hosts of a zone by rank; this one may be among them.
    std::vector<std::string> hubs_of(std::string_view zone,
                                     time_point_t now) const;

    /// @brief Hosts of the own zone that a hub sends to.
    std::vector<std::string> zone_members() const;

    /// @brief Reports that have changed since a time.
    /// @param[in] zone  only of hosts of this zone; empty: of all
    std::vector<host_report> changed_since(std::string_view zone,
                                           time_point_t since) const;

    /// @brief All reports, this host's included.
    std::vector<host_report> all() const;

    /// @brief The report on a host, or null.
    const host_report* find(std::string_view host) const;

    /// @brief Zones and when a host of them was last heard, by any hub.
    std::map<std::string, time_point_t> zones(time_point_t now) const;

    /// @brief A hash of the versions of all reports.
    std::uint64_t digest() const;

    /// @brief Names of the live hosts, this one included.
    std::vector<std::string> live_hosts(time_point_t now) const;

    /// @brief IP addresses of all hosts.
    std::set<std::string> ips() const;

    /// @brief Whether a hub has been heard lately, or this host is the only one
    ///        of its zone.
    bool connected(time_point_t now) const;

    const host_report& self() const
    {
        return m_self;
    }

    /// @brief Number of known hosts, live or not.
    std::size_t size() const
    {
        return m_members.size() + 1;
    }

private:
    struct member
    {
        host_report report;
        time_point_t changed_at{};
        time_point_t heard_at{};     ///< last message that came directly
        time_point_t hub_heard_at{}; ///< last one as a hub
        time_point_t reported_at{};  ///< last one to this host as its hub
        time_point_t asked_since{};  ///< sent to as a hub, from then on
        time_point_t avoid_until{};
    };

    using members_t = std::map<std::string, member, std::less<>>;

    bool effectively_down(const member& each, time_point_t now) const;
    bool can_be_hub(const member& each, time_point_t now) const;
    template <typename Predicate>
    std::vector<std::string> best_hosts(std::string_view zone,
                                        Predicate eligible) const;
    /// The same after silent ones have been replaced.
    std::vector<std::string> answering_hubs(std::string_view zone,
                                            time_point_t now);
    time_point_t own_zone_heard() const;
    void shift(time_point_t::duration gap);

    host_report m_self;
    hub_policy m_policy;
    members_t m_members;
    std::map<std::string, time_point_t> m_zones; ///< heard of by any hub
    time_point_t m_started;
    time_point_t m_heard_at{};  ///< last message of any host
    time_point_t m_asked_at{};  ///< last time that a host took this for a hub
    time_point_t m_hub_since{}; ///< empty if this host is none
    time_point_t m_advanced_at{};
    std::size_t m_next_stranger = 0;
    bool m_speaks = false;
};

} // namespace rhubarbgrade
