#pragma once

#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <random>     // mt19937_64
#include <set>        // set
#include <string>     // string
#include <vector>     // vector

#include <kj/async-io.h> // Network, Timer
#include <kj/async.h>    // Promise, TaskSet

#include <rhubarbgrade/detail/base/error.hpp>         // result
#include <rhubarbgrade/detail/config/settings.hpp>    // settings
#include <rhubarbgrade/detail/control/claim_call.hpp> // claim_call
#include <rhubarbgrade/detail/control/snapshot.hpp>   // routing_snapshot
#include <rhubarbgrade/detail/membership/leaving.hpp> // leaving_reports_t
#include <rhubarbgrade/detail/membership/members.hpp> // members_t
#include <rhubarbgrade/detail/routing/quarantine.hpp> // quarantine

#include "../router/beat.hpp"       // heartbeat_message
#include "../router/peer_calls.hpp" // peer_calls
#include "configuration_store.hpp"  // configuration_store
#include "grant_manager.hpp"        // grant_manager
#include "ledger_owner.hpp"         // ledger_owner
#include "move_tracker.hpp"         // move_tracker
#include "replica_store.hpp"        // replica_store

namespace spdlog
{
class logger;
}

namespace rhubarbgrade
{

/// @brief An in-doubt request: its reservation was adopted from a closed ledger
///        and its outcome has to be queried from the endpoint.
struct in_doubt_request
{
    std::string request;  ///< id of the request
    std::string endpoint; ///< empty if the request was not assigned to one
    std::string address;  ///< empty if the endpoint is no longer configured
    token_count_t reserved = 0;

    /// Whether the process that made the reservation has finished with all
    /// requests of its ledger; a request that the endpoint does not know then
    /// will not run later.
    bool origin_ended = false;
};

/// @brief Callbacks of @ref control_core.
struct core_hooks
{
    /// Starts a round of the platform worker without waiting for its timer.
    std::function<void()> wake_worker;

    /// Makes a new snapshot available to the traffic threads.
    std::function<void(std::shared_ptr<const routing_snapshot>)> publish;
};

/// @brief Control state of a router; used on the control thread only.
class control_core : private kj::TaskSet::ErrorHandler
{
public:
    control_core(const settings& options, kj::Network& network,
                 kj::Timer& timer, std::shared_ptr<spdlog::logger> log,
                 core_hooks hooks);

    /// @brief Incarnation of this process: start time, milliseconds of the
    ///        wall clock.
    std::uint64_t boot() const
    {
        return m_boot;
    }

    ledger_owner& owner()
    {
        return m_owner;
    }

    replica_store& replicas()
    {
        return m_replicas;
    }

    grant_manager& grants()
    {
        return m_grants;
    }

    move_tracker& moves()
    {
        return m_moves;
    }

    const configuration_store& configuration() const
    {
        return m_configuration;
    }

    const members_t& members() const
    {
        return m_members;
    }

    /// @name Requests
    /// @{

    /// @brief Records which endpoint will run a reserved request.
    /// @return resolves once the assignment is replicated; only then may the
    ///         request be dispatched
    kj::Promise<result<void>> assign_endpoint(const std::string& request,
                                              const std::string& endpoint);

    /// @brief Bills a request for @a tokens and frees the rest of its
    ///        reservation.
    /// @return @ref errc::ledger_closed if the reservation is not in this
    ///         host's ledger any more
    kj::Promise<result<void>> settle_request(const std::string& request,
                                             token_count_t tokens);

    /// @brief Frees the reservation of a request that did not run.
    result<void> release_request(const std::string& request);

    /// @brief Finds the endpoint that this or any reachable router has sent a
    ///        request to.
    /// @return the endpoint, or empty if none of them knows the request
    kj::Promise<std::string> find_request(const std::string& request);

    /// @brief Finds the endpoint of a request in this host's ledger and in the
    ///        replicas that it holds.
    /// @return the endpoint, or empty
    std::string find_request_locally(const std::string& request) const;

    /// @brief Claims an issued key at its owner, this or another router.
    kj::Promise<claim_answer> claim(const claim_call& call);

    /// @brief Claims a key in this host's ledger.
    /// @return @ref claim_status::not_owner if another host owns the key
    kj::Promise<claim_answer> claim_locally(const claim_call& call);

    /// @brief Stores the answer to a claimed key at the owner of the key.
    /// @param[in] owner  ledger that issued the key
    /// @param[in] step   key and answer
    kj::Promise<void> answer(const ledger_id& owner, const answer_key& step);

    /// @brief Frees a claimed key whose request was not dispatched.
    kj::Promise<void> drop_claim(const ledger_id& owner,
                                 const std::string& key);

    /// @brief Whether this host's ledger owns the keys that @a owner issued.
    bool owns_keys_of(const ledger_id& owner) const;

    /// @brief Quarantines a request in this zone.
    /// @return resolves once all live hosts of the zone have been notified or
    ///         the calls have failed
    kj::Promise<void> quarantine_request(const std::string& fingerprint);

    /// @brief Sets whether this host leaves, and announces it by heartbeat.
    void set_leaving(bool leaving);

    /// @}
    /// @name Other routers
    /// @{

    /// @brief Composes a heartbeat and increments this host's heartbeat count.
    heartbeat_message make_beat();

    /// @brief Composes the response to a heartbeat: a heartbeat without host
    ///        counts, evidence and reports on leaving endpoints.
    heartbeat_message make_heartbeat_response();

    /// @brief Applies a heartbeat or the response to one.
    void take_beat(const heartbeat_message& beat);

    /// @}
    /// @name Platform and endpoints
    /// @{

    /// @brief Replaces the platform's host list.
    void take_hosts(const std::vector<listed_host>& hosts);

    /// @brief Stores a manifest; it comes into force once all its parts are
    ///        stored.
    /// @return digests of the parts that are missing
    std::vector<std::string> offer_manifest(const std::string& text);

    /// @brief Stores a part of the configuration and puts the next manifest in
    ///        force if this was its last missing part.
    void offer_part(const std::string& digest, const std::string& text);

    /// @brief Replaces the endpoints that reported to this host that they are
    ///        draining; other hosts learn changes by heartbeat.
    void publish_leaving_endpoints(leaving_set_t leaving);

    /// @brief Whether this host reads the configuration, the host list and the
    ///        ends of moves from the platform; the other hosts of the zone
    ///        receive them from their peers.
    bool watches() const;

    /// @brief Whether @a host, of the same zone, does so.
    bool watches(const std::string& host) const;

    /// @brief Whether the ledger has to be registered at the platform, or
    ///        registered with another second host.
    bool needs_pairing() const;

    /// @brief Selects the second host for this host's ledger.
    /// @return a live host of the zone, or an empty host name if there is none
    second_host choose_second_host() const;

    /// @brief Called when the platform has recorded this host's ledger and its
    ///        second host.
    void registered(const ledger_id& id, const second_host& second);

    /// @brief Called when the platform shows that another host has closed this
    ///        host's ledger.
    /// @param[in] stored_requests  requests whose bills are on the platform
    ///                             although the ledger still lists them
    void ledger_was_closed(const std::set<std::string>& stored_requests);

    /// @brief Ledgers with a replica here whose hosts are silent or restarted,
    ///        so that this host should close them.
    std::vector<ledger_id> closable() const;

    /// @brief Adds the contents of a replicated ledger to this host's ledger.
    /// @param[in] id               a ledger that the platform has recorded as
    ///                             closed by this host
    /// @param[in] stored_requests  requests whose bills are on the platform
    ///                             although the replica still lists them
    void adopt(const ledger_id& id,
               const std::set<std::string>& stored_requests);

    /// @brief Adopted reservations of the shared pool that are unresolved.
    std::vector<in_doubt_request> in_doubt_requests() const;

    /// @brief Replaces the ledgers that the platform records as ended: their
    ///        processes have finished with all their requests.
    void set_ended_ledgers(std::set<ledger_id> ended);

    /// @brief Closed ledgers of this process, all of whose requests have
    ///        finished here.
    std::vector<ledger_id> own_ended_ledgers();

    /// @brief Settles an in-doubt request that ran, or releases one that did
    ///        not.
    /// @param[in] used  tokens; at most the reserved tokens are billed
    void resolve(const in_doubt_request& request, bool ran, token_count_t used);

    /// @brief Number of hosts in all zones, at least 1.
    std::size_t host_count() const;

    /// @}

    /// @brief Periodic work, once in each heartbeat interval: advances moves,
    ///        publishes a snapshot and sends heartbeats.
    void tick();

    /// @brief State of this router as JSON text, for operators.
    std::string status_text() const;

private:
    void taskFailed(kj::Exception&& reason) override;
    /// Address for RPC of a host, from the settings or the host list; empty if
    /// the host is unknown.
    std::string address_of(const std::string& host) const;
    reachable_peers current_peers() const;
    void send_beats();
    void merge_leaving_reports(const heartbeat_message& beat, time_point_t now);
    void merge_quarantined(const std::vector<std::string>& fingerprints,
                           time_point_t now);
    /// Fetches the manifest and its missing parts from another router.
    void fetch_configuration(const std::string& host);
    void fetch_first_host_list();
    void resume_if_second_is_alive();
    void publish_snapshot();
    void add_splits(routing_snapshot& snapshot) const;
    /// Shares for the current hosts and configuration; cached.
    std::shared_ptr<const endpoint_shares> current_shares();
    /// @param[in] hosts  hosts that get shares, by zone
    endpoint_shares compute_shares(
        const std::map<std::string, std::vector<std::string>>& hosts) const;
    void fetch_changed_host_list(const heartbeat_message& beat);
    void mark_finished(const std::string& request);
    void adopt_contents(const ledger& adopted,
                        const std::set<std::string>& stored);
    void retain_solo(const ledger& closed_ledger,
                     const std::set<std::string>& stored);

    settings m_settings;
    std::shared_ptr<spdlog::logger> m_log;
    core_hooks m_hooks;
    std::uint64_t m_boot;
    std::mt19937_64 m_random;
    members_t m_members;
    std::uint64_t m_beat_count = 0;
    bool m_leaving = false;
    peer_calls m_peers;
    ledger_owner m_owner;
    replica_store m_replicas;
    grant_manager m_grants;
    move_tracker m_moves;
    configuration_store m_configuration;
    quarantine m_quarantine;
    leaving_set_t m_leaving_endpoints;   ///< as reported to this host
    leaving_reports_t m_leaving_reports; ///< from other hosts
    std::set<ledger_id> m_ended_ledgers;
    /// Requests of this process that were reserved in ledgers closed since, and
    /// have not finished, by ledger.
    std::map<ledger_id, std::set<std::string>> m_unfinished_requests;
    /// Solo pools of closed ledgers of this process, for its next ledger.
    std::vector<ledger> m_retained_solo;
    std::set<std::string> m_fetch_sources; ///< hosts of running fetches
    std::uint64_t m_host_list_digest = 0;  ///< 0: no list yet
    std::shared_ptr<const customer_keys_t> m_customer_keys;
    std::shared_ptr<const endpoint_shares> m_shares;
    std::map<std::string, std::vector<std::string>>
        m_shares_hosts; ///< hosts for which m_shares was computed
    generation_t m_shares_generation = 0; ///< likewise the configuration
    kj::TaskSet m_tasks;
};

} // namespace rhubarbgrade
