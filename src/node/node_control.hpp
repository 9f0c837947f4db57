#pragma once

#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <string>     // string

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <rhubarbgrade/detail/fleet/endpoint_book.hpp> // endpoint_book
#include <rhubarbgrade/detail/fleet/fleet_view.hpp>    // fleet_view_ptr_t
#include <rhubarbgrade/detail/fleet/node_settings.hpp> // node_settings

#include "../gateway/traffic_context.hpp" // version_sample
#include "../peers/peer_exchange.hpp"     // peer_exchange
#include "../store/store_client.hpp"      // store_client
#include "../store/watcher.hpp"           // watch_listener
#include "crash_pool.hpp"                 // crash_pool
#include "escrow_keeper.hpp"              // escrow_keeper
#include "move_keeper.hpp"                // move_keeper
#include "witness_keeper.hpp"             // witness_keeper

namespace rhubarbgrade
{

/// @brief What control tells the traffic thread; each runs there.
struct traffic_port
{
    std::function<void(fleet_view_ptr_t)> view;
    escrow_listener escrow;
};

/// @brief The control thread: follows the store and decides what the traffic
///        thread works with.
class node_control
{
public:
    node_control(boost::asio::io_context& loop, const node_settings& settings,
                 std::string incarnation, traffic_port traffic);

    /// @brief Where peers find this host.
    socket_address peer_address() const
    {
        return m_peers.address();
    }

    /// @brief Starts to follow the store.
    void start();

    void note_states(wallet_states_t states);
    void note_lowered(const token_map_t& holdings);
    void note_samples(const std::vector<version_sample>& samples);
    void note_crash(std::uint64_t fingerprint);

    /// @brief Gives unused tokens back, then calls @a done.
    void close(wallet_states_t last, std::function<void()> done);

private:
    watch_listener configuration_listener();
    watch_listener endpoint_listener();
    watch_listener move_listener();
    peer_listener listener_for_peers();
    escrow_listener listener_for_escrow();
    witness_port port_for_witnesses();
    void take_configuration(const std::string& spec);
    void take_endpoint(const platform::stored_object& object);
    void take_hosts(const escrow_book& book);
    void take_beat(const peer_beat& beat);
    void take_state(const peer_state& state);
    void note_answer(bool answered);
    bool fresh(time_point_t now) const;
    std::uint64_t state_digest() const;
    peer_beat make_beat();
    peer_state make_state() const;
    void publish();
    boost::asio::awaitable<void> tick();

    boost::asio::io_context& m_loop;
    const node_settings& m_settings;
    peer_exchange m_peers;
    node_identity m_identity;
    traffic_port m_traffic;
    store_client m_store;
    witness_keeper m_witnesses;
    escrow_keeper m_escrow;
    move_keeper m_moves;
    crash_pool m_crashes;
    endpoint_book m_endpoints;
    std::shared_ptr<const deployment> m_configuration;
    std::string m_configuration_text; ///< as it lies in the store
    std::vector<endpoint_entry> m_published;
    std::size_t m_hosts = unknown_hosts;
    time_point_t m_answered{};     ///< last answer of the store
    time_point_t m_behind_since{}; ///< a peer has a newer configuration
    bool m_endpoints_known = false;

    /// Hosts assumed to share limits until the store tells how many do.
    static constexpr std::size_t unknown_hosts = 16;
};

} // namespace rhubarbgrade
