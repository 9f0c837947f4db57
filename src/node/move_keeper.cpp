#include "move_keeper.hpp"

#include <chrono>  // duration, duration_cast
#include <string>  // string
#include <utility> // move

#include <spdlog/spdlog.h> // info, warn

#include <platform/object_decoders.hpp> // decode_move, encode_move_status

#include "../store/spawn.hpp"        // spawn
#include "../store/store_client.hpp" // store_client

namespace rhubarbgrade
{

namespace asio = boost::asio;
using boost::beast::http::verb;

namespace
{

constexpr milliseconds call_timeout{800};

/// Time that other hosts leave to the one that writes the end of a move.
constexpr milliseconds write_delay{300};

/// Size of the evidence on all running moves in one message, a few packets: of
/// a datagram of many packets one is lost too often.
constexpr std::size_t max_evidence_bytes = 8000;

/// Age up to which a hub's sum of the evidence is used; hubs send it twice a
/// second.
constexpr milliseconds max_fleet_age{1600};

} // namespace

move_keeper::move_keeper(asio::any_io_executor executor, store_client& store)
    : m_executor(std::move(executor)), m_store(store)
{
}

void move_keeper::apply_order(const move_order& order, time_point_t now,
                              std::uint64_t era)
{
    auto& tracked = m_moves[order.service];
    if (era < tracked.era ||
        (era == tracked.era && order.revision < tracked.order.revision))
        return;
    // A store that came back from a copy has lost an order made since; it is
    // created anew when it is written again.
    const bool written_again =
        tracked.era != era && tracked.order.target == order.target;
    tracked.era = era;
    if (tracked.order.target != order.target ||
        (tracked.order.created != order.created && !written_again))
    {
        tracked = {};
        tracked.era = era;
        tracked.first_seen = now;
        tracked.decayed_at = now;
        tracked.step.target_share = m_policy.share;
    }
    // This host's decision is kept until it is written, although the stored
    // order still has the state running.
    const bool decided = tracked.step.state != order_state::running;
    tracked.order = order;
    if (order.state == order_state::running && !decided)
        return;
    if (order.state != order_state::running)
        tracked.step.state = order.state;
    tracked.step.target_share =
        tracked.step.state == order_state::succeeded ? 1 : 0;
}

void move_keeper::remove(const std::string& service)
{
    m_moves.erase(service);
}

void move_keeper::retain(const std::set<std::string>& services)
{
    std::erase_if(m_moves,
                  [&](const auto& each)
                  {
                      return !services.contains(each.first);
                  });
}

void move_keeper::record_sample(const version_sample& sample)
{
    const auto found = m_moves.find(sample.service);
    if (found == m_moves.end())
        return;
    add_sample(found->second.evidence[sample.route],
               sample.version == found->second.order.target, sample.good,
               sample.latency_s);
}

void move_keeper::set_peer_evidence(const std::string& peer,
                                    const shared_evidence& evidence)
{
    const auto found = m_moves.find(evidence.service);
    if (found != m_moves.end() && found->second.order.target == evidence.target)
        found->second.peers[peer] = evidence.routes;
}

void move_keeper::set_foreign_evidence(const std::string& peer,
                                       const shared_evidence& evidence)
{
    const auto found = m_moves.find(evidence.service);
    if (found != m_moves.end() && found->second.order.target == evidence.target)
        found->second.foreign[peer] = evidence.routes;
}

void move_keeper::set_zone_evidence(const std::string& zone,
                                    const shared_evidence& evidence)
{
    const auto found = m_moves.find(evidence.service);
    if (found != m_moves.end() && found->second.order.target == evidence.target)
        found->second.zones[zone] = evidence.routes;
}

void move_keeper::set_fleet_evidence(
    const std::vector<shared_evidence>& evidence, time_point_t now)
{
    for (const auto& each : evidence)
    {
        const auto found = m_moves.find(each.service);
        if (found == m_moves.end() || found->second.order.target != each.target)
            continue;
        found->second.fleet = each.routes;
        found->second.fleet_at = now;
    }
}

move_evidence_t move_keeper::pool(const tracked_move& move, bool all_zones)
{
    auto pooled = move.evidence;
    for (const auto& [peer, evidence] : move.peers)
        merge(pooled, evidence);
    if (all_zones)
        for (const auto& [zone, evidence] : move.zones)
            merge(pooled, evidence);
    return pooled;
}

std::vector<shared_evidence>
move_keeper::running_evidence(const evidence_source_t& evidence_of) const
{
    std::vector<shared_evidence> all;
    for (const auto& [service, each] : m_moves)
        if (each.order.state == order_state::running)
            all.push_back({service, each.order.target, evidence_of(each)});
    for (auto& each : all)
        limit_routes(each.routes, max_evidence_bytes / all.size());
    return all;
}

std::vector<shared_evidence> move_keeper::zone_evidence() const
{
    return running_evidence(
        [](const auto& each)
        {
            return pool(each, false);
        });
}

std::vector<shared_evidence> move_keeper::fleet_evidence() const
{
    return running_evidence(
        [](const auto& each)
        {
            return pool(each, true);
        });
}

std::vector<shared_evidence> move_keeper::evidence() const
{
    return running_evidence(
        [](const auto& each)
        {
            return each.evidence;
        });
}

std::vector<shared_move> move_keeper::moves(time_point_t now) const
{
    std::vector<shared_move> all;
    all.reserve(m_moves.size());
    for (const auto& [service, each] : m_moves)
        all.push_back(
            {each.order,
             std::chrono::duration_cast<milliseconds>(now - each.first_seen),
             each.era});
    return all;
}

void move_keeper::tick(time_point_t now, bool first)
{
    for (auto& [service, each] : m_moves)
    {
        if (each.order.state != order_state::running)
            continue;
        decay(each.evidence,
              std::chrono::duration<double>(now - each.decayed_at).count());
        each.decayed_at = now;
        if (each.step.state == order_state::running)
        {
            auto pooled = now - each.fleet_at < max_fleet_age
                              ? each.fleet
                              : pool(each, true);
            for (const auto& [peer, evidence] : each.foreign)
                merge(pooled, evidence);
            each.step = decide_trial(
                pooled,
                std::chrono::duration_cast<milliseconds>(now - each.first_seen),
                each.order.limit, m_policy);
            if (each.step.state != order_state::running)
            {
                each.decided_at = now;
                log_decision(each, pooled, now);
            }
        }
        if (each.step.state != order_state::running && !each.writing &&
            (first || now - each.decided_at >= write_delay))
        {
            each.writing = true;
            auto order = each.order;
            order.state = each.step.state;
            spawn(m_executor, write_status(service, std::move(order)),
                  "status report of a move");
        }
    }
}

void move_keeper::log_decision(const tracked_move& move,
                               const move_evidence_t& evidence,
                               time_point_t now)
{
    const auto age = [now](time_point_t at)
    {
        return std::chrono::duration_cast<milliseconds>(now - at).count();
    };
    const auto sum = total(evidence);
    spdlog::info(
        "event=move_decided service={} target={} state={} reason=\"{}\" "
        "elapsed_ms={} limit_ms={} routes={} from_requests={:.0f} "
        "from_errors={:.0f} to_requests={:.0f} to_errors={:.0f} "
        "from_hub={} evidence_age_ms={}",
        move.order.service, move.order.target,
        move.step.state == order_state::succeeded ? "succeeded" : "reverted",
        move.step.reason, age(move.first_seen), move.order.limit.count(),
        evidence.size(), sum.from.requests, sum.from.errors,
        sum.to_all.requests, sum.to_all.errors,
        now - move.fleet_at < max_fleet_age,
        move.fleet_at == time_point_t{} ? -1 : age(move.fleet_at));
}

asio::awaitable<void> move_keeper::write_status(std::string service,
                                                move_order order)
{
    auto body = platform::status_body(service, order.revision,
                                      platform::encode_move_status(order));
    const auto answer = co_await m_store.call(
        call_purpose::move, verb::put,
        platform::status_target(platform::move_kind, service), std::move(body),
        call_timeout);
    const auto found = m_moves.find(service);
    if (found == m_moves.end())
        co_return;
    found->second.writing = false;
    if (!answer.is(200) && !answer.is(409))
        co_return; // retried at the next tick
    const auto object = platform::decode_object(answer.body);
    if (!object)
    {
        spdlog::warn("{}", object.error().message());
        co_return;
    }
    if (const auto current = platform::decode_move(*object))
        apply_order(*current, time_point_t::clock::now(), answer.era);
}

std::map<std::string, trial_split, std::less<>> move_keeper::splits() const
{
    std::map<std::string, trial_split, std::less<>> active_splits;
    for (const auto& [service, each] : m_moves)
        active_splits[service] = {each.order.target, each.step.target_share};
    return active_splits;
}

} // namespace rhubarbgrade
