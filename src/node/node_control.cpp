#include "node_control.hpp"

#include <algorithm> // max
#include <memory>    // make_shared
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/co_spawn.hpp>      // co_spawn
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <spdlog/spdlog.h>              // info, warn

#include <platform/object_decoders.hpp> // decode_deployment, decode_endpoint

#include "../store/spawn.hpp" // spawn

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// Pause between two looks at moves and lapsed entries; a fifth of the
/// shortest bound that they are part of.
constexpr milliseconds tick_pause{200};

} // namespace

node_control::node_control(asio::io_context& loop,
                           const node_settings& settings,
                           node_identity identity, traffic_port traffic)
    : m_loop(loop),
      m_settings(settings),
      m_traffic(std::move(traffic)),
      m_store(loop.get_executor(), settings.store),
      m_escrow(loop.get_executor(), m_store, std::move(identity),
               m_traffic.escrow),
      m_moves(loop.get_executor(), m_store)
{
}

void node_control::start()
{
    spawn(m_loop,
          follow(m_store, std::string(platform::configuration_kind),
                 configuration_listener()),
          "watch of the configuration");
    spawn(m_loop,
          follow(m_store, std::string(platform::endpoint_kind),
                 endpoint_listener()),
          "watch of the host list");
    spawn(m_loop,
          follow(m_store, std::string(platform::move_kind), move_listener()),
          "watch of the moves");
    spawn(m_loop, m_escrow.run(), "escrow");
    spawn(m_loop, tick(), "control tick");
}

watch_listener node_control::configuration_listener()
{
    watch_listener made;
    made.snapshot = [this](const auto& objects)
    {
        for (const auto& each : objects)
            take_configuration(each);
    };
    made.changed = [this](const auto& event)
    {
        if (!event.removed)
            take_configuration(event.object);
    };
    made.answered = [](bool) {};
    return made;
}

watch_listener node_control::endpoint_listener()
{
    watch_listener made;
    made.snapshot = [this](const auto& objects)
    {
        std::vector<endpoint_entry> entries;
        for (const auto& each : objects)
        {
            auto entry = platform::decode_endpoint(each);
            if (entry)
                entries.push_back(std::move(*entry));
            else
                spdlog::warn("skipped: {}", entry.error().message());
        }
        replace_endpoints(m_endpoints, entries, time_point_t::clock::now());
        m_endpoints_known = true;
        publish();
    };
    made.changed = [this](const auto& event)
    {
        if (event.removed)
            remove_endpoint(m_endpoints, event.object.name,
                            time_point_t::clock::now());
        else
            take_endpoint(event.object);
        publish();
    };
    made.answered = [this](bool answered)
    {
        note_store(m_endpoints, answered, time_point_t::clock::now());
    };
    return made;
}

watch_listener node_control::move_listener()
{
    const auto take = [this](const platform::stored_object& object)
    {
        const auto order = platform::decode_move(object);
        if (order)
            m_moves.put(*order, time_point_t::clock::now());
        else
            spdlog::warn("skipped: {}", order.error().message());
    };
    watch_listener made;
    made.snapshot = [this, take](const auto& objects)
    {
        for (const auto& each : objects)
            take(each);
        publish();
    };
    made.changed = [this, take](const auto& event)
    {
        if (event.removed)
            m_moves.remove(event.object.name);
        else
            take(event.object);
        publish();
    };
    made.answered = [](bool) {};
    return made;
}

void node_control::take_configuration(const platform::stored_object& object)
{
    if (object.name != platform::configuration_name)
        return;
    auto read = platform::decode_deployment(object.spec);
    if (!read)
    {
        spdlog::error("configuration kept: {}", read.error().message());
        return;
    }
    // Never an older one in one life of the process.
    if (m_configuration && read->version <= m_configuration->version)
        return;
    token_map_t budgets;
    for (const auto& each : read->customers)
        if (each.prepaid)
            budgets[each.name] = *each.prepaid;
    m_configuration = std::make_shared<const deployment>(std::move(*read));
    spdlog::info("configuration {} in force", m_configuration->version);
    publish();
    m_escrow.set_budgets(std::move(budgets));
}

void node_control::take_endpoint(const platform::stored_object& object)
{
    const auto entry = platform::decode_endpoint(object);
    if (entry)
        put_endpoint(m_endpoints, *entry, time_point_t::clock::now());
    else
    {
        spdlog::warn("skipped: {}", entry.error().message());
        remove_endpoint(m_endpoints, object.name, time_point_t::clock::now());
    }
}

void node_control::publish()
{
    auto made = std::make_shared<fleet_view>();
    made->configuration = m_endpoints_known ? m_configuration : nullptr;
    made->endpoints = usable_endpoints(m_endpoints, time_point_t::clock::now());
    made->splits = m_moves.splits();
    made->hosts = m_hosts;
    m_traffic.view(std::move(made));
}

void node_control::note_states(wallet_states_t states)
{
    m_escrow.note_states(std::move(states));
}

void node_control::note_lowered(const token_map_t& holdings)
{
    m_escrow.note_lowered(holdings);
}

void node_control::note_samples(const std::vector<version_sample>& samples)
{
    for (const auto& each : samples)
        m_moves.note(each);
}

asio::awaitable<void> node_control::tick()
{
    asio::steady_timer timer(m_loop);
    auto splits = m_moves.splits();
    for (;;)
    {
        timer.expires_after(tick_pause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto now = time_point_t::clock::now();
        m_moves.tick(now);
        auto endpoints = usable_endpoints(m_endpoints, now);
        auto next = m_moves.splits();
        if (endpoints != m_published || next != splits)
        {
            m_published = std::move(endpoints);
            splits = std::move(next);
            publish();
        }
    }
}

void node_control::close(wallet_states_t last, std::function<void()> done)
{
    asio::co_spawn(m_loop, m_escrow.close(std::move(last)),
                   [done = std::move(done)](const std::exception_ptr&)
                   {
                       done();
                   });
}

} // namespace rhubarbgrade
