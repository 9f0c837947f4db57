#include "node.hpp"

#include <memory>  // make_unique
#include <thread>  // thread
#include <utility> // move

#include <boost/asio/executor_work_guard.hpp> // make_work_guard
#include <boost/asio/io_context.hpp>          // io_context
#include <boost/asio/post.hpp>                // post

#include <rhubarbgrade/detail/base/hash.hpp> // random_hex

#include "../gateway/traffic_loop.hpp" // traffic_loop
#include "node_control.hpp"            // node_control

namespace rhubarbgrade
{

namespace asio = boost::asio;

struct node::implementation
{
    implementation(node_settings initial_settings, hedge_limit hedging)
        : settings(std::move(initial_settings)),
          control(control_io, settings, random_hex(), make_traffic_callbacks()),
          traffic(traffic_io, settings, hedging, make_control_callbacks())
    {
    }

    traffic_callbacks make_traffic_callbacks()
    {
        traffic_callbacks callbacks;
        callbacks.publish_view = [this](auto view)
        {
            asio::post(traffic_io,
                       [this, view = std::move(view)]() mutable
                       {
                           traffic.set_view(std::move(view));
                       });
        };
        callbacks.escrow.budgets_changed = [this](auto updates)
        {
            asio::post(traffic_io,
                       [this, updates = std::move(updates)]
                       {
                           traffic.update_budgets(updates);
                       });
        };
        callbacks.escrow.lower_holdings = [this](auto holdings)
        {
            asio::post(traffic_io,
                       [this, holdings = std::move(holdings)]
                       {
                           traffic.lower(holdings);
                       });
        };
        return callbacks;
    }

    control_port make_control_callbacks()
    {
        control_port callbacks;
        callbacks.states = [this](auto states)
        {
            asio::post(control_io,
                       [this, states = std::move(states)]() mutable
                       {
                           control.update_wallet_states(std::move(states));
                       });
        };
        callbacks.lowered = [this](auto holdings)
        {
            asio::post(control_io,
                       [this, holdings = std::move(holdings)]
                       {
                           control.on_holdings_lowered(holdings);
                       });
        };
        callbacks.samples = [this](auto samples)
        {
            asio::post(control_io,
                       [this, samples = std::move(samples)]
                       {
                           control.record_samples(samples);
                       });
        };
        callbacks.crashes.crashed =
            [this](std::uint64_t process, const crash_suspects_t& suspects)
        {
            asio::post(control_io,
                       [this, process, suspects]
                       {
                           control.record_crash(process, suspects);
                       });
        };
        callbacks.limit_observed = [this](const limit_observation& observation)
        {
            asio::post(control_io,
                       [this, observation]
                       {
                           control.record_limit(observation);
                       });
        };
        callbacks.relay_changed = [this](std::uint16_t port)
        {
            asio::post(control_io,
                       [this, port]
                       {
                           control.set_relay_port(port);
                       });
        };
        callbacks.crashes.cleared = [this](const std::set<std::uint64_t>& ids)
        {
            asio::post(control_io,
                       [this, ids]
                       {
                           control.clear_suspects(ids);
                       });
        };
        return callbacks;
    }

    void stop_loops()
    {
        control_io.stop();
        asio::post(traffic_io,
                   [this]
                   {
                       traffic.finish();
                   });
    }

    node_settings settings;
    asio::io_context control_io{1};
    asio::io_context traffic_io{1};
    node_control control;
    traffic_loop traffic;
};

node::node(node_settings settings, hedge_limit hedging)
    : m_implementation(
          std::make_unique<implementation>(std::move(settings), hedging))
{
}

node::~node() = default;

void node::start()
{
    m_implementation->traffic.start();
    m_implementation->control.start();
}

void node::run()
{
    const auto control_guard =
        asio::make_work_guard(m_implementation->control_io);
    const auto traffic_guard =
        asio::make_work_guard(m_implementation->traffic_io);
    std::thread control(
        [this]
        {
            m_implementation->control_io.run();
        });
    m_implementation->traffic_io.run();
    control.join();
}

node_ports node::ports() const
{
    return {m_implementation->traffic.caller_port(),
            m_implementation->traffic.readiness_port(),
            m_implementation->control.peer_address().port};
}

void node::set_bounds(const node_bounds& bounds)
{
    asio::post(m_implementation->traffic_io,
               [this, bounds]
               {
                   m_implementation->traffic.set_bounds(bounds);
               });
}

void node::stop()
{
    asio::post(
        m_implementation->traffic_io,
        [this, signalled = time_point_t::clock::now()]
        {
            m_implementation->traffic.stop(
                signalled,
                [this](wallet_states_t final_states)
                {
                    asio::post(
                        m_implementation->control_io,
                        [this, final_states = std::move(final_states)]() mutable
                        {
                            m_implementation->control.close(
                                std::move(final_states),
                                [this]
                                {
                                    m_implementation->stop_loops();
                                });
                        });
                });
        });
}

} // namespace rhubarbgrade
