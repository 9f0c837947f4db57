#include "endpoint_directory.hpp"

#include <algorithm> // count_if, find, max, min
#include <cmath>     // exp
#include <memory>    // make_shared, weak_ptr
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/steady_timer.hpp>  // steady_timer
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include <platform/caller_codec.hpp>             // answer_head, prompt_part
#include <rhubarbgrade/detail/base/hash.hpp>     // hash64
#include <rhubarbgrade/detail/placing/place.hpp> // place

#include "../store/socket_options.hpp" // is_quiet, set_liveness, to_endpoint

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// For a new connection: some round trips of the farthest zone of a region
/// (3 ms) and the endpoint's own time; one lost packet costs a second anyway.
constexpr milliseconds connect_timeout{400};

/// Idle time up to which a connection carries what can't be sent twice. An
/// endpoint that is about to drop it does so after whole seconds.
constexpr milliseconds fresh_idle{700};

/// Idle time kept below what the endpoint says, and assumed where it says
/// nothing.
constexpr milliseconds idle_margin{1000};
constexpr milliseconds idle_assumed{3000};

/// Idle connections kept to one endpoint.
constexpr std::size_t most_idle = 24;

/// Ejection: failures in turn that cause it, and its length.
constexpr int ejecting_failures = 3;
constexpr milliseconds ejection{1500};

/// Weight of the newest answer in the failure rate.
constexpr double failure_weight = 0.12;

/// Time constant with which a reported load loses its weight, seconds.
constexpr double report_memory_s = 1.0;

/// An endpoint that can't be reached this soon after a connection broke has
/// crashed; it is back after some seconds.
constexpr milliseconds crash_window{1500};

std::uint64_t affinity_of(std::span<const platform::prompt_part> parts)
{
    // The last part belongs to the request or its session alone; the one
    // before it is shared with the requests of the same subject.
    if (parts.empty())
        return 0;
    return parts.size() > 1 ? parts[parts.size() - 2].id : parts[0].id;
}

token_count_t shared_tokens(std::span<const platform::prompt_part> parts)
{
    token_count_t shared = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        shared += parts[i].tokens;
    return shared;
}

token_count_t kept_tokens(const pool_endpoint& endpoint,
                          std::span<const platform::prompt_part> parts,
                          time_point_t now)
{
    token_count_t kept = 0;
    for (const auto& part : parts)
    {
        if (!endpoint.parts.has(part.id, now))
            break;
        kept += part.tokens;
    }
    return kept;
}

bool version_allowed(const pool_endpoint& endpoint, bool to_target,
                     const trial_split* split)
{
    return split == nullptr ||
           (endpoint.entry.version == split->target) == to_target;
}

/// How long a connection may lie idle before it is used again.
milliseconds idle_time(const endpoint_link& link)
{
    if (const auto& limit = link.idle_limit)
        return std::max(milliseconds(0), *limit - idle_margin);
    return idle_assumed;
}

/// This host's part of an endpoint's slots; more than an equal part, since
/// hosts are not equally loaded.
std::uint32_t slot_limit(const pool_endpoint& endpoint, std::size_t hosts)
{
    constexpr std::uint32_t least = 4;
    constexpr std::uint32_t oversell = 3;
    const auto part =
        oversell * endpoint.entry.slots /
        static_cast<std::uint32_t>(std::max<std::size_t>(1, hosts));
    return std::max(least, part);
}

} // namespace

endpoint_directory::endpoint_directory(
    asio::any_io_executor executor, std::string zone, random_source_t random,
    std::function<void(std::uint64_t)> crashed)
    : m_executor(std::move(executor)),
      m_zone(std::move(zone)),
      m_random(std::move(random)),
      m_crashed(std::move(crashed))
{
}

void endpoint_directory::update(const fleet_view_ptr_t& view)
{
    m_view = view;
    for (auto& [id, each] : m_by_id)
        each->listed = false;
    m_by_service.clear();
    for (const auto& entry : view->endpoints)
    {
        auto& known = m_by_id[entry.id];
        if (!known || known->entry.started != entry.started ||
            known->entry.address != entry.address)
        {
            if (known)
                known->idle.clear();
            known = std::make_shared<pool_endpoint>();
            known->identity = hash64(entry.id);
        }
        known->entry = entry;
        known->listed = true;
        m_by_service[entry.service].push_back(known);
    }
    std::erase_if(m_by_id,
                  [](auto& each)
                  {
                      if (!each.second->listed)
                          each.second->idle.clear();
                      return !each.second->listed;
                  });
}

bool endpoint_directory::serves(std::string_view service) const
{
    return m_by_service.find(service) != m_by_service.end();
}

endpoint_ptr_t endpoint_directory::choose(const endpoint_wish& wish,
                                          time_point_t now)
{
    const auto pool = m_by_service.find(wish.service);
    if (pool == m_by_service.end())
        return nullptr;
    const auto found = m_view->splits.find(wish.service);
    const auto* split =
        found == m_view->splits.end() ? nullptr : &found->second;
    constexpr double parts = 10000;
    const bool to_target =
        split != nullptr &&
        static_cast<double>(m_random() % static_cast<std::uint64_t>(parts)) <
            split->target_share * parts;
    auto chosen = choose_of(pool->second, wish, split, to_target, now);
    // A request meant for the version on trial goes to the proved one where
    // the trial has no room, never the other way round.
    if (!chosen && to_target && split->target_share < 1)
        chosen = choose_of(pool->second, wish, split, false, now);
    return chosen;
}

endpoint_ptr_t endpoint_directory::choose_of(
    const std::vector<endpoint_ptr_t>& pool, const endpoint_wish& wish,
    const trial_split* split, bool to_target, time_point_t now) const
{
    std::vector<placing_candidate> candidates;
    candidates.reserve(pool.size());
    for (const auto& each : pool)
    {
        placing_candidate made;
        made.identity = each->identity;
        made.same_zone = each->entry.zone == m_zone;
        made.in_flight = each->in_flight;
        made.limit = slot_limit(*each, m_view->hosts);
        const std::chrono::duration<double> age = now - each->reported_at;
        made.reported_load =
            each->reported_load * std::exp(-age.count() / report_memory_s);
        made.failure_rate = each->failure_rate;
        made.prompt_tokens_waiting = each->prompt_tokens_waiting;
        made.kept_tokens = kept_tokens(*each, wish.parts, now);
        made.usable = each->listed && now >= each->ejected_until &&
                      version_allowed(*each, to_target, split) &&
                      std::find(wish.tried.begin(), wish.tried.end(), each) ==
                          wish.tried.end();
        candidates.push_back(made);
    }
    placing_costs costs;
    costs.hosts = static_cast<double>(m_view->hosts);
    const auto index = place(candidates,
                             {affinity_of(wish.parts), wish.prompt_tokens,
                              shared_tokens(wish.parts)},
                             costs, m_random);
    return index ? pool[*index] : nullptr;
}

asio::awaitable<endpoint_link_ptr_t>
endpoint_directory::connect(endpoint_ptr_t endpoint, bool fresh_only)
{
    const auto now = time_point_t::clock::now();
    while (!endpoint->idle.empty())
    {
        auto link = std::move(endpoint->idle.back());
        endpoint->idle.pop_back();
        const auto limit = std::min(
            fresh_only ? fresh_idle : milliseconds::max(), idle_time(*link));
        if (now - link->idle_since < limit && is_quiet(link->socket))
            co_return link;
    }
    const auto address = to_endpoint(endpoint->entry.address);
    if (!address)
        co_return nullptr;
    auto link = std::make_shared<endpoint_link>(m_executor);
    asio::steady_timer limit(m_executor, connect_timeout);
    limit.async_wait(
        [weak = std::weak_ptr(link)](auto fault)
        {
            boost::system::error_code ignored; // the connect fails either way
            if (const auto late = weak.lock(); late && !fault)
                late->socket.close(ignored);
        });
    const auto [fault] = co_await link->socket.async_connect(
        *address, asio::as_tuple(asio::use_awaitable));
    const bool in_time = limit.cancel() != 0;
    if (!in_time || fault)
    {
        note_unreachable(*endpoint, time_point_t::clock::now());
        co_return nullptr;
    }
    set_liveness(link->socket);
    co_return link;
}

void endpoint_directory::note_broken(pool_endpoint& endpoint,
                                     std::uint64_t fingerprint,
                                     time_point_t now)
{
    endpoint.broken.push_back({fingerprint, now});
}

void endpoint_directory::note_unreachable(pool_endpoint& endpoint,
                                          time_point_t now)
{
    for (const auto& each : endpoint.broken)
        if (now - each.at < crash_window)
            m_crashed(each.fingerprint);
    endpoint.broken.clear();
}

void endpoint_directory::keep(pool_endpoint& endpoint, endpoint_link_ptr_t link,
                              time_point_t now)
{
    if (!endpoint.listed || endpoint.idle.size() >= most_idle)
        return;
    link->idle_since = now;
    link->used = true;
    endpoint.idle.push_back(std::move(link));
}

void endpoint_directory::note_end(pool_endpoint& endpoint, bool good,
                                  time_point_t now)
{
    endpoint.failure_rate +=
        failure_weight * ((good ? 0.0 : 1.0) - endpoint.failure_rate);
    if (good)
    {
        endpoint.failures_in_turn = 0;
        return;
    }
    if (++endpoint.failures_in_turn < ejecting_failures)
        return;
    endpoint.idle.clear();
    const auto& pool = m_by_service[endpoint.entry.service];
    const auto ejected = std::count_if(pool.begin(), pool.end(),
                                       [&](const auto& each)
                                       {
                                           return now < each->ejected_until;
                                       });
    // At most half of a service is ejected: more failing at once says more
    // of the path than of the endpoints.
    if (2 * (ejected + 1) <= static_cast<long>(pool.size()))
        endpoint.ejected_until = now + ejection;
}

void endpoint_directory::note_load(pool_endpoint& endpoint,
                                   const platform::answer_head& answer,
                                   time_point_t now)
{
    if (answer.running < 0)
        return;
    endpoint.reported_load =
        static_cast<double>(answer.running + answer.waiting) /
        std::max(1, answer.slots);
    endpoint.reported_at = now;
}

void endpoint_directory::sweep(time_point_t now)
{
    for (auto& [id, each] : m_by_id)
        std::erase_if(each->idle,
                      [&](const auto& link)
                      {
                          return now - link->idle_since >= idle_time(*link);
                      });
}

} // namespace rhubarbgrade
