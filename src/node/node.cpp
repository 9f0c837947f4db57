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

struct node::parts
{
    explicit parts(node_settings with)
        : settings(std::move(with)),
          control(control_loop, settings, random_hex(), traffic_port_of()),
          traffic(traffic_io, settings, control_port_of())
    {
    }

    traffic_port traffic_port_of()
    {
        traffic_port port;
        port.view = [this](auto view)
        {
            asio::post(traffic_io,
                       [this, view = std::move(view)]() mutable
                       {
                           traffic.set_view(std::move(view));
                       });
        };
        port.escrow.news = [this](auto news)
        {
            asio::post(traffic_io,
                       [this, news = std::move(news)]
                       {
                           traffic.set_news(news);
                       });
        };
        port.escrow.lower = [this](auto holdings)
        {
            asio::post(traffic_io,
                       [this, holdings = std::move(holdings)]
                       {
                           traffic.lower(holdings);
                       });
        };
        return port;
    }

    control_port control_port_of()
    {
        control_port port;
        port.states = [this](auto states)
        {
            asio::post(control_loop,
                       [this, states = std::move(states)]() mutable
                       {
                           control.note_states(std::move(states));
                       });
        };
        port.lowered = [this](auto holdings)
        {
            asio::post(control_loop,
                       [this, holdings = std::move(holdings)]
                       {
                           control.note_lowered(holdings);
                       });
        };
        port.samples = [this](auto samples)
        {
            asio::post(control_loop,
                       [this, samples = std::move(samples)]
                       {
                           control.note_samples(samples);
                       });
        };
        port.crashed = [this](std::uint64_t fingerprint)
        {
            asio::post(control_loop,
                       [this, fingerprint]
                       {
                           control.note_crash(fingerprint);
                       });
        };
        return port;
    }

    void end()
    {
        control_loop.stop();
        traffic_io.stop();
    }

    node_settings settings;
    asio::io_context control_loop{1};
    asio::io_context traffic_io{1};
    node_control control;
    traffic_loop traffic;
};

node::node(node_settings settings)
    : m_parts(std::make_unique<parts>(std::move(settings)))
{
}

node::~node() = default;

void node::start()
{
    m_parts->traffic.start();
    m_parts->control.start();
}

void node::run()
{
    const auto guard = asio::make_work_guard(m_parts->control_loop);
    const auto traffic_guard = asio::make_work_guard(m_parts->traffic_io);
    std::thread control(
        [this]
        {
            m_parts->control_loop.run();
        });
    m_parts->traffic_io.run();
    control.join();
}

node_ports node::ports() const
{
    return {m_parts->traffic.caller_port(), m_parts->traffic.readiness_port(),
            m_parts->control.peer_address().port};
}

void node::set_bounds(const node_bounds& bounds)
{
    asio::post(m_parts->traffic_io,
               [this, bounds]
               {
                   m_parts->traffic.set_bounds(bounds);
               });
}

void node::stop()
{
    asio::post(m_parts->traffic_io,
               [this]
               {
                   m_parts->traffic.stop(
                       [this](wallet_states_t last)
                       {
                           asio::post(m_parts->control_loop,
                                      [this, last = std::move(last)]() mutable
                                      {
                                          m_parts->control.close(
                                              std::move(last),
                                              [this]
                                              {
                                                  m_parts->end();
                                              });
                                      });
                       });
               });
}

} // namespace rhubarbgrade
