#include "node_control.hpp"

#include <algorithm> // max
#include <memory>    // make_shared
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/co_spawn.hpp>      // co_spawn
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <spdlog/spdlog.h>              // info, warn

#include <platform/object_decoders.hpp> // decode_deployment, decode_endpoint
#include <rhubarbgrade/detail/base/address.hpp> // split_address
#include <rhubarbgrade/detail/base/hash.hpp>    // hash64

#include "../store/spawn.hpp" // spawn

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// Pause between two looks at moves and lapsed entries; a fifth of the
/// shortest bound that they are part of.
constexpr milliseconds tick_pause{200};

/// Age of the store's last answer up to which this host needs no peers; a
/// watch returns at least every 2 s.
constexpr milliseconds fresh_time{2600};

/// How long this host's own watch may take to bring a configuration that a
/// peer has, before the peer is asked.
constexpr milliseconds own_watch_first{300};

} // namespace

node_control::node_control(asio::io_context& loop,
                           const node_settings& settings,
                           std::string incarnation, traffic_port traffic)
    : m_loop(loop),
      m_settings(settings),
      m_peers(loop, settings, listener_for_peers()),
      m_identity{{settings.host, std::move(incarnation)},
                 m_peers.address().ip + ":" +
                     std::to_string(m_peers.address().port),
                 settings.zone},
      m_traffic(std::move(traffic)),
      m_store(loop.get_executor(), settings.store),
      m_witnesses(loop.get_executor(), m_identity.process, settings.zone,
                  port_for_witnesses()),
      m_escrow(loop.get_executor(), m_store, m_witnesses, m_identity,
               listener_for_escrow()),
      m_moves(loop.get_executor(), m_store)
{
}

escrow_listener node_control::listener_for_escrow()
{
    auto made = m_traffic.escrow;
    made.seen = [this](const escrow_book& book)
    {
        take_hosts(book);
    };
    return made;
}

witness_port node_control::port_for_witnesses()
{
    witness_port made;
    made.send = [this](const std::string& host, const witness_message& message)
    {
        m_peers.send(host, message);
    };
    made.raised = [this]
    {
        m_escrow.note_confirmed();
    };
    return made;
}

peer_listener node_control::listener_for_peers()
{
    peer_listener made;
    made.beat = [this]
    {
        return make_beat();
    };
    made.state = [this]
    {
        return make_state();
    };
    made.heard = [this](const peer_beat& beat)
    {
        take_beat(beat);
    };
    made.witnessed = [this](const witness_message& message)
    {
        return m_witnesses.take(message);
    };
    made.caught_up = [this](const peer_state& state)
    {
        take_state(state);
    };
    return made;
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
    spawn(m_loop, m_witnesses.run(), "witnesses");
    m_peers.start();
    spawn(m_loop, tick(), "control tick");
}

watch_listener node_control::configuration_listener()
{
    watch_listener made;
    made.snapshot = [this](const auto& objects)
    {
        for (const auto& each : objects)
            if (each.name == platform::configuration_name)
                take_configuration(each.spec);
    };
    made.changed = [this](const auto& event)
    {
        if (!event.removed && event.object.name == platform::configuration_name)
            take_configuration(event.object.spec);
    };
    made.answered = [this](bool answered)
    {
        note_answer(answered);
    };
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
        {
            remove_endpoint(m_endpoints, event.object.name,
                            time_point_t::clock::now());
            spdlog::info("endpoint {} is removed", event.object.name);
        }
        else
            take_endpoint(event.object);
        publish();
    };
    made.answered = [this](bool answered)
    {
        note_answer(answered);
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
    made.answered = [this](bool answered)
    {
        note_answer(answered);
    };
    return made;
}

void node_control::note_answer(bool answered)
{
    const auto now = time_point_t::clock::now();
    if (answered)
        m_answered = now;
}

bool node_control::fresh(time_point_t now) const
{
    return m_endpoints.reachable && now - m_answered < fresh_time;
}

void node_control::take_configuration(const std::string& spec)
{
    auto read = platform::decode_deployment(spec);
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
    m_configuration_text = spec;
    m_behind_since = {};
    spdlog::info("configuration {} in force", m_configuration->version);
    publish();
    m_escrow.set_budgets(std::move(budgets));
}

void node_control::take_endpoint(const platform::stored_object& object)
{
    const auto entry = platform::decode_endpoint(object);
    if (entry)
    {
        put_endpoint(m_endpoints, *entry, time_point_t::clock::now());
        if (entry->leaving)
            spdlog::info("endpoint {} is leaving, revision {}", entry->id,
                         object.revision);
    }
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
    made->quarantined = m_crashes.quarantined();
    m_traffic.view(std::move(made));
}

void node_control::take_hosts(const escrow_book& book)
{
    std::map<std::string, socket_address> peers;
    for (const auto& [host, holding] : book.hosts)
    {
        auto [ip, port] = split_address(holding.address);
        peers[host] = {std::move(ip), static_cast<std::uint16_t>(port)};
    }
    m_peers.set_peers(peers);
    if (m_hosts == book.hosts.size())
        return;
    m_hosts = book.hosts.size();
    publish();
}

std::uint64_t node_control::state_digest() const
{
    std::string text;
    for (const auto& [id, known] : m_endpoints.endpoints)
        if (!known.gone)
            text.append(id).append(known.entry.leaving ? "-" : "+");
    for (const auto& each : m_moves.moves(m_answered))
        text.append(each.order.service)
            .append(each.order.target)
            .append(
                1, static_cast<char>('0' + static_cast<int>(each.order.state)));
    return hash64(text);
}

peer_beat node_control::make_beat()
{
    const auto now = time_point_t::clock::now();
    peer_beat beat;
    beat.host = m_settings.host;
    beat.incarnation = m_identity.process.incarnation;
    beat.configuration = m_configuration ? m_configuration->version : 0;
    beat.fresh = fresh(now);
    beat.state_digest = state_digest();
    beat.evidence = m_moves.evidence();
    beat.crashes = m_crashes.own(now);
    return beat;
}

peer_state node_control::make_state() const
{
    peer_state state;
    state.configuration = m_configuration_text;
    state.version = m_configuration ? m_configuration->version : 0;
    for (const auto& [id, known] : m_endpoints.endpoints)
        if (!known.gone)
            state.endpoints.push_back(known.entry);
    state.moves = m_moves.moves(time_point_t::clock::now());
    return state;
}

void node_control::take_beat(const peer_beat& beat)
{
    const auto now = time_point_t::clock::now();
    m_witnesses.heard({beat.host, beat.incarnation});
    for (const auto& each : beat.evidence)
        m_moves.set_peer_evidence(beat.host, each);
    if (m_crashes.set_peer(beat.host, beat.crashes, now))
        publish();
    const auto version = m_configuration ? m_configuration->version : 0;
    if (beat.configuration > version)
    {
        if (m_behind_since == time_point_t{})
            m_behind_since = now;
        if (now - m_behind_since >= own_watch_first)
            m_peers.ask(beat.host);
    }
    else if (beat.fresh && !fresh(now) && beat.state_digest != state_digest())
        m_peers.ask(beat.host);
}

void node_control::take_state(const peer_state& state)
{
    const auto now = time_point_t::clock::now();
    if (!state.configuration.empty() &&
        (!m_configuration || state.version > m_configuration->version))
        take_configuration(state.configuration);
    if (fresh(now))
        return;
    replace_endpoints(m_endpoints, state.endpoints, now);
    m_endpoints_known = true;
    for (const auto& each : state.moves)
        m_moves.put(each.order, now - each.elapsed);
    publish();
}

void node_control::note_crash(std::uint64_t fingerprint)
{
    spdlog::warn("an endpoint crashed while it ran request {:016x}",
                 fingerprint);
    if (m_crashes.note(fingerprint, time_point_t::clock::now()))
        publish();
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
