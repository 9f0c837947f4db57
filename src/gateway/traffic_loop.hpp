#pragma once

#include <functional>  // function
#include <list>        // list
#include <memory>      // shared_ptr
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <rhubarbgrade/detail/fleet/node_settings.hpp> // node_settings

#include "traffic_context.hpp" // traffic_context

namespace rhubarbgrade
{

/// @brief Functions by which the traffic thread reports to the control thread.
///        They are called on the traffic thread and post to the control thread.
struct control_port
{
    /// Tokens held, reserved and used, by customer.
    std::function<void(wallet_states_t)> states;
    /// Holdings that remain after @ref traffic_loop::lower.
    std::function<void(token_map_t)> lowered;
    /// Results of attempts at services with a running move.
    std::function<void(std::vector<version_sample>)> samples;
    /// Crashes of endpoints, and requests that were answered whole.
    crash_listener crashes;
    /// Answers that bear on the request limit of an endpoint.
    std::function<void(const limit_observation&)> limit_observed;
    /// The port at which connections are passed on to endpoints has changed; 0:
    /// this host passes none on.
    std::function<void(std::uint16_t)> relay_changed;
};

/// @brief The traffic thread: accepts callers' connections, and serves the
///        readiness checks of the load balancer.
///
/// Except for @ref start and the port accessors, its functions must be called
/// on the thread that runs the I/O context.
class traffic_loop
{
public:
    traffic_loop(boost::asio::io_context& loop, const node_settings& settings,
                 hedge_limit hedging, control_port control);

    /// @brief Listens on the addresses of the settings.
    /// @throw boost::system::system_error if an address can't be bound
    void start();

    std::uint16_t caller_port() const
    {
        return m_caller_acceptor.local_endpoint().port();
    }

    std::uint16_t readiness_port() const
    {
        return m_readiness_acceptor.local_endpoint().port();
    }

    /// @brief Applies a new view of the fleet and wakes waiting requests.
    void set_view(fleet_view_ptr_t view);

    /// @brief Applies changed bounds.
    void set_bounds(const node_bounds& bounds);

    /// @brief Applies the state of budgets that control has confirmed.
    void update_budgets(const budget_statuses_t& budgets);

    /// @brief Lowers holdings and reports what remains to control.
    void lower(const token_map_t& holdings);

    /// @brief Begins the graceful shutdown; later calls do nothing.
    /// @param[in] signalled  when the process was told to stop
    /// @param[in] done  called with the final state of the wallets when no
    ///                  request is in flight or the grace period is over
    void stop(time_point_t signalled,
              std::function<void(wallet_states_t)> done);

    /// @brief Stops the I/O context; what is still served is cut off.
    void finish();

private:
    using tcp_t = boost::asio::ip::tcp;

    boost::asio::awaitable<void> accept_callers();
    /// Serves the connections that wait to be accepted and listens no more.
    void close_caller_port();
    boost::asio::awaitable<void> accept_readiness_checks();
    boost::asio::awaitable<void> accept_relayed();
    /// Tells control whether this host passes connections on, if that has
    /// changed.
    void announce_relay();
    bool takes_relayed() const;
    /// Closes the connections of peers that carry no request.
    /// @return whether there are others
    bool close_quiet_relays(time_point_t now);
    /// Lets connections end before the next one is accepted.
    boost::asio::awaitable<void> pause_accepting();
    boost::asio::awaitable<void>
    answer_readiness_checks(std::shared_ptr<tcp_t::socket> connection);
    boost::asio::awaitable<void> report_periodically();
    boost::asio::awaitable<void>
    drain(std::function<void(wallet_states_t)> done);
    void listen(tcp_t::acceptor& acceptor_socket,
                const socket_address& address);
    void send_wallet_states();
    void report_cleared(const std::set<std::uint64_t>& ids);
    void log_counters() const;
    /// Logs what a stop leaves behind.
    void log_drained(std::string_view event) const;
    bool ready() const;

    boost::asio::io_context& m_loop;
    const node_settings& m_settings;
    control_port m_control;
    std::vector<version_sample> m_samples;
    traffic_context m_context;
    tcp_t::acceptor m_caller_acceptor;
    tcp_t::acceptor m_readiness_acceptor;
    tcp_t::acceptor m_relay_acceptor;
    /// Of readiness checks, the one that was used last at the end.
    std::list<std::shared_ptr<tcp_t::socket>> m_readiness_connections;
    bool m_accepts_callers = true;
    std::uint16_t m_announced_relay = 0;
    bool m_send_pending = false; ///< a report of the wallets is posted
};

} // namespace rhubarbgrade
