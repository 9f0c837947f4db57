#pragma once

#include <array>      // array
#include <cstdint>    // uint64_t
#include <deque>      // deque
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <set>        // set
#include <string>     // string
#include <utility>    // pair

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <rhubarbgrade/detail/fleet/cold_endpoints.hpp> // cold_evidence
#include <rhubarbgrade/detail/fleet/endpoint_book.hpp>  // endpoint_registry
#include <rhubarbgrade/detail/fleet/evacuations.hpp>    // evacuation_book
#include <rhubarbgrade/detail/fleet/fleet_view.hpp>     // fleet_view_ptr_t
#include <rhubarbgrade/detail/fleet/node_settings.hpp>  // node_settings

#include "../gateway/traffic_context.hpp" // version_sample
#include "../peers/peer_exchange.hpp"     // peer_exchange
#include "../store/store_client.hpp"      // store_client
#include "../store/watcher.hpp"           // watch_listener
#include "crash_pool.hpp"                 // crash_pool
#include "escrow_keeper.hpp"              // escrow_keeper
#include "limit_pool.hpp"                 // limit_pool
#include "log_quota.hpp"                  // log_quota
#include "member_keeper.hpp"              // member_keeper
#include "move_keeper.hpp"                // move_keeper
#include "store_reader.hpp"               // store_reader
#include "witness_keeper.hpp"             // witness_keeper

namespace rhubarbgrade
{

/// @brief Calls from the control thread to the traffic thread; each function
///        posts its argument to the traffic thread and returns at once.
struct traffic_callbacks
{
    std::function<void(fleet_view_ptr_t)> publish_view;
    escrow_listener escrow;
};

/// @brief The logic of the control thread.
///
/// Watches the store for the configuration, the endpoint list and moves,
/// exchanges state with peers, and publishes the resulting fleet view to the
/// traffic thread. After @ref start, all members run on the control thread.
class node_control
{
public:
    node_control(boost::asio::io_context& loop, const node_settings& settings,
                 std::string incarnation, traffic_callbacks traffic);

    /// @brief The address on which this host listens for peers.
    socket_address peer_address() const
    {
        return m_peers.address();
    }

    /// @brief Starts the watches of the store, the peer exchange and the
    ///        periodic tasks.
    void start();

    /// @brief Stores the token holdings and usage that the traffic thread
    ///        reports.
    void update_wallet_states(wallet_states_t states);

    /// @brief The traffic thread has lowered its holdings to these.
    void on_holdings_lowered(const token_map_t& holdings);

    /// @brief Adds answered and failed attempts to the evidence on moves.
    void record_samples(const std::vector<version_sample>& samples);

    /// @brief Records the crash of an endpoint's process, with the suspects of
    ///        the requests that this host had there.
    void record_crash(std::uint64_t process, const crash_suspects_t& suspects);

    /// @brief Records an answer that bears on an endpoint's request limit.
    void record_limit(const limit_observation& observation);

    /// @brief Tells peers whether this host passes connections on to endpoints.
    /// @param[in] port  at which it does; 0: it does not
    void set_relay_port(std::uint16_t port);

    /// @brief Requests with these suspects were answered whole.
    void clear_suspects(const std::set<std::uint64_t>& ids);

    /// @brief Returns unused tokens to the store, then calls @a done.
    /// @param[in] final_states  of the wallets when traffic has ended
    void close(wallet_states_t final_states, std::function<void()> done);

private:
    watch_listener make_configuration_listener();
    watch_listener make_endpoint_listener();
    watch_listener make_move_listener();
    watch_listener make_evacuation_listener();
    peer_listener make_peer_listener();
    escrow_listener make_escrow_listener();
    witness_callbacks make_witness_callbacks();
    void apply_configuration(const std::string& spec);
    void apply_endpoint(const platform::stored_object& object);
    /// Logs that an endpoint's entry names none, once for each state of it.
    void report_unusable(const platform::stored_object& object,
                         const error& fault);
    member_callbacks make_member_callbacks();
    /// Handles what a host says of itself, at first or second hand.
    void apply_report(const peer_heartbeat& heartbeat, time_point_t made_at);
    /// Tells who may be a witness or a writer of the account.
    void record_live_hosts(time_point_t now);
    /// Compares a host's state with the own one; requests it if it is newer.
    void compare_state(const peer_heartbeat& heartbeat);
    /// Acts on an era of the store that this host has just learned of.
    void tell_era();
    /// Publishes the hosts if they have changed.
    void publish_hosts();
    void apply_peer_state(const peer_state& state);
    /// Takes over a newer list of evacuations.
    void apply_evacuations(const evacuation_list& list);
    /// @param[in] before  the zones that were evacuated
    void on_evacuations_changed(const std::set<std::string>& before);
    /// Whether the settings name a bound for evacuations. Without it they
    /// aren't read: a watch costs calls to the store.
    bool uses_evacuations() const;
    /// Whether this host can learn the evacuations that it needs from a host.
    bool knows_evacuations(const peer_heartbeat& heartbeat) const;
    /// Whether requests may be sent: the evacuations are known, or nobody has
    /// told them for a while.
    bool may_serve(time_point_t now) const;
    void record_store_answer(bool answered);
    /// When this host's state was the store's, at least; empty if that isn't
    /// known: a first list may be of any age.
    std::optional<time_point_t> confirmed_at() const;
    /// Age of this host's state, at most; empty if it isn't known.
    std::optional<milliseconds> state_age(time_point_t now) const;
    /// From when on this host waits for others to confirm its state before it
    /// reads the store by itself: not before its start.
    time_point_t waits_since() const;
    bool store_is_current(time_point_t now) const;
    /// Whether this host reads the store itself and gets answers.
    bool reads_store(time_point_t now) const;
    /// Adds this host's changes of the endpoints to the news for its zone.
    void add_changes(peer_news& news, time_point_t since) const;
    /// Applies the changes that a hub has sent; requests its state if they are
    /// not all that is missing.
    void apply_changes(const peer_news& news);
    void apply_change(const endpoint_change& change, time_point_t now);
    /// Requests the state of a hub of another zone that has been ahead of this
    /// host for a while: the reader of the own zone has failed.
    void compare_distant(const peer_news& news, time_point_t now);
    /// This host has the state that a hub tells of.
    void confirm(const peer_news& news, time_point_t now);
    void confirm_age(const peer_news& news, time_point_t now);
    /// All changes of the endpoints up to a revision have been reported.
    void reach(std::uint64_t revision);
    /// Sets the position that this host has reached by reading the store.
    void set_read_position(std::uint64_t revision, time_point_t now);
    void choose_reader(time_point_t now);
    /// Lets this host read the store as soon as its state gets too old.
    boost::asio::awaitable<void> watch_state_age();
    void set_endpoints_known(time_point_t now);
    void set_position(store_position position, time_point_t now);
    /// Revision up to which changes of all kinds are known here, even if others
    /// have read them; 0: not known.
    std::uint64_t settled_revision() const;
    std::uint64_t state_digest() const;
    peer_heartbeat make_heartbeat();
    peer_state make_state() const;
    void publish();
    /// Publishes if the quarantine has changed or there are new suspects.
    void publish_crashes(time_point_t now);
    void check_configuration(time_point_t now);
    /// Publishes if this host's shares of request limits have changed.
    /// @return whether they have
    bool publish_limits(time_point_t now);
    /// Publishes if this host's shares of cold endpoints have changed.
    void publish_cold(time_point_t now);
    /// Whether a live host has run since well before this one started.
    bool others_run(time_point_t now) const;
    std::map<std::uint64_t, request_share> share_cold(time_point_t now) const;
    void forget_gone_limits();
    /// This host's part of the slots of brittle endpoints, by process.
    std::map<std::uint64_t, slot_share> share_slots(time_point_t now) const;
    /// Publishes if the hosts that pass connections on have changed.
    void publish_relays(time_point_t now);
    boost::asio::awaitable<void> tick();

    boost::asio::io_context& m_loop;
    const node_settings& m_settings;
    peer_exchange m_peers;
    node_identity m_identity;
    traffic_callbacks m_traffic;
    store_client m_store;
    store_reader m_reader;
    witness_keeper m_witnesses;
    escrow_keeper m_escrow;
    move_keeper m_moves;
    member_keeper m_members;
    crash_pool m_crashes;
    limit_pool m_limits;
    limit_pool m_brittle; ///< rejections that endpoints survive
    endpoint_registry m_endpoints;
    /// Revisions of the entries that name no endpoint, by the hash of the name,
    /// which may be long.
    std::map<std::uint64_t, std::uint64_t> m_unusable;
    log_quota m_ignored_log; ///< of objects that are not used
    evacuation_book m_evacuations;
    cold_evidence m_cold_evidence;
    std::shared_ptr<const deployment> m_configuration;
    std::string m_configuration_text; ///< as stored, for peers
    std::vector<endpoint_entry> m_published_endpoints;
    std::set<std::uint64_t> m_published_suspects;
    std::map<std::uint64_t, int> m_published_quarantine;
    std::map<std::uint64_t, request_share> m_published_shares;
    std::map<std::uint64_t, slot_share> m_published_slots;
    std::map<std::uint64_t, request_share> m_published_cold;
    std::vector<relay_host> m_published_relays;
    std::set<std::string> m_host_ips;
    std::uint16_t m_relay_port = 0; ///< of this host
    std::size_t m_host_count = assumed_host_count;
    const time_point_t m_started;
    const std::uint64_t m_started_at_ms; ///< the same in Unix time
    time_point_t m_confirmed_at{};       ///< by a peer; see confirmed_at
    time_point_t m_told_at{};  ///< state of the zone's reader, in its news
    store_position m_position; ///< of the endpoints
    /// Two earlier ones, some seconds apart, and when they were reached.
    std::array<store_position, 2> m_earlier{};
    std::array<time_point_t, 2> m_earlier_at{};
    /// Changes of the endpoints that this host has read, and when.
    std::deque<std::pair<time_point_t, endpoint_change>> m_changes;
    time_point_t m_ahead_since{};  ///< first news of a distant hub ahead
    time_point_t m_behind_since{}; ///< first heartbeat with a newer version
    bool m_configuration_overdue = false; ///< refuses requests meanwhile
    bool m_was_current = false;           ///< the state, at the last tick
    bool m_endpoints_known = false;
    time_point_t m_endpoints_known_at{};
    bool m_may_serve = false; ///< as published
    bool m_moves_known = false;
    std::uint64_t m_told_era = 0;   ///< of the store, in heartbeats
    std::uint64_t m_listed_era = 0; ///< of the store's last endpoint list
    bool m_list_incomplete = false; ///< the store's list may lack endpoints

    /// Fleet size that limits are divided by until the account in the store has
    /// been read.
    static constexpr std::size_t assumed_host_count = 16;
};

} // namespace rhubarbgrade
