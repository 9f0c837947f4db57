#include "node_control.hpp"

#include <algorithm>  // any_of, includes, max
#include <chrono>     // duration_cast
#include <functional> // function
#include <memory>     // make_shared
#include <utility>    // exchange, move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/co_spawn.hpp>      // co_spawn
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <spdlog/fmt/ranges.h>          // join
#include <spdlog/spdlog.h>              // info, warn

#include <platform/object_decoders.hpp> // decode_deployment, decode_endpoint
#include <rhubarbgrade/detail/base/address.hpp>            // split_address
#include <rhubarbgrade/detail/base/hash.hpp>               // hash64
#include <rhubarbgrade/detail/fleet/configuration_lag.hpp> // configuration_overdue

#include "../store/spawn.hpp" // spawn_service

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// Period at which moves and the expiry of removed endpoint entries are
/// checked; a fifth of the shortest time bound that they have to keep.
constexpr milliseconds tick_period{200};

/// Time for which a host that knows the endpoints waits for the evacuations.
/// Peers of an earlier version don't tell them, and the store may be away.
constexpr milliseconds max_evacuation_wait{2000};

/// Time by which a host has started earlier if not all have lost power
/// together, in ms; one that has lost it starts within some seconds of the
/// others.
constexpr std::uint64_t min_head_start_ms = 10000;

/// Interval at which the calls to the store are logged.
constexpr milliseconds log_interval{5000};

/// Age of the state up to which this host does not ask any peer for another
/// one. Hubs say twice a second how old it is.
constexpr milliseconds max_answer_age{2600};

/// Entries that name no endpoint and are remembered.
constexpr std::size_t max_unusable = 1000;

/// Orders of moves that are read from a list; each concerns another service.
constexpr std::size_t max_moves = 1000;

/// Evacuated zones that are read from a list; each message to other hosts names
/// them, and has room for twice as many of the longest names.
constexpr std::size_t max_evacuated_zones = 100;

/// Objects of the store that are reported as ignored in a @ref log_interval.
constexpr std::size_t max_ignored_lines = 20;

/// Longest reason in such a report, in bytes; it may quote the object.
constexpr std::size_t max_reason_bytes = 300;

/// Time after the start in which a host learns whether others read the store:
/// it reports as soon as it has read the account, and is answered at once.
constexpr milliseconds introduction{400};

/// Age of a position in the store's history from which on changes of any kind
/// have reached this host, whoever reads them: a watch whose answer was lost is
/// given up by then.
constexpr milliseconds settle_time{9000};

/// Changes of the endpoints that are kept to be sent, in time and number.
constexpr milliseconds change_retention{5000};
constexpr std::size_t max_changes = 300;

/// How long this host waits for its own watch to deliver a configuration that
/// a peer already has, before it fetches the peer's state.
constexpr milliseconds peer_fetch_delay{300};

std::uint64_t unix_time_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// Time since @a at, for logs; -1 if it has never been.
milliseconds::rep age_ms(time_point_t at, time_point_t now)
{
    if (at == time_point_t{})
        return -1;
    return std::chrono::duration_cast<milliseconds>(now - at).count();
}

/// Text of an error that may quote an object of any size.
std::string short_message(const error& fault)
{
    return fault.message().substr(0, max_reason_bytes);
}

/// Shortest time between two checks of the state's age.
constexpr milliseconds age_check_period{50};

reader_policy make_reader_policy(const node_bounds& bounds)
{
    reader_policy policy;
    policy.apply_bound = std::min(bounds.config_apply, bounds.drain);
    if (bounds.evacuate)
        policy.apply_bound = std::min(policy.apply_bound, *bounds.evacuate);
    return policy;
}

socket_address to_address(const std::string& text)
{
    auto [ip, port] = split_address(text);
    return {std::move(ip), static_cast<std::uint16_t>(port)};
}

} // namespace

node_control::node_control(asio::io_context& loop,
                           const node_settings& settings,
                           std::string incarnation, traffic_callbacks traffic)
    : m_loop(loop),
      m_settings(settings),
      m_peers(loop, settings, make_peer_listener()),
      m_identity{{settings.host, std::move(incarnation)},
                 m_peers.address().ip + ":" +
                     std::to_string(m_peers.address().port),
                 settings.zone,
                 settings.processor_cores * settings.link_mbps},
      m_traffic(std::move(traffic)),
      m_store(loop.get_executor(), settings.store),
      m_reader(
          loop.get_executor(), m_store, settings.host,
          make_reader_policy(settings.bounds),
          [this]
          {
              m_peers.hasten_heartbeat();
          },
          [this](bool answered)
          {
              record_store_call(m_endpoints, answered,
                                time_point_t::clock::now());
          }),
      m_witnesses(loop.get_executor(), m_identity.process, settings.zone,
                  make_witness_callbacks()),
      m_escrow(loop.get_executor(), m_store, m_witnesses, m_identity,
               make_escrow_listener()),
      m_moves(loop.get_executor(), m_store),
      m_members({settings.host,
                 m_identity.process.incarnation,
                 settings.zone,
                 m_peers.address(),
                 m_identity.capacity,
                 {},
                 {},
                 {}},
                unix_time_ms(), make_member_callbacks()),
      m_crashes(settings.host),
      m_limits(settings.host),
      m_brittle(settings.host),
      m_ignored_log(max_ignored_lines),
      m_started(time_point_t::clock::now()),
      m_started_at_ms(unix_time_ms())
{
}

escrow_listener node_control::make_escrow_listener()
{
    auto listener = m_traffic.escrow;
    listener.account_read = [this](const escrow_book& book)
    {
        const auto known = m_members.size();
        m_members.introduce(book);
        publish_hosts();
        if (m_members.size() != known)
            m_peers.hasten_heartbeat();
    };
    listener.send_change =
        [this](const std::string& address, const account_change& change)
    {
        m_peers.send(to_address(address), change);
    };
    listener.send_answer =
        [this](const std::string& address, const account_answer& answer)
    {
        m_peers.send(to_address(address), answer);
    };
    return listener;
}

witness_callbacks node_control::make_witness_callbacks()
{
    witness_callbacks callbacks;
    callbacks.send =
        [this](const std::string& host, const witness_message& message)
    {
        m_peers.send(m_members.address_of(host), message);
    };
    callbacks.ceiling_confirmed = [this]
    {
        m_escrow.on_ceiling_confirmed();
    };
    return callbacks;
}

peer_listener node_control::make_peer_listener()
{
    peer_listener listener;
    listener.heartbeat_due = [this]
    {
        m_members.send_reports();
    };
    listener.current_state = [this]
    {
        return make_state();
    };
    listener.current_reports = [this]
    {
        peer_state state;
        state.reports = m_members.shared_reports();
        return state;
    };
    listener.heartbeat_received = [this](const peer_heartbeat& heartbeat)
    {
        m_members.handle_heartbeat(heartbeat);
        compare_state(heartbeat);
    };
    listener.news_received = [this](const peer_news& news)
    {
        m_members.handle_news(news);
        apply_changes(news);
        if (news.sender.zone == m_settings.zone && news.hub)
            m_moves.set_fleet_evidence(news.evidence,
                                       time_point_t::clock::now());
        else
            for (const auto& each : news.evidence)
                m_moves.set_zone_evidence(news.sender.zone, each);
        compare_state(news.sender);
    };
    listener.witness_message_received = [this](const witness_message& message)
    {
        return m_witnesses.handle_message(message);
    };
    listener.change_received = [this](const account_change& change)
    {
        m_escrow.handle_change(change);
    };
    listener.answer_received = [this](const account_answer& answer)
    {
        m_escrow.handle_answer(answer);
    };
    listener.state_received = [this](const peer_state& state)
    {
        apply_peer_state(state);
    };
    return listener;
}

member_callbacks node_control::make_member_callbacks()
{
    member_callbacks callbacks;
    callbacks.current_heartbeat = [this]
    {
        return make_heartbeat();
    };
    callbacks.reported =
        [this](const peer_heartbeat& heartbeat, time_point_t made_at)
    {
        apply_report(heartbeat, made_at);
    };
    callbacks.zone_evidence = [this]
    {
        return m_moves.zone_evidence();
    };
    callbacks.fleet_evidence = [this]
    {
        return m_moves.fleet_evidence();
    };
    callbacks.add_changes = [this](peer_news& news, time_point_t since)
    {
        add_changes(news, since);
    };
    callbacks.send =
        [this](const socket_address& address, const std::string& bytes)
    {
        m_peers.send_bytes(address, bytes);
    };
    callbacks.now = &time_point_t::clock::now;
    callbacks.hasten = [this]
    {
        m_peers.hasten_heartbeat();
    };
    callbacks.request_reports = [this](const std::string& host)
    {
        m_peers.request_reports(m_members.address_of(host));
    };
    return callbacks;
}

void node_control::start()
{
    const auto start_watch =
        [this](std::string_view kind, const char* task_name,
               std::function<watch_listener()> make_listener)
    {
        spawn_service(
            m_loop,
            [this, kind, make_listener = std::move(make_listener)]
            {
                return list_and_watch(m_store, m_reader.gate(),
                                      std::string(kind), make_listener());
            },
            task_name);
    };
    start_watch(platform::configuration_kind, "watch of the configuration",
                [this]
                {
                    return make_configuration_listener();
                });
    start_watch(platform::endpoint_kind, "watch of the endpoint list",
                [this]
                {
                    return make_endpoint_listener();
                });
    start_watch(platform::move_kind, "watch of the moves",
                [this]
                {
                    return make_move_listener();
                });
    if (uses_evacuations())
        start_watch(platform::evacuation_kind, "watch of the evacuations",
                    [this]
                    {
                        return make_evacuation_listener();
                    });
    spawn_service(
        m_loop,
        [this]
        {
            return m_reader.probe();
        },
        "signs of life of the store");
    spawn_service(
        m_loop,
        [this]
        {
            return m_escrow.run();
        },
        "escrow writer");
    spawn_service(
        m_loop,
        [this]
        {
            return m_witnesses.run();
        },
        "witness confirmations");
    m_peers.start();
    spawn_service(
        m_loop,
        [this]
        {
            return tick();
        },
        "control tick");
    spawn_service(
        m_loop,
        [this]
        {
            return watch_state_age();
        },
        "age of the state");
}

watch_listener node_control::make_configuration_listener()
{
    watch_listener listener;
    listener.reached = [](std::uint64_t) {};
    listener.known = [this]
    {
        return m_configuration != nullptr;
    };
    listener.known_up_to = [this]
    {
        return settled_revision();
    };
    const auto spec = std::make_shared<std::string>();
    listener.list_reset = [spec]
    {
        *spec = std::string();
    };
    listener.listed = [spec](const platform::stored_object& object)
    {
        if (object.name == platform::configuration_name)
            *spec = object.spec;
    };
    listener.list_ended = [this, spec](const list_summary&)
    {
        if (!spec->empty())
            apply_configuration(*spec);
        *spec = std::string();
    };
    listener.changed = [this](const auto& event)
    {
        if (!event.removed && event.object.name == platform::configuration_name)
            apply_configuration(event.object.spec);
    };
    listener.answered = [this](bool answered)
    {
        record_store_answer(answered);
    };
    return listener;
}

watch_listener node_control::make_endpoint_listener()
{
    watch_listener listener;
    listener.reached = [this](std::uint64_t revision)
    {
        reach(revision);
    };
    listener.known = [this]
    {
        return m_endpoints_known;
    };
    listener.known_up_to = [this]
    {
        return m_position.era == m_store.era() ? m_position.revision : 0;
    };
    const auto listed = std::make_shared<entry_list>();
    listener.list_reset = [listed]
    {
        *listed = {};
    };
    listener.listed = [this, listed](const platform::stored_object& object)
    {
        auto entry = platform::decode_endpoint(object);
        if (entry)
            append_entry(*listed, std::move(*entry));
        else
            report_unusable(object, entry.error());
    };
    listener.list_ended = [this, listed](const list_summary& list)
    {
        const auto read = std::exchange(*listed, {});
        if (read.left_out != 0)
            spdlog::error("event=endpoints_left_out kept={} bytes={} "
                          "left_out={}",
                          read.entries.size(), read.bytes, read.left_out);
        const auto now = time_point_t::clock::now();
        if (!list.complete)
            add_endpoints(m_endpoints, read.entries, now);
        else if (m_endpoints_known && m_store.era() != m_listed_era)
            restore_endpoints(m_endpoints, read.entries, now);
        else
            replace_endpoints(m_endpoints, read.entries, now);
        m_list_incomplete = !list.complete;
        if (!m_list_incomplete || m_listed_era == 0)
            m_listed_era = m_store.era();
        set_endpoints_known(now);
        set_read_position(list.revision, now);
        publish();
        m_peers.hasten_heartbeat();
    };
    listener.changed = [this](const auto& event)
    {
        const auto now = time_point_t::clock::now();
        if (event.removed)
            remove_endpoint(m_endpoints, event.object.name, now);
        else
            apply_endpoint(event.object);
        const auto found = m_endpoints.endpoints.find(event.object.name);
        if (event.removed)
            spdlog::info("event=endpoint_removed id={} revision={} lapsed={} "
                         "outage={} store_back_ms={}",
                         platform::printable_name(event.object.name),
                         event.object.revision,
                         found != m_endpoints.endpoints.end() &&
                             found->second.lapsed,
                         in_outage(m_endpoints, now),
                         age_ms(m_endpoints.back_since, now));
        if (found != m_endpoints.endpoints.end())
            m_changes.push_back(
                {now,
                 {shared_entry(found->second, now), found->second.gone,
                  found->second.lapsed, 0}});
    };
    listener.answered = [this](bool answered)
    {
        record_store_answer(answered);
    };
    return listener;
}

watch_listener node_control::make_move_listener()
{
    const auto order_of = [this](const platform::stored_object& object)
    {
        auto order = platform::decode_move(object);
        if (!order && m_ignored_log.take())
            spdlog::warn("ignored a move object: {}",
                         short_message(order.error()));
        return order;
    };
    const auto apply_order = [this](const move_order& order)
    {
        m_moves.apply_order(order, time_point_t::clock::now(), m_store.era());
    };
    watch_listener listener;
    listener.reached = [](std::uint64_t) {};
    listener.known = [this]
    {
        return m_moves_known;
    };
    listener.known_up_to = [this]
    {
        return settled_revision();
    };
    const auto listed = std::make_shared<std::vector<move_order>>();
    listener.list_reset = [listed]
    {
        *listed = {};
    };
    listener.listed =
        [this, listed, order_of](const platform::stored_object& object)
    {
        auto order = order_of(object);
        if (!order)
            return;
        if (listed->size() < max_moves)
            listed->push_back(std::move(*order));
        else if (m_ignored_log.take())
            spdlog::error("event=move_left_out service={} kept={}",
                          platform::printable_name(object.name), max_moves);
    };
    listener.list_ended = [this, listed, apply_order](const list_summary&)
    {
        m_moves_known = true;
        for (const auto& each : std::exchange(*listed, {}))
            apply_order(each);
        publish();
    };
    listener.changed = [this, order_of, apply_order](const auto& event)
    {
        if (event.removed)
            m_moves.remove(event.object.name);
        else if (const auto order = order_of(event.object))
            apply_order(*order);
        publish();
    };
    listener.answered = [this](bool answered)
    {
        record_store_answer(answered);
    };
    return listener;
}

watch_listener node_control::make_evacuation_listener()
{
    const auto zone_of = [this](const platform::stored_object& object)
    {
        auto zone = platform::decode_evacuation(object);
        if (!zone && m_ignored_log.take())
            spdlog::warn("event=evacuation_ignored revision={} {}",
                         object.revision, short_message(zone.error()));
        return zone;
    };
    watch_listener listener;
    listener.reached = [this](std::uint64_t revision)
    {
        const auto before = m_evacuations.list.zones;
        if (reach_position(m_evacuations, m_store.era(), revision))
            on_evacuations_changed(before);
    };
    listener.known = [this]
    {
        return m_evacuations.list.revision != 0;
    };
    listener.known_up_to = [this]
    {
        const auto& list = m_evacuations.list;
        return list.era == m_store.era() ? list.revision : 0;
    };
    const auto listed = std::make_shared<std::set<std::string>>();
    listener.list_reset = [listed]
    {
        listed->clear();
    };
    listener.listed =
        [this, listed, zone_of](const platform::stored_object& object)
    {
        auto zone = zone_of(object);
        if (!zone)
            return;
        if (listed->size() < max_evacuated_zones)
            listed->insert(std::move(*zone));
        else if (m_ignored_log.take())
            spdlog::error("event=evacuation_left_out zone={} kept={}",
                          platform::printable_name(object.name),
                          max_evacuated_zones);
    };
    listener.list_ended = [this, listed](const list_summary& list)
    {
        evacuation_list evacuations{m_store.era(), list.revision,
                                    std::exchange(*listed, {})};
        if (!list.complete)
            evacuations.zones.insert(m_evacuations.list.zones.begin(),
                                     m_evacuations.list.zones.end());
        apply_evacuations(evacuations);
    };
    listener.changed = [this, zone_of](const auto& event)
    {
        const auto& object = event.object;
        record_change(m_evacuations, object.name,
                      !event.removed && zone_of(object).has_value());
    };
    listener.answered = [this](bool answered)
    {
        record_store_answer(answered);
    };
    return listener;
}

void node_control::apply_evacuations(const evacuation_list& list)
{
    const auto before = m_evacuations.list.zones;
    if (merge(m_evacuations, list))
        on_evacuations_changed(before);
    else if (may_serve(time_point_t::clock::now()) != m_may_serve)
        publish();
}

void node_control::on_evacuations_changed(const std::set<std::string>& before)
{
    const auto& list = m_evacuations.list;
    for (const auto& each : before)
        if (!list.zones.contains(each))
            m_cold_evidence.returns[each] = time_point_t::clock::now();
    spdlog::info("event=evacuations zones=[{}] era={} revision={} reads={}",
                 fmt::join(list.zones, ","), list.era, list.revision,
                 m_reader.reads());
    publish();
    if (m_reader.speaks())
        m_peers.hasten_heartbeat();
}

bool node_control::uses_evacuations() const
{
    return m_settings.bounds.evacuate.has_value();
}

bool node_control::knows_evacuations(const peer_heartbeat& heartbeat) const
{
    return !uses_evacuations() || heartbeat.evacuations.revision != 0;
}

bool node_control::may_serve(time_point_t now) const
{
    return m_endpoints_known &&
           (!uses_evacuations() || m_evacuations.list.revision != 0 ||
            now - m_endpoints_known_at >= max_evacuation_wait);
}

void node_control::record_store_answer(bool answered)
{
    m_reader.record_answer(answered);
}

std::optional<time_point_t> node_control::confirmed_at() const
{
    auto at = m_confirmed_at == time_point_t{} ? std::nullopt
                                               : std::optional(m_confirmed_at);
    if (m_reader.reads() && m_endpoints_known)
        at = std::max(at, m_reader.complete_until());
    return at;
}

std::optional<milliseconds> node_control::state_age(time_point_t now) const
{
    const auto at = confirmed_at();
    if (!at)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(
        std::max(now - *at, time_point_t::duration::zero()));
}

time_point_t node_control::waits_since() const
{
    return std::max(m_confirmed_at, m_started);
}

bool node_control::store_is_current(time_point_t now) const
{
    const bool answers =
        m_reader.reads() ? m_reader.watches_stand() : m_endpoints.reachable;
    const auto age = state_age(now);
    return answers && age && *age < max_answer_age;
}

bool node_control::reads_store(time_point_t now) const
{
    const auto until = m_reader.complete_until();
    return m_reader.reads() && m_reader.watches_stand() && until &&
           now - *until < max_answer_age;
}

void node_control::set_endpoints_known(time_point_t now)
{
    if (!std::exchange(m_endpoints_known, true))
        m_endpoints_known_at = now;
}

void node_control::set_position(store_position position, time_point_t now)
{
    m_position = position;
    if (now - m_earlier_at.back() >= settle_time)
    {
        m_earlier = {m_earlier.back(), position};
        m_earlier_at = {m_earlier_at.back(), now};
    }
}

std::uint64_t node_control::settled_revision() const
{
    const auto& earlier = m_earlier.front();
    return earlier.era != 0 && earlier.era == m_store.era() ? earlier.revision
                                                            : 0;
}

void node_control::set_read_position(std::uint64_t revision, time_point_t now)
{
    // A host takes over the endpoints of one with a later position.
    if (!m_list_incomplete)
        set_position({m_store.era(), revision}, now);
}

void node_control::reach(std::uint64_t revision)
{
    const auto now = time_point_t::clock::now();
    set_read_position(revision, now);
    bool changed = false;
    for (auto& [at, change] : m_changes)
        if (change.position == 0)
        {
            change.position = revision;
            changed = true;
        }
    while (!m_changes.empty() &&
           (m_changes.size() > max_changes ||
            now - m_changes.front().first > change_retention))
        m_changes.pop_front();
    if (!changed)
        return;
    publish();
    m_peers.hasten_heartbeat();
}

void node_control::add_changes(peer_news& news, time_point_t since) const
{
    news.position = m_position;
    for (const auto& [at, change] : m_changes)
        if (at >= since && change.position != 0)
            news.changes.push_back(change);
}

void node_control::apply_change(const endpoint_change& change, time_point_t now)
{
    if (!change.gone)
    {
        upsert_endpoint(m_endpoints, change.entry, now);
        return;
    }
    remove_endpoint(m_endpoints, change.entry.id, now);
    const auto found = m_endpoints.endpoints.find(change.entry.id);
    if (found == m_endpoints.endpoints.end() || !found->second.gone)
        return;
    found->second.lapsed = change.lapsed;
    // The reader has seen the outage, which may have been short.
    if (change.lapsed)
        m_endpoints.back_since = now;
}

void node_control::compare_distant(const peer_news& news, time_point_t now)
{
    if (!news.sender.fresh || news.position < m_position)
        return;
    if (news.sender.state_digest == state_digest())
    {
        m_ahead_since = {};
        confirm(news, now);
        return;
    }
    // Mostly the reader of the own zone tells the same at the same time.
    if (m_ahead_since == time_point_t{})
        m_ahead_since = now;
    if (now - m_ahead_since >= peer_fetch_delay)
        m_peers.request_state(m_members.address_of(news.sender.host));
}

void node_control::confirm(const peer_news& news, time_point_t now)
{
    set_position(news.position, now);
    confirm_age(news, now);
}

void node_control::confirm_age(const peer_news& news, time_point_t now)
{
    // Of a sender that doesn't know the evacuations, this host can't learn
    // them.
    if (news.sender.state_age && knows_evacuations(news.sender))
        m_confirmed_at = std::max(m_confirmed_at, now - *news.sender.state_age);
}

void node_control::apply_changes(const peer_news& news)
{
    const auto now = time_point_t::clock::now();
    if (!news.complete || !news.hub)
        return;
    // While this host reads by itself, it only notes that it need not.
    if (news.sender.host == m_reader.chosen_host() && news.sender.fresh &&
        news.sender.state_age && knows_evacuations(news.sender))
        m_told_at = std::max(m_told_at, now - *news.sender.state_age);
    if (reads_store(now))
        return;
    if (news.sender.zone != m_settings.zone)
        return compare_distant(news, now);
    // A sender whose state is old may only have begun to read.
    if (news.sender.fresh ||
        (news.sender.store_failing && !store_is_current(now)))
        record_store_call(m_endpoints, news.sender.fresh, now);
    if (news.position.revision == 0)
        return;
    // A host that has read the store itself may have come further in its
    // history than its reader, which learns of the changes of its kinds only.
    if (news.position < m_position)
    {
        if (news.position.era == m_position.era && news.sender.fresh &&
            news.sender.state_digest == state_digest())
            confirm_age(news, now);
        return;
    }
    bool changed = false;
    if (m_endpoints_known && news.position.era == m_position.era)
        for (const auto& each : news.changes)
            if (each.position > m_position.revision)
            {
                apply_change(each, now);
                changed = true;
            }
    if (changed)
        publish();
    if (!m_endpoints_known || news.sender.state_digest != state_digest())
    {
        m_peers.request_state(m_members.address_of(news.sender.host));
        return;
    }
    m_ahead_since = {};
    confirm(news, now);
}

void node_control::choose_reader(time_point_t now)
{
    std::vector<reader_candidate> zone{{m_settings.host, m_identity.capacity,
                                        m_reader.failing(),
                                        m_reader.answered()}};
    for (const auto* const each : m_members.live_reports(now))
        if (each->started != 0 && each->zone == m_settings.zone)
            zone.push_back({each->host, each->capacity, each->store_failing,
                            each->store_answers});
    // Nobody else is known right after the start.
    if (now - m_started < introduction)
        return;
    const bool read = m_reader.reads();
    m_reader.decide(zone, m_configuration != nullptr && m_endpoints_known,
                    read ? m_told_at : waits_since(), now);
    // What this host has read itself stays valid.
    if (read && !m_reader.reads())
        m_confirmed_at = std::max(
            m_confirmed_at, m_reader.complete_until().value_or(m_confirmed_at));
    m_members.set_speaks(m_reader.speaks());
    const bool current = store_is_current(now);
    if (current && !std::exchange(m_was_current, current))
        m_escrow.on_store_back();
    m_was_current = current;
}

void node_control::apply_configuration(const std::string& spec)
{
    auto decoded = platform::decode_deployment(spec);
    if (!decoded)
    {
        spdlog::error("new configuration rejected, the previous one stays in "
                      "force: {}",
                      decoded.error().message());
        return;
    }
    // The version in force never decreases while the process runs.
    if (m_configuration && decoded->version <= m_configuration->version)
        return;
    token_map_t budgets;
    for (const auto& each : decoded->customers)
        if (each.prepaid)
            budgets[each.name] = *each.prepaid;
    m_configuration = std::make_shared<const deployment>(std::move(*decoded));
    m_configuration_text = spec;
    m_behind_since = {};
    m_configuration_overdue = false;
    spdlog::info("configuration version {} is in force",
                 m_configuration->version);
    publish();
    if (m_reader.speaks())
        m_peers.hasten_heartbeat();
    m_escrow.set_budgets(std::move(budgets));
}

void node_control::apply_endpoint(const platform::stored_object& object)
{
    const auto entry = platform::decode_endpoint(object);
    if (entry)
    {
        if (!upsert_endpoint(m_endpoints, *entry, time_point_t::clock::now()))
            report_unusable(
                object,
                {errc::too_large, "apply endpoint", {}, "the list is full"});
        else if (entry->leaving)
            spdlog::info("endpoint {} is leaving, revision {}", entry->id,
                         object.revision);
    }
    else
    {
        report_unusable(object, entry.error());
        remove_endpoint(m_endpoints, object.name, time_point_t::clock::now());
    }
}

void node_control::report_unusable(const platform::stored_object& object,
                                   const error& fault)
{
    if (m_unusable.size() >= max_unusable)
        m_unusable.clear();
    auto& reported = m_unusable[hash64(object.name)];
    if (std::exchange(reported, object.revision) != object.revision &&
        m_ignored_log.take())
        spdlog::warn("event=endpoint_ignored name={} revision={} {}",
                     platform::printable_name(object.name), object.revision,
                     short_message(fault));
}

void node_control::publish()
{
    auto view = std::make_shared<fleet_view>();
    m_may_serve = may_serve(time_point_t::clock::now());
    if (m_may_serve && !m_configuration_overdue)
        view->configuration = m_configuration;
    view->endpoints = usable_endpoints(m_endpoints, time_point_t::clock::now());
    view->draining = draining_processes(m_endpoints);
    view->splits = m_moves.splits();
    view->evacuated_zones = m_evacuations.list.zones;
    view->hosts = m_host_count;
    view->crash_suspects = m_published_suspects;
    view->quarantined = m_published_quarantine;
    view->request_shares = m_published_shares;
    auto cold = share_cold(time_point_t::clock::now());
    if (cold.size() != m_published_cold.size())
        spdlog::info("event=cold_endpoints count={}", cold.size());
    m_published_cold = std::move(cold);
    view->cold_shares = m_published_cold;
    view->slot_shares = m_published_slots;
    view->relays = m_published_relays;
    view->host_ips = m_host_ips;
    m_traffic.publish_view(std::move(view));
}

void node_control::publish_hosts()
{
    auto ips = m_members.ips();
    if (m_host_count == m_members.size() && ips == m_host_ips)
        return;
    m_host_count = m_members.size();
    m_host_ips = std::move(ips);
    publish();
}

std::uint64_t node_control::state_digest() const
{
    std::string text;
    for (const auto& [id, known] : m_endpoints.endpoints)
        if (!known.gone)
            text.append(id).append(known.entry.leaving ? "-" : "+");
    for (const auto& each : m_moves.moves(time_point_t()))
        text.append(each.order.service)
            .append(each.order.target)
            .append(
                1, static_cast<char>('0' + static_cast<int>(each.order.state)));
    return hash64(text);
}

peer_heartbeat node_control::make_heartbeat()
{
    const auto now = time_point_t::clock::now();
    peer_heartbeat heartbeat;
    heartbeat.host = m_settings.host;
    heartbeat.incarnation = m_identity.process.incarnation;
    heartbeat.configuration = m_configuration ? m_configuration->version : 0;
    heartbeat.fresh = store_is_current(now) && !m_list_incomplete;
    heartbeat.can_write = m_escrow.can_write();
    heartbeat.state_digest = state_digest();
    heartbeat.evidence = m_moves.evidence();
    heartbeat.crashes = m_crashes.shared(now);
    heartbeat.limits = m_limits.shared(now);
    heartbeat.brittle = m_brittle.shared(now);
    heartbeat.relay_port = m_relay_port;
    if (m_endpoints_known)
        heartbeat.state_age = state_age(now);
    heartbeat.store_failing = m_reader.failing();
    heartbeat.store_answers = m_reader.answered();
    heartbeat.store_era = m_store.era();
    // Without watching them, this host can't confirm them to others.
    if (uses_evacuations())
        heartbeat.evacuations = m_evacuations.list;
    return heartbeat;
}

peer_state node_control::make_state() const
{
    const auto now = time_point_t::clock::now();
    peer_state state;
    state.configuration = m_configuration_text;
    state.version = m_configuration ? m_configuration->version : 0;
    for (const auto& [id, known] : m_endpoints.endpoints)
        if (!known.gone)
            state.endpoints.push_back(shared_entry(known, now));
    state.moves = m_moves.moves(time_point_t::clock::now());
    state.position = m_position;
    return state;
}

void node_control::apply_report(const peer_heartbeat& heartbeat,
                                time_point_t made_at)
{
    const auto now = time_point_t::clock::now();
    apply_evacuations(heartbeat.evacuations);
    for (const auto& each : heartbeat.evidence)
        if (heartbeat.started == 0)
            m_moves.set_foreign_evidence(heartbeat.host, each);
        else
            m_moves.set_peer_evidence(heartbeat.host, each);
    m_crashes.merge(heartbeat.crashes, made_at);
    publish_crashes(now);
    m_limits.merge(heartbeat.limits, made_at);
    m_brittle.merge(heartbeat.brittle, made_at);
    publish_limits(now);
}

void node_control::record_live_hosts(time_point_t now)
{
    for (const auto* const each : m_members.live_reports(now))
    {
        m_witnesses.record_heartbeat({each->host, each->incarnation});
        m_escrow.record_heartbeat(each->host, each->can_write);
    }
}

void node_control::tell_era()
{
    if (m_told_era == m_store.era())
        return;
    // What each host holds must be known before anything is drawn.
    m_told_era = m_store.era();
    m_peers.hasten_heartbeat();
    m_escrow.on_store_back();
}

void node_control::compare_state(const peer_heartbeat& heartbeat)
{
    const auto now = time_point_t::clock::now();
    m_store.learn_era(heartbeat.store_era);
    tell_era();
    const auto version = m_configuration ? m_configuration->version : 0;
    if (heartbeat.configuration > version)
    {
        if (m_behind_since == time_point_t{})
            m_behind_since = now;
        if (!reads_store(now) || now - m_behind_since >= peer_fetch_delay)
            m_peers.request_state(m_members.address_of(heartbeat.host));
    }
    else if (heartbeat.fresh && !store_is_current(now) &&
             heartbeat.state_digest != state_digest())
        m_peers.request_state(m_members.address_of(heartbeat.host));
}

void node_control::apply_peer_state(const peer_state& state)
{
    const auto now = time_point_t::clock::now();
    if (!state.reports.empty())
        return m_members.repair(state.reports);
    if (!state.configuration.empty() &&
        (!m_configuration || state.version > m_configuration->version))
        apply_configuration(state.configuration);
    // Endpoints and moves of the store are newer than a peer's copy, and so is
    // what a peer had later.
    const auto& position = state.position;
    if (reads_store(now) || (position.revision == 0 ? store_is_current(now)
                                                    : position < m_position))
        return;
    if (m_endpoints_known && m_position.era != 0 &&
        position.era > m_position.era)
        restore_endpoints(m_endpoints, state.endpoints, now);
    else
        replace_endpoints(m_endpoints, state.endpoints, now);
    set_position(std::max(m_position, position), now);
    m_list_incomplete = false;
    set_endpoints_known(now);
    m_moves_known = true;
    std::set<std::string> services;
    for (const auto& each : state.moves)
        services.insert(each.order.service);
    m_moves.retain(services);
    for (const auto& each : state.moves)
        m_moves.apply_order(each.order, now - each.elapsed,
                            each.era != 0 ? each.era : m_store.era());
    publish();
}

void node_control::record_crash(std::uint64_t process,
                                const crash_suspects_t& suspects)
{
    const auto now = time_point_t::clock::now();
    m_crashes.record_crash(process, suspects, now);
    m_peers.hasten_heartbeat();
    publish_crashes(now);
}

void node_control::clear_suspects(const std::set<std::uint64_t>& ids)
{
    const auto now = time_point_t::clock::now();
    for (const auto each : ids)
        m_crashes.clear(each, now);
    publish_crashes(now);
}

void node_control::record_limit(const limit_observation& observation)
{
    (observation.kind == limit_kind::requests ? m_limits : m_brittle)
        .observe(observation);
    if (publish_limits(time_point_t::clock::now()))
        m_peers.hasten_heartbeat();
}

bool node_control::publish_limits(time_point_t now)
{
    auto shares = m_limits.shares(m_members.live_hosts(now), m_host_count);
    auto slots = share_slots(now);
    if (shares == m_published_shares && slots == m_published_slots)
        return false;
    m_published_shares = std::move(shares);
    m_published_slots = std::move(slots);
    publish();
    return true;
}

std::map<std::uint64_t, slot_share>
node_control::share_slots(time_point_t now) const
{
    const auto limits = m_brittle.limits_in_force();
    std::map<std::string, std::vector<slot_offer>> offers; // by service
    for (const auto& [id, known] : m_endpoints.endpoints)
        if (const auto process = process_hash(known.entry);
            !known.entry.leaving && limits.contains(process))
            offers[known.entry.service].push_back({process, known.entry.slots});
    std::map<std::uint64_t, slot_share> shares;
    for (const auto& [service, endpoints] : offers)
        for (const auto& [process, slots] :
             share_of_slots(endpoints, m_settings.host,
                            m_members.live_hosts(now), m_host_count))
        {
            const auto& limit = limits.at(process);
            shares[process] = {slots, limit.per_s, limit.rejected_at};
        }
    return shares;
}

std::map<std::uint64_t, request_share>
node_control::share_cold(time_point_t now) const
{
    if (!m_configuration)
        return {};
    return share_cold_endpoints(m_endpoints, *m_configuration, m_cold_evidence,
                                m_settings.host, m_members.live_hosts(now),
                                m_host_count, now);
}

bool node_control::others_run(time_point_t now) const
{
    const auto reports = m_members.live_reports(now);
    return std::any_of(reports.begin(), reports.end(),
                       [this](const auto* each)
                       {
                           return each->started != 0 &&
                                  each->started + min_head_start_ms <
                                      m_started_at_ms;
                       });
}

void node_control::publish_cold(time_point_t now)
{
    m_cold_evidence.others_run = m_cold_evidence.others_run || others_run(now);
    if (share_cold(now) != m_published_cold)
        publish();
}

void node_control::set_relay_port(std::uint16_t port)
{
    m_relay_port = port;
    m_peers.hasten_heartbeat();
}

void node_control::publish_relays(time_point_t now)
{
    std::vector<relay_host> relays;
    for (const auto* const each : m_members.live_reports(now))
    {
        if (each->relay_port == 0)
            continue;
        const auto address = m_members.address_of(each->host);
        relays.push_back({each->host,
                          {address.ip, each->relay_port},
                          m_members.zone_of(each->host) == m_settings.zone});
    }
    if (relays == m_published_relays)
        return;
    m_published_relays = std::move(relays);
    publish();
}

void node_control::forget_gone_limits()
{
    std::set<std::uint64_t> processes;
    for (const auto& [id, known] : m_endpoints.endpoints)
        processes.insert(process_hash(known.entry));
    m_limits.retain(processes);
    m_brittle.retain(processes);
}

void node_control::publish_crashes(time_point_t now)
{
    auto suspects = m_crashes.suspected();
    auto quarantine = m_crashes.quarantined(m_members.live_hosts(now), now);
    // A suspect that has been cleared meanwhile does no harm in the view.
    if (quarantine == m_published_quarantine &&
        suspects.empty() == m_published_suspects.empty() &&
        std::includes(m_published_suspects.begin(), m_published_suspects.end(),
                      suspects.begin(), suspects.end()))
        return;
    m_published_suspects = std::move(suspects);
    m_published_quarantine = std::move(quarantine);
    publish();
}

void node_control::update_wallet_states(wallet_states_t states)
{
    m_escrow.update_wallet_states(std::move(states));
}

void node_control::on_holdings_lowered(const token_map_t& holdings)
{
    m_escrow.on_holdings_lowered(holdings);
}

void node_control::record_samples(const std::vector<version_sample>& samples)
{
    for (const auto& each : samples)
        m_moves.record_sample(each);
}

void node_control::check_configuration(time_point_t now)
{
    const bool overdue = configuration_overdue(m_behind_since, now,
                                               m_settings.bounds.config_apply);
    if (overdue == m_configuration_overdue)
        return;
    m_configuration_overdue = overdue;
    spdlog::warn(
        "event=configuration_overdue version={} behind_ms={}",
        m_configuration ? m_configuration->version : 0,
        std::chrono::duration_cast<milliseconds>(now - m_behind_since).count());
    publish();
}

asio::awaitable<void> node_control::watch_state_age()
{
    asio::steady_timer timer(m_loop);
    for (;;)
    {
        const auto now = time_point_t::clock::now();
        const auto due = waits_since() + m_reader.max_age();
        // Once it is too old, the tick goes on to decide.
        timer.expires_at(due > now ? std::max(due, now + age_check_period)
                                   : now + tick_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!m_reader.reads())
            choose_reader(time_point_t::clock::now());
    }
}

asio::awaitable<void> node_control::tick()
{
    asio::steady_timer timer(m_loop);
    auto splits = m_moves.splits();
    auto next_log = time_point_t::clock::now() + log_interval;
    for (;;)
    {
        timer.expires_after(tick_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto now = time_point_t::clock::now();
        if (now >= next_log)
        {
            next_log = now + log_interval;
            if (const auto count = m_ignored_log.renew(); count != 0)
                spdlog::warn("event=objects_ignored unlogged={}", count);
            m_escrow.log_calls();
            m_members.log_counts();
            spdlog::info("event=store_calls list={} watch={} budget={} move={} "
                         "probe={} present_checks={} reads={} failing={} "
                         "state_age_ms={} position={}",
                         m_store.calls(call_purpose::list),
                         m_store.calls(call_purpose::watch),
                         m_store.calls(call_purpose::budget),
                         m_store.calls(call_purpose::move),
                         m_store.calls(call_purpose::probe),
                         m_reader.present_checks(), m_reader.reads(),
                         m_reader.failing(),
                         age_ms(confirmed_at().value_or(time_point_t{}), now),
                         m_position.revision);
        }
        m_members.tick();
        record_live_hosts(now);
        choose_reader(now);
        tell_era();
        publish_hosts();
        m_moves.tick(now, m_reader.reads());
        m_crashes.update(now);
        publish_crashes(now);
        forget_gone_limits();
        publish_limits(now);
        publish_cold(now);
        publish_relays(now);
        check_configuration(now);
        if (may_serve(now) != m_may_serve)
            publish();
        auto endpoints = usable_endpoints(m_endpoints, now);
        auto next_splits = m_moves.splits();
        if (endpoints != m_published_endpoints || next_splits != splits)
        {
            m_published_endpoints = std::move(endpoints);
            splits = std::move(next_splits);
            publish();
            // Endpoints of the old version stop once a move has succeeded.
            if (m_reader.reads())
                m_peers.hasten_heartbeat();
        }
    }
}

void node_control::close(wallet_states_t final_states,
                         std::function<void()> done)
{
    asio::co_spawn(m_loop, m_escrow.close(std::move(final_states)),
                   [done = std::move(done)](const std::exception_ptr&)
                   {
                       done();
                   });
}

} // namespace rhubarbgrade
