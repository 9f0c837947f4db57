#pragma once

#include <cstdint>    // uint64_t
#include <functional> // function
#include <list>       // list
#include <memory>     // shared_ptr, weak_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/ip/udp.hpp>       // udp
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <rhubarbgrade/detail/fleet/node_settings.hpp> // node_settings

#include "peer_state.hpp" // peer_heartbeat, peer_state

namespace rhubarbgrade
{

class http_link;

/// @brief Callbacks of @ref peer_exchange; called on the control thread.
struct peer_listener
{
    /// Returns the heartbeat to send now.
    /// Called periodically, to send this host's heartbeat and what it passes
    /// on.
    std::function<void()> heartbeat_due;
    /// Returns the state to send to a peer that requests it.
    std::function<peer_state()> current_state;
    /// The same with nothing but the reports on all hosts.
    std::function<peer_state()> current_reports;
    std::function<void(const peer_heartbeat&)> heartbeat_received;
    std::function<void(const peer_news&)> news_received;
    /// Handles a request or a confirmation of a spending ceiling.
    /// @return the answer to send, if there is one
    std::function<std::optional<witness_message>(const witness_message&)>
        witness_message_received;
    /// A peer asks this host to write its change to the escrow account.
    std::function<void(const account_change&)> change_received;
    std::function<void(const account_answer&)> answer_received;
    /// The state that @ref peer_exchange::request_state asked for has arrived.
    std::function<void(const peer_state&)> state_received;
};

/// @brief Communication between the hosts of the fleet.
///
/// Hosts exchange UDP datagrams, and each serves its whole state over HTTP on
/// the same port; who sends to whom is decided by @ref member_keeper. A host
/// requests a peer's state only when a heartbeat shows data that it has not
/// received from the store itself. All members run on the control thread.
class peer_exchange
{
public:
    /// @brief Binds the peer address of the settings, for UDP and TCP.
    /// @throw boost::system::system_error if it can't be bound
    peer_exchange(boost::asio::io_context& loop, const node_settings& settings,
                  peer_listener listener);

    /// @brief Starts to send heartbeats and to receive from peers; the tasks
    ///        run until the program exits.
    void start();

    /// @brief The bound address, with the port that the kernel chose if it is 0
    ///        in the settings.
    socket_address address() const;

    /// @brief Sends a message to an address, without retries.
    void send(const socket_address& address, const witness_message& message);
    void send(const socket_address& address, const account_change& change);
    void send(const socket_address& address, const account_answer& answer);

    /// @brief Sends an encoded datagram, without retries. One that is too large
    ///        is dropped and logged.
    void send_bytes(const socket_address& address, const std::string& bytes);

    /// @brief Sends the next heartbeat soon instead of at its time.
    void hasten_heartbeat();

    /// @brief Requests the state of the host at an address, unless a request to
    /// any host is in
    ///        progress. On failure nothing is reported; the next heartbeat
    ///        triggers a new request.
    void request_state(const socket_address& address);

    /// @brief Requests the reports on all hosts that the host at an address
    ///        has; otherwise as @ref request_state.
    void request_reports(const socket_address& address);

private:
    boost::asio::awaitable<void> send_heartbeats();
    boost::asio::awaitable<void> receive_datagrams();
    void handle_datagram(const peer_datagram_t& datagram,
                         const boost::asio::ip::udp::endpoint& from);
    boost::asio::awaitable<void> accept_state_requests();
    boost::asio::awaitable<void> answer_state_request(
        std::shared_ptr<boost::asio::ip::tcp::socket> connection);
    boost::asio::awaitable<void> fetch_state(socket_address address,
                                             std::string target);

    boost::asio::io_context& m_loop;
    const node_settings& m_settings;
    peer_listener m_listener;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_heartbeat_timer;
    /// Connections of state requests, the oldest first.
    std::list<std::weak_ptr<boost::asio::ip::tcp::socket>> m_state_requests;
    bool m_fetching = false; ///< a state request is in progress
    bool m_heartbeat_hastened = false;
};

} // namespace rhubarbgrade
