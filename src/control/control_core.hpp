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

#include "../router/beat.hpp"       // beat_message
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

/// @brief A reservation taken over from another ledger whose outcome the
///        endpoint must tell.
struct doubtful_request
{
    std::string request;
    std::string endpoint;
    std::string address; ///< empty if the endpoint is no longer configured
    token_count_t reserved = 0;
    bool origin_ended = false;
};

/// @brief What control_core needs from the process around it.
struct core_hooks
{
    std::function<void()> wake_worker;
    std::function<void(std::shared_ptr<const routing_snapshot>)> publish;
};

/// @brief All control state of a router; lives on the control thread.
class control_core : private kj::TaskSet::ErrorHandler
{
public:
    control_core(const settings& read, kj::Network& network, kj::Timer& timer,
                 std::shared_ptr<spdlog::logger> log, core_hooks hooks);

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

    /// @name Traffic
    /// @{

    /// @brief Lets a reserved request go to an endpoint; kept once the second
    ///        host knows.
    kj::Promise<result<void>> assign_endpoint(const std::string& request,
                                              const std::string& endpoint);
    kj::Promise<result<void>> settle_request(const std::string& request,
                                             token_count_t tokens);
    result<void> release_request(const std::string& request);

    /// @brief Finds where a request was sent, here or at another router.
    /// @return the endpoint, empty if no router within reach knows it
    kj::Promise<std::string> find_request(const std::string& request);

    /// @brief The endpoint of a request that this router knows, or empty.
    std::string find_here(const std::string& request) const;

    /// @brief Claims a key that a router issued.
    kj::Promise<claim_answer> claim(const claim_call& call);

    /// @brief Claims a key if this router owns it.
    kj::Promise<claim_answer> claim_here(const claim_call& call);
    kj::Promise<void> answer(const ledger_id& owner, const answer_key& step);
    kj::Promise<void> drop_claim(const ledger_id& owner,
                                 const std::string& key);
    bool owns_keys_of(const ledger_id& owner) const;
    /// @brief Quarantines a request; kept once the zone's hosts know.
    kj::Promise<void> quarantine_request(const std::string& fingerprint);
    void set_leaving(bool leaving);

    /// @}
    /// @name Other routers
    /// @{

    beat_message make_beat();

    /// @brief The short message that answers a heartbeat.
    beat_message make_answer();
    void take_beat(const beat_message& beat);

    /// @}
    /// @name Platform and endpoints
    /// @{

    void take_hosts(const std::vector<listed_host>& hosts);
    std::vector<std::string> offer_manifest(const std::string& text);
    void offer_part(const std::string& digest, const std::string& text);
    void put_leaving_endpoints(leaving_set_t leaving);

    /// @brief Whether this host watches the configuration for its zone.
    bool watches() const;
    bool watches(const std::string& host) const;

    /// @brief Whether the ledger should be registered or paired anew.
    bool wants_pairing() const;
    second_host choose_second_host() const;
    void registered(const ledger_id& id, const second_host& second);

    /// @brief The platform says that this host's ledger was closed.
    void ledger_was_closed(const std::set<std::string>& stored_requests);

    /// @brief Ledgers of silent or restarted hosts that this host may close.
    std::vector<ledger_id> closable() const;

    /// @brief Takes over a ledger that the platform says is closed by us.
    void adopt(const ledger_id& id,
               const std::set<std::string>& stored_requests);

    std::vector<doubtful_request> doubtful() const;
    void put_ended_ledgers(std::set<ledger_id> ended);
    std::vector<ledger_id> own_ended_ledgers();
    void resolve(const doubtful_request& request, bool ran, token_count_t used);
    std::size_t host_count() const;

    /// @}

    /// @brief One round of heartbeats, evidence and snapshots.
    void tick();

    /// @brief This router's state as JSON text, for operators.
    std::string status_text() const;

private:
    void taskFailed(kj::Exception&& reason) override;
    std::string address_of(const std::string& host) const;
    token_peers token_peer_hosts() const;
    void send_beats();
    void take_reports(const beat_message& beat, time_point_t now);
    void take_quarantined(const std::vector<std::string>& fingerprints,
                          time_point_t now);
    void fetch_from(const std::string& host);
    void ask_for_hosts();
    void resume_if_heard();
    void publish_snapshot();
    void add_splits(routing_snapshot& shot) const;
    std::shared_ptr<const endpoint_shares> shares_now();
    endpoint_shares share_out(
        const std::map<std::string, std::vector<std::string>>& hosts) const;
    void follow_host_list(const beat_message& beat);
    void note_finished(const std::string& request);
    void adopt_operations(const ledger& book,
                          const std::set<std::string>& stored);
    void keep_solo(const ledger& book, const std::set<std::string>& stored);

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
    leaving_set_t m_leaving_endpoints; ///< by this host's own questions
    leaving_reports_t m_heard_reports; ///< of other hosts
    std::set<ledger_id> m_ended;
    std::map<ledger_id, std::set<std::string>> m_unfinished;
    std::vector<ledger> m_kept_solo; ///< to be adopted by the next ledger
    std::set<std::string> m_fetching;
    std::uint64_t m_host_list = 0; ///< digest of the host list
    std::shared_ptr<const customer_keys_t> m_customer_keys;
    std::shared_ptr<const endpoint_shares> m_shares;
    std::map<std::string, std::vector<std::string>> m_shared_among;
    generation_t m_shared_generation = 0;
    kj::TaskSet m_tasks;
};

} // namespace rhubarbgrade
