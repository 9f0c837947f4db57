#pragma once

#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/awaitable.hpp>  // awaitable
#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/ip/tcp.hpp>     // tcp
#include <boost/asio/ip/udp.hpp>     // udp

#include <rhubarbgrade/detail/fleet/node_settings.hpp> // node_settings

#include "peer_state.hpp" // peer_beat, peer_state

namespace rhubarbgrade
{

class http_link;

/// @brief What the exchange asks of the rest of control.
struct peer_listener
{
    std::function<peer_beat()> beat;   ///< to be sent now
    std::function<peer_state()> state; ///< for a peer that asks
    std::function<void(const peer_beat&)> heard;
    /// A witness's message has come. @return the answer, if there is one
    std::function<std::optional<witness_message>(const witness_message&)>
        witnessed;
    std::function<void(const peer_state&)> caught_up;
};

/// @brief Tells peers what this host knows and asks those that know more.
///
/// Beats are small datagrams; only a host that has lost the store, and learns
/// from a beat that it has missed something, asks a peer for its whole state.
class peer_exchange
{
public:
    /// @brief Binds the address for peers, for datagrams and connections.
    /// @throw boost::system::system_error if it can't be had
    peer_exchange(boost::asio::io_context& loop, const node_settings& settings,
                  peer_listener listener);

    /// @brief Begins to send and to answer.
    void start();

    /// @brief Where peers find this host.
    socket_address address() const;

    /// @brief Takes over where the hosts are, by name.
    void set_peers(const std::map<std::string, socket_address>& peers);

    /// @brief Sends a host a message that may be lost.
    void send(const std::string& host, const witness_message& message);

    /// @brief Asks a host for its state, unless it is being asked.
    void ask(const std::string& host);

private:
    boost::asio::awaitable<void> send_beats();
    boost::asio::awaitable<void> receive_datagrams();
    void take(const peer_datagram_t& datagram,
              const boost::asio::ip::udp::endpoint& from);
    boost::asio::awaitable<void> accept_questions();
    boost::asio::awaitable<void>
    answer_questions(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> ask_one(socket_address address);

    boost::asio::io_context& m_loop;
    const node_settings& m_settings;
    peer_listener m_listener;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, socket_address> m_peers;
    bool m_asking = false;
};

} // namespace rhubarbgrade
