#pragma once

#include <functional> // function
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <rhubarbgrade/detail/fleet/node_settings.hpp> // node_settings

#include "traffic_context.hpp" // traffic_context

namespace rhubarbgrade
{

/// @brief What the traffic thread tells control; each runs there.
struct control_port
{
    std::function<void(wallet_states_t)> states;
    std::function<void(token_map_t)> lowered;
    std::function<void(std::vector<version_sample>)> samples;
    std::function<void(std::uint64_t)> crashed;
};

/// @brief The traffic thread: takes callers' connections and answers the
///        balancer's question whether this host is ready.
class traffic_loop
{
public:
    traffic_loop(boost::asio::io_context& loop, const node_settings& settings,
                 control_port control);

    /// @brief Listens on the addresses of the settings.
    /// @throw boost::system::system_error if one can't be had
    void start();

    std::uint16_t caller_port() const
    {
        return m_callers.local_endpoint().port();
    }

    std::uint16_t readiness_port() const
    {
        return m_questions.local_endpoint().port();
    }

    void set_view(fleet_view_ptr_t view);
    /// @brief Takes over changed bounds.
    void set_bounds(const node_bounds& bounds);

    void set_news(const budget_news_t& news);
    void lower(const token_map_t& holdings);

    /// @brief Begins the graceful shutdown; @a done gets the last state of
    ///        the wallets when no request is in flight or time is up.
    void stop(std::function<void(wallet_states_t)> done);

private:
    using tcp_t = boost::asio::ip::tcp;

    boost::asio::awaitable<void> accept_callers();
    boost::asio::awaitable<void> accept_questions();
    boost::asio::awaitable<void> answer_questions(tcp_t::socket socket);
    boost::asio::awaitable<void> report();
    boost::asio::awaitable<void>
    drain(std::function<void(wallet_states_t)> done);
    void listen(tcp_t::acceptor& on, const socket_address& address);
    void send_states();
    bool ready() const;

    boost::asio::io_context& m_loop;
    const node_settings& m_settings;
    control_port m_control;
    std::vector<version_sample> m_samples;
    traffic_context m_context;
    tcp_t::acceptor m_callers;
    tcp_t::acceptor m_questions;
    bool m_wanted = false; ///< states are on their way for a waiting request
};

} // namespace rhubarbgrade
