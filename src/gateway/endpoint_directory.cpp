#include "endpoint_directory.hpp"

#include <algorithm> // any_of, count_if, find, max, min
#include <cmath>     // exp
#include <iterator>  // distance
#include <memory>    // make_shared
#include <utility>   // exchange, move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/steady_timer.hpp>  // steady_timer
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include <platform/caller_codec.hpp>             // response_head, prompt_part
#include <rhubarbgrade/detail/base/hash.hpp>     // hash64
#include <rhubarbgrade/detail/placing/place.hpp> // place

#include <spdlog/spdlog.h> // info, warn

#include "../store/socket_options.hpp" // ages_of_arrivals, is_alive
#include "../store/spawn.hpp"          // spawn
#include "process_monitor.hpp"         // process_monitor
#include "relay_client.hpp"            // open_through_relay

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// Time for which a request waits for a new connection: several round trips to
/// the farthest zone of a region (3 ms each) and time for a busy endpoint. It
/// does not cover a lost packet, whose retransmission takes a second.
constexpr milliseconds connect_timeout{400};

/// Longest idle time of a connection that is reused for a request that must not
/// be sent twice. Endpoints close idle connections after whole seconds, so they
/// don't close this one at the same moment.
constexpr milliseconds fresh_idle{700};

/// Margin by which a connection is given up before the endpoint's announced
/// keep-alive time-out, and the idle time if the endpoint announces none.
constexpr milliseconds idle_margin{1000};
constexpr milliseconds default_idle_time{3000};

/// Time after an answer that ended with its connection in which others of its
/// service are expected to do so.
constexpr milliseconds close_delimited_lifetime{60000};

/// Most idle connections to one endpoint.
constexpr std::size_t max_idle_links = 24;

/// Consecutive failures after which an endpoint is ejected, and for how long.
constexpr int ejection_threshold = 3;
constexpr milliseconds ejection_time{1500};

/// Pause between the probes of a service's endpoints while it is in doubt
/// whether this host reaches them, and once it does not.
constexpr milliseconds doubt_probe_interval{50};
constexpr milliseconds cut_probe_interval{500};

/// Time without a byte from a service, while requests wait there, after which
/// the host finds out whether it still reaches it, and how often it does that.
constexpr milliseconds max_silence{400};
constexpr milliseconds silence_check_interval{1000};

/// Relays that are asked for one connection, and the time for which one that
/// did not answer is avoided.
constexpr std::size_t max_relays = 2;
constexpr milliseconds relay_pause{1000};

/// Weight of the newest result in the moving average of the failure rate.
constexpr double failure_weight = 0.12;

/// Time constant, in seconds, of the exponential decay of a reported queue,
/// which takes longer to be worked off than the load.
constexpr double queue_decay_s = 2.0;

/// Waiting requests, as reported, from which a brittle engine gets no more.
constexpr double max_brittle_waiting = 0.5;

/// Age up to which a rejection explains the end of a brittle endpoint.
constexpr milliseconds rejection_evidence{2000};

/// A request without an answer after half its objective, or this time, waits in
/// a queue.
constexpr milliseconds min_delay{250};

/// Hash by which requests with a common prompt prefix go to the same endpoints;
/// 0 if the request has no prompt parts.
std::uint64_t affinity_of(std::span<const platform::prompt_part> parts)
{
    // The last part is specific to the request or its session; the one before
    // it is common to all requests on the same subject.
    if (parts.empty())
        return 0;
    return parts.size() > 1 ? parts[parts.size() - 2].id : parts[0].id;
}

/// Prompt tokens that may be common to several requests.
token_count_t shared_tokens(std::span<const platform::prompt_part> parts)
{
    token_count_t shared = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        shared += parts[i].tokens;
    return shared;
}

/// Tokens of the longest prompt prefix that the endpoint probably has cached.
token_count_t cached_tokens(const pool_endpoint& endpoint,
                            std::span<const platform::prompt_part> parts,
                            time_point_t now)
{
    token_count_t cached = 0;
    for (const auto& part : parts)
    {
        if (!endpoint.recent_parts.contains(part.id, now))
            break;
        cached += part.tokens;
    }
    return cached;
}

/// Whether the request is to go to the version on trial. A retry does not, so
/// that a request that failed there is not sent there again.
bool goes_to_trial(const trial_split* split, const endpoint_criteria& criteria)
{
    if (split == nullptr || criteria.version_draw >= split->target_share)
        return false;
    return criteria.tried.empty() || split->target_share >= 1;
}

/// Whether the request goes to the proven version if the version on trial has
/// no free endpoint. Requests never fall back to the version on trial.
bool falls_back(const trial_split* split, bool to_trial_version)
{
    return to_trial_version && split->target_share < 1;
}

/// Whether the endpoint runs a version that the request may go to.
bool version_allowed(const pool_endpoint& endpoint, bool to_trial_version,
                     const trial_split* split)
{
    return split == nullptr ||
           (endpoint.entry.version == split->target) == to_trial_version;
}

/// Whether a shared rate, if there is one, lets this host send a request.
bool allows(limited_use& use, time_point_t now)
{
    if (!use.share)
        return true;
    refill(use.bucket, *use.share, now);
    return has_token(use.bucket);
}

/// Time until a shared rate lets this host send a request; empty if the host
/// has no share of it.
std::optional<milliseconds> time_to_token(const limited_use& use)
{
    if (!use.share)
        return std::nullopt;
    return rhubarbgrade::time_to_token(use.bucket, *use.share);
}

/// Counts a request against a shared rate.
void count(limited_use& use, time_point_t now)
{
    if (!use.share)
        return;
    refill(use.bucket, *use.share, now);
    use.bucket.tokens -= 1;
}

/// Takes over the share of a process. A new bucket is empty.
void set_share(limited_use& use,
               const std::map<std::uint64_t, request_share>& shares,
               std::uint64_t process)
{
    const auto share = shares.find(process);
    if (share == shares.end())
        use = {};
    else
        use.share = share->second;
}

/// What this host knows of an engine's queue; it fades with its age.
engine_queue queue_of(const pool_endpoint& endpoint,
                      const endpoint_criteria& criteria, std::size_t hosts,
                      time_point_t now)
{
    const auto decay = [now](time_point_t at)
    {
        const std::chrono::duration<double> age = now - at;
        return std::exp(-age.count() / queue_decay_s);
    };
    const auto last = endpoint.last_wait * decay(endpoint.last_wait_at);
    auto wait = std::chrono::duration_cast<milliseconds>(last);
    if (!endpoint.unanswered.empty())
        wait = std::max(wait, std::chrono::duration_cast<milliseconds>(
                                  now - *endpoint.unanswered.begin()));
    const auto delayed =
        std::distance(endpoint.unanswered.begin(),
                      endpoint.unanswered.upper_bound(
                          now - std::max(min_delay, criteria.objective / 2)));
    // The other hosts are assumed to have as many there.
    const auto own_share = static_cast<double>(delayed) *
                           static_cast<double>(std::max<std::size_t>(1, hosts));
    return {
        std::max(own_share, endpoint.load.waiting * decay(endpoint.load.at)),
        wait};
}

/// Idle time from which a connection is no longer reused.
milliseconds max_idle_time(const endpoint_link& link)
{
    if (const auto& limit = link.idle_limit)
        return std::max(milliseconds(0), *limit - idle_margin);
    return default_idle_time;
}

/// Whether a brittle endpoint has turned a request away so lately that it gets
/// none.
bool is_paused(const pool_endpoint& endpoint, std::size_t hosts,
               time_point_t now)
{
    const auto& share = endpoint.slots_here;
    return share && now < std::max(endpoint.rejected_at, share->rejected_at) +
                              rejection_pause(share->rejections_per_s, hosts);
}

/// Whether this host has no part of a brittle endpoint now.
bool has_no_room(const pool_endpoint& endpoint, const engine_queue& queue,
                 std::size_t hosts, time_point_t now)
{
    return endpoint.slots_here && (endpoint.slots_here->slots == 0 ||
                                   queue.waiting >= max_brittle_waiting ||
                                   is_paused(endpoint, hosts, now));
}

/// Most requests of this host at one endpoint. It exceeds an equal share of the
/// endpoint's slots, because the load is not spread equally over the hosts.
std::uint32_t slot_limit(const pool_endpoint& endpoint, std::size_t hosts)
{
    if (endpoint.slots_here)
        return endpoint.slots_here->slots;
    constexpr std::uint32_t min_slots = 4;
    constexpr std::uint32_t overcommit = 3;
    const auto share =
        overcommit * endpoint.entry.slots /
        static_cast<std::uint32_t>(std::max<std::size_t>(1, hosts));
    return std::max(min_slots, share);
}

} // namespace

endpoint_directory::endpoint_directory(
    asio::any_io_executor executor, std::string zone, random_source_t random,
    std::function<void(const limit_observation&)> on_limit,
    std::function<void()> on_reach)
    : m_executor(std::move(executor)),
      m_zone(std::move(zone)),
      m_random(std::move(random)),
      m_on_limit(std::move(on_limit)),
      m_on_reach(std::move(on_reach)),
      m_view(std::make_shared<fleet_view>())
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
        known->evacuated = view->evacuated_zones.contains(entry.zone);
        const auto process = process_hash(entry);
        set_share(known->limit, view->request_shares, process);
        set_share(known->cold_rate, view->cold_shares, process);
        const auto slots = view->slot_shares.find(process);
        if (slots == view->slot_shares.end())
            known->slots_here.reset();
        else
            known->slots_here = slots->second;
        m_by_service[entry.service].push_back(known);
    }
    std::erase_if(m_by_id,
                  [this](auto& each)
                  {
                      if (each.second->listed)
                          return false;
                      each.second->idle.clear();
                      forget_endpoint(m_paths[each.second->entry.service].reach,
                                      each.second->identity);
                      if (each.second->in_flight != 0)
                          add_departure(each.second);
                      return true;
                  });
    follow_departures();
}

void endpoint_directory::add_departure(const endpoint_ptr_t& endpoint)
{
    m_departures.push_back(endpoint);
    // A monitor is of use only to answers that end with their connection.
    const auto now = time_point_t::clock::now();
    const auto& path = m_paths[endpoint->entry.service];
    if (now - path.close_delimited_at < close_delimited_lifetime)
        hold_monitor(endpoint, now);
}

void endpoint_directory::follow_departures()
{
    const auto now = time_point_t::clock::now();
    std::erase_if(
        m_departures,
        [&](const auto& each)
        {
            auto& news = each->news;
            const auto known = m_by_id.find(each->entry.id);
            if (known != m_by_id.end())
            {
                // It was listed again, or by its next process.
                if (known->second->entry.started == each->entry.started)
                    news = {};
                return true;
            }
            const bool draining =
                m_view->draining.contains(process_hash(each->entry));
            auto& learnt = draining ? news.draining_at : news.removed_at;
            if (!learnt)
            {
                learnt = now;
                spdlog::info("event=endpoint_leaving endpoint={} "
                             "state={} in_flight={}",
                             each->entry.id, draining ? "draining" : "removed",
                             each->in_flight);
            }
            return false;
        });
}

std::shared_ptr<process_monitor>
endpoint_directory::monitor_answer(const endpoint_ptr_t& endpoint,
                                   time_point_t now)
{
    m_paths[endpoint->entry.service].close_delimited_at = now;
    return hold_monitor(endpoint, now);
}

std::shared_ptr<process_monitor>
endpoint_directory::hold_monitor(const endpoint_ptr_t& endpoint,
                                 time_point_t now)
{
    auto& held = m_monitors[endpoint];
    held.needed_at = now;
    if (!held.monitor || held.monitor->ended())
    {
        held.monitor = std::make_shared<process_monitor>(*this, endpoint);
        endpoint->monitor = held.monitor;
        held.monitor->start();
    }
    return held.monitor;
}

void endpoint_directory::drop_monitors(time_point_t now)
{
    std::erase_if(m_monitors,
                  [now](const auto& each)
                  {
                      const auto& [endpoint, held] = each;
                      const bool answers_in_progress =
                          held.monitor.use_count() > 1;
                      const bool departs =
                          !endpoint->listed && endpoint->in_flight != 0;
                      return !answers_in_progress && !departs &&
                             now - held.needed_at >= default_idle_time;
                  });
}

connection_end endpoint_directory::record_end(pool_endpoint& endpoint,
                                              endpoint_link& link,
                                              bool follows_bytes)
{
    if (const auto monitor = endpoint.monitor.lock())
        monitor->check();
    return endpoint.ends.record(time_point_t::clock::now() -
                                    ages_of_arrivals(link.socket).last_segment,
                                follows_bytes);
}

void endpoint_directory::count_request(pool_endpoint& endpoint,
                                       time_point_t now)
{
    count(endpoint.limit, now);
    count(endpoint.cold_rate, now);
}

bool endpoint_directory::has_engine(std::string_view service) const
{
    if (!m_view->configuration)
        return false;
    const auto& services = m_view->configuration->services;
    const auto found = services.find(service);
    return found != services.end() && found->second.engine;
}

std::optional<milliseconds>
endpoint_directory::capacity_wait(const endpoint_criteria& criteria,
                                  time_point_t now) const
{
    const bool engine = has_engine(criteria.service);
    const auto pool = m_by_service.find(criteria.service);
    if (pool == m_by_service.end())
        return std::nullopt;
    const auto* split = find_split(criteria.service);
    const bool to_trial_version = goes_to_trial(split, criteria);
    const bool any_version = falls_back(split, to_trial_version);
    bool any_allowed = false;
    std::optional<milliseconds> shortest;
    for (const auto& each : pool->second)
    {
        auto state =
            condition_of(*each,
                         engine ? queue_of(*each, criteria, m_view->hosts, now)
                                : engine_queue(),
                         criteria, now);
        state.version_allowed =
            any_version || version_allowed(*each, to_trial_version, split);
        state.ejected = false; // for a moment only
        const auto reason = admit(state);
        any_allowed = any_allowed || reason != admission_result::other_version;
        switch (reason)
        {
        case admission_result::other_version:
        case admission_result::evacuated:
            break;
        case admission_result::cold:
        case admission_result::request_limit:
            if (const auto wait = time_to_token(reason == admission_result::cold
                                                    ? each->cold_rate
                                                    : each->limit);
                wait && (!shortest || *wait < *shortest))
                shortest = wait;
            break;
        case admission_result::brittle:
        case admission_result::saturated:
            shortest = milliseconds(0);
            break;
        default:
            return std::nullopt;
        }
    }
    // Endpoints of the version may be listed in a moment.
    if (!any_allowed)
        return std::nullopt;
    return shortest.value_or(milliseconds(0));
}

admission_state endpoint_directory::condition_of(
    pool_endpoint& endpoint, const engine_queue& queue,
    const endpoint_criteria& criteria, time_point_t now) const
{
    admission_state state;
    state.evacuated = endpoint.evacuated;
    state.cold_share_left = allows(endpoint.cold_rate, now);
    state.limit_share_left = allows(endpoint.limit, now);
    state.brittle_share_left =
        !has_no_room(endpoint, queue, m_view->hosts, now);
    state.ejected = now < endpoint.ejected_until;
    state.saturated =
        has_engine(criteria.service) && is_saturated(queue, criteria.objective);
    state.in_flight = endpoint.in_flight;
    state.limit = slot_limit(endpoint, m_view->hosts);
    return state;
}

std::size_t endpoint_directory::evacuated_in_flight() const
{
    std::size_t count = 0;
    for (const auto& [id, each] : m_by_id)
        count += each->evacuated ? each->in_flight : 0;
    return count;
}

const trial_split*
endpoint_directory::find_split(std::string_view service) const
{
    const auto found = m_view->splits.find(service);
    return found == m_view->splits.end() ? nullptr : &found->second;
}

double endpoint_directory::reported_load(std::string_view service,
                                         time_point_t now) const
{
    mean_load mean;
    const auto pool = m_by_service.find(service);
    if (pool != m_by_service.end())
        for (const auto& each : pool->second)
            mean.add(each->load, now);
    return mean.value();
}

bool endpoint_directory::serves(std::string_view service) const
{
    return m_by_service.find(service) != m_by_service.end();
}

endpoint_ptr_t endpoint_directory::choose(const endpoint_criteria& criteria,
                                          time_point_t now)
{
    const auto pool = m_by_service.find(criteria.service);
    if (pool == m_by_service.end())
        return nullptr;
    const auto* split = find_split(criteria.service);
    const bool to_trial_version = goes_to_trial(split, criteria);
    auto chosen =
        choose_from(pool->second, criteria, split, to_trial_version, now);
    if (!chosen && falls_back(split, to_trial_version))
        chosen = choose_from(pool->second, criteria, split, false, now);
    return chosen;
}

endpoint_ptr_t endpoint_directory::choose_from(
    const std::vector<endpoint_ptr_t>& pool, const endpoint_criteria& criteria,
    const trial_split* split, bool to_trial_version, time_point_t now) const
{
    std::vector<placing_candidate> candidates;
    candidates.reserve(pool.size());
    const bool engine = has_engine(criteria.service);
    mean_load mean;
    for (const auto& each : pool)
        mean.add(each->load, now);
    for (const auto& each : pool)
    {
        placing_candidate candidate_state;
        candidate_state.identity = each->identity;
        candidate_state.same_zone = each->entry.zone == m_zone;
        candidate_state.in_flight = each->in_flight;
        candidate_state.reported_load =
            expected_load(each->load, mean.value(), now);
        if (engine)
            candidate_state.queue =
                queue_of(*each, criteria, m_view->hosts, now);
        candidate_state.failure_rate = each->failure_rate;
        candidate_state.prompt_tokens_waiting = each->prompt_tokens_waiting;
        candidate_state.cached_tokens =
            cached_tokens(*each, criteria.parts, now);
        auto condition =
            condition_of(*each, candidate_state.queue, criteria, now);
        condition.version_allowed =
            version_allowed(*each, to_trial_version, split);
        condition.tried =
            std::find(criteria.tried.begin(), criteria.tried.end(), each) !=
            criteria.tried.end();
        candidate_state.limit = condition.limit;
        candidate_state.usable = admit(condition) == admission_result::admitted;
        candidates.push_back(candidate_state);
    }
    placing_costs costs;
    costs.hosts = static_cast<double>(m_view->hosts);
    const auto index =
        place(candidates,
              {affinity_of(criteria.parts), criteria.prompt_tokens,
               shared_tokens(criteria.parts), criteria.objective},
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
        const auto limit =
            std::min(fresh_only ? fresh_idle : milliseconds::max(),
                     max_idle_time(*link));
        if (now - link->idle_since < limit && is_alive(link->socket))
            co_return link;
    }
    co_return (co_await open_connection(endpoint)).link;
}

asio::awaitable<open_result>
endpoint_directory::open_connection(endpoint_ptr_t endpoint)
{
    open_result opened;
    if (!is_cut(endpoint->entry.service))
    {
        opened = co_await open_direct(endpoint);
        // A refusal alone may come from a cut: another host knows.
        if (opened.link ||
            (!opened.refused && !may_be_cut(endpoint->entry.service)))
            co_return opened;
    }
    if (usable_relays(time_point_t::clock::now()).empty())
    {
        opened.refused = opened.refused && !may_be_cut(endpoint->entry.service);
        co_return opened;
    }
    co_return co_await open_relayed(endpoint);
}

std::vector<relay_host>
endpoint_directory::usable_relays(time_point_t now) const
{
    auto relays = m_view->relays;
    std::erase_if(relays,
                  [&](const auto& each)
                  {
                      const auto failed = m_relay_failures.find(each.host);
                      return failed != m_relay_failures.end() &&
                             now - failed->second < relay_pause;
                  });
    return relays;
}

asio::awaitable<open_result>
endpoint_directory::open_relayed(endpoint_ptr_t endpoint)
{
    const auto process = process_hash(endpoint->entry);
    const auto relays = usable_relays(time_point_t::clock::now());
    std::vector<std::size_t> tried;
    while (tried.size() < max_relays)
    {
        const auto index = choose_relay(relays, tried, m_random);
        if (!index)
            break;
        tried.push_back(*index);
        const auto& relay = relays[*index];
        auto link = std::make_shared<endpoint_link>(m_executor);
        const auto outcome =
            co_await open_through_relay(link, relay.address, process);
        if (outcome == relay_outcome::connected)
        {
            link->relayed = true;
            co_return open_result{std::move(link), false};
        }
        if (outcome == relay_outcome::refused)
            co_return open_result{nullptr, true};
        if (outcome == relay_outcome::unreachable)
            break;
        if (outcome == relay_outcome::failed)
            m_relay_failures[relay.host] = time_point_t::clock::now();
    }
    co_return open_result{};
}

void endpoint_directory::record_open_result(const pool_endpoint& endpoint,
                                            bool opened)
{
    const auto now = time_point_t::clock::now();
    const auto& service = endpoint.entry.service;
    auto& path = m_paths[service];
    const bool was_cut = path.reach.cut;
    record_open(path.reach, endpoint.identity, opened, now);
    if (opened)
    {
        if (was_cut)
            on_path_restored(service);
        return;
    }
    if (!endpoint.listed)
        return forget_endpoint(path.reach, endpoint.identity);
    const auto pool = m_by_service.find(service);
    if (pool == m_by_service.end())
        return;
    if (update_cut(path.reach, pool->second.size(), any_other_cut(service),
                   now))
        on_cut(service);
    start_probe(service);
}

void endpoint_directory::on_cut(const std::string& service)
{
    spdlog::warn("event=service_cut service={} failures={} relays={}", service,
                 m_paths[service].reach.failures.size(), m_view->relays.size());
    for (const auto& each : m_by_service[service])
    {
        // What is open hangs or is reset; what the endpoints seemed to do wrong
        // was the fault of the path.
        each->idle.clear();
        each->unanswered.clear();
        each->last_wait = {};
        each->failure_rate = 0;
        each->consecutive_failures = 0;
        each->ejected_until = {};
    }
    m_on_reach();
    for (const auto& [other, pool] : m_by_service)
        if (!is_cut(other))
            start_probe(other);
}

void endpoint_directory::on_path_restored(const std::string& service)
{
    spdlog::info("event=service_reached service={}", service);
    for (const auto& each : m_by_service[service])
        std::erase_if(each->idle,
                      [](const auto& link)
                      {
                          return link->relayed;
                      });
    m_on_reach();
}

void endpoint_directory::start_probe(const std::string& service)
{
    if (!std::exchange(m_paths[service].probing, true))
        spawn(m_executor, probe_path(service), "probe of a service");
}

endpoint_ptr_t
endpoint_directory::choose_probe_target(const std::string& service) const
{
    const auto pool = m_by_service.find(service);
    if (pool == m_by_service.end() || pool->second.empty())
        return nullptr;
    const auto& failures = m_paths.find(service)->second.reach.failures;
    std::vector<endpoint_ptr_t> unknown;
    for (const auto& each : pool->second)
        if (!failures.contains(each->identity) && !each->evacuated)
            unknown.push_back(each);
    const auto& targets = unknown.empty() ? pool->second : unknown;
    return targets[m_random() % targets.size()];
}

asio::awaitable<void> endpoint_directory::probe_path(std::string service)
{
    asio::steady_timer timer(m_executor);
    for (;;)
    {
        const auto endpoint = choose_probe_target(service);
        if (!endpoint)
        {
            // Nothing is known of endpoints that are listed later.
            if (std::exchange(m_paths[service].reach, {}).cut)
                m_on_reach();
            break;
        }
        auto opened = co_await open_direct(endpoint);
        const auto now = time_point_t::clock::now();
        if (opened.link)
        {
            return_connection(*endpoint, std::move(opened.link), now);
            break;
        }
        const auto& reach = m_paths[service].reach;
        if (!in_doubt(reach, now))
            break;
        timer.expires_after(reach.cut ? cut_probe_interval
                                      : doubt_probe_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    m_paths[service].probing = false;
}

endpoint_ptr_t endpoint_directory::find_process(std::uint64_t process) const
{
    for (const auto& [id, each] : m_by_id)
        if (process_hash(each->entry) == process)
            return each;
    return nullptr;
}

bool endpoint_directory::is_cut(std::string_view service) const
{
    const auto found = m_paths.find(service);
    return found != m_paths.end() && found->second.reach.cut;
}

bool endpoint_directory::is_silent(std::string_view service) const
{
    const auto found = m_paths.find(service);
    return found != m_paths.end() && found->second.reach.cut &&
           time_point_t::clock::now() - found->second.last_byte >= max_silence;
}

bool endpoint_directory::any_other_cut(std::string_view service) const
{
    return std::any_of(m_paths.begin(), m_paths.end(),
                       [&](const auto& each)
                       {
                           return each.first != service &&
                                  each.second.reach.cut;
                       });
}

bool endpoint_directory::may_be_cut(std::string_view service) const
{
    const auto found = m_paths.find(service);
    return found != m_paths.end() &&
           rhubarbgrade::may_be_cut(found->second.reach,
                                    time_point_t::clock::now());
}

bool endpoint_directory::has_path(std::string_view service) const
{
    return !is_cut(service) ||
           !usable_relays(time_point_t::clock::now()).empty();
}

bool endpoint_directory::reaches_any() const
{
    return m_by_service.empty() ||
           std::any_of(m_by_service.begin(), m_by_service.end(),
                       [this](const auto& each)
                       {
                           return !is_cut(each.first);
                       });
}

bool endpoint_directory::isolated() const
{
    return !reaches_any() && m_view->relays.empty();
}

void endpoint_directory::record_bytes(const pool_endpoint& endpoint,
                                      time_point_t now)
{
    m_paths[endpoint.entry.service].last_byte = now;
}

void endpoint_directory::check_silence(time_point_t now)
{
    for (const auto& [service, pool] : m_by_service)
    {
        auto& path = m_paths[service];
        if (path.probing || now - path.last_byte < max_silence ||
            now - path.checked_at < silence_check_interval)
            continue;
        const bool waiting = std::any_of(
            pool.begin(), pool.end(),
            [now](const auto& each)
            {
                return !each->unanswered.empty() &&
                       now - *each->unanswered.begin() >= max_silence;
            });
        if (!waiting)
            continue;
        path.checked_at = now;
        start_probe(service);
    }
}

struct endpoint_directory::opening
{
    opening(const asio::any_io_executor& executor, endpoint_ptr_t with_endpoint)
        : endpoint(std::move(with_endpoint)),
          link(std::make_shared<endpoint_link>(executor)),
          timer(executor)
    {
    }

    endpoint_ptr_t endpoint;
    endpoint_link_ptr_t link;
    time_point_t started = time_point_t::clock::now();
    asio::steady_timer timer; ///< of the wait, then of the connection
    bool ended = false;       ///< has opened or failed
    boost::system::error_code fault;
    bool abandoned = false; ///< nobody waits any more
    /// The wait ended while the host was late: whether the endpoint answers
    /// shows when the connection ends.
    bool undecided = false;
};

asio::awaitable<open_result>
endpoint_directory::open_direct(endpoint_ptr_t endpoint)
{
    const auto address = to_endpoint(endpoint->entry.address);
    if (!address)
        co_return open_result{};
    const auto pending = std::make_shared<opening>(m_executor, endpoint);
    pending->link->socket.async_connect(
        *address,
        [this, pending](const boost::system::error_code& fault)
        {
            if (!pending->ended)
                end_opening(*pending, fault);
        });
    pending->timer.expires_after(connect_timeout);
    co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!pending->ended)
    {
        abandon(pending);
        co_return open_result{};
    }
    if (pending->fault)
        co_return open_result{nullptr, pending->fault ==
                                           asio::error::connection_refused};
    co_return open_result{std::move(pending->link), false};
}

void endpoint_directory::abandon(const std::shared_ptr<opening>& pending)
{
    pending->abandoned = true;
    pending->undecided = m_host_load.late;
    const auto silence = std::chrono::duration_cast<milliseconds>(
        time_point_t::clock::now() -
        m_paths[pending->endpoint->entry.service].last_byte);
    const auto limit =
        pending->started + connect_evidence_time(m_host_load, silence);
    const auto give_up = [this](opening& late)
    {
        end_opening(late, asio::error::timed_out);
        boost::system::error_code ignored; // the connect is cancelled
        late.link->socket.close(ignored);
    };
    if (time_point_t::clock::now() >= limit)
        return give_up(*pending);
    pending->timer.expires_at(limit);
    pending->timer.async_wait(
        [give_up, pending](auto fault)
        {
            if (!fault && !pending->ended)
                give_up(*pending);
        });
}

void endpoint_directory::end_opening(opening& pending,
                                     const boost::system::error_code& fault)
{
    const auto now = time_point_t::clock::now();
    pending.ended = true;
    pending.fault = fault;
    pending.timer.cancel();
    if (!fault)
    {
        m_connect_time = std::max(
            m_connect_time,
            std::chrono::duration_cast<milliseconds>(now - pending.started));
        set_tcp_options(pending.link->socket);
    }
    record_open_result(*pending.endpoint, !fault);
    if (!pending.abandoned)
        return;
    if (!fault)
        return_connection(*pending.endpoint, std::move(pending.link), now);
    else if (pending.undecided && !may_be_cut(pending.endpoint->entry.service))
        record_result(*pending.endpoint, false, now);
}

void endpoint_directory::record_host_sample(milliseconds loop_delay,
                                            double link_mbps, time_point_t now)
{
    constexpr double megabit_bytes = 125000;
    const std::chrono::duration<double> interval = now - m_sampled_at;
    const auto bytes = static_cast<double>(std::exchange(m_bytes, 0));
    const host_sample sample{
        loop_delay, std::exchange(m_connect_time, milliseconds(0)),
        bytes / (link_mbps * megabit_bytes * std::max(1e-3, interval.count()))};
    m_sampled_at = now;
    if (record_sample(m_host_load, sample, now))
        spdlog::info(
            "event={} loop_delay_ms={} connect_ms={} link_share={:.2f}",
            m_host_load.late ? "host_late" : "host_in_time",
            sample.loop_delay.count(), sample.connect_time.count(),
            sample.link_share);
}

void endpoint_directory::return_connection(pool_endpoint& endpoint,
                                           endpoint_link_ptr_t link,
                                           time_point_t now)
{
    const bool detour = link->relayed && !is_cut(endpoint.entry.service);
    if (!endpoint.listed || endpoint.idle.size() >= max_idle_links || detour)
        return;
    link->idle_since = now;
    link->used = true;
    endpoint.idle.push_back(std::move(link));
}

void endpoint_directory::record_result(pool_endpoint& endpoint, bool success,
                                       time_point_t now)
{
    endpoint.failure_rate +=
        failure_weight * ((success ? 0.0 : 1.0) - endpoint.failure_rate);
    if (success)
    {
        endpoint.consecutive_failures = 0;
        return;
    }
    if (++endpoint.consecutive_failures < ejection_threshold)
        return;
    endpoint.idle.clear();
    const auto& pool = m_by_service[endpoint.entry.service];
    const auto ejected_count =
        std::count_if(pool.begin(), pool.end(),
                      [&](const auto& each)
                      {
                          return now < each->ejected_until;
                      });
    // At most half of a service's endpoints are ejected: if more fail at once,
    // the network path is the likelier cause.
    if (2 * (ejected_count + 1) <= static_cast<long>(pool.size()))
        endpoint.ejected_until = now + ejection_time;
}

void endpoint_directory::record_sent(pool_endpoint& endpoint, time_point_t now)
{
    endpoint.unanswered.insert(now);
}

void endpoint_directory::record_first_byte(pool_endpoint& endpoint,
                                           time_point_t sent_at,
                                           time_point_t now)
{
    const auto found = endpoint.unanswered.find(sent_at);
    if (found == endpoint.unanswered.end())
        return;
    endpoint.unanswered.erase(found);
    endpoint.last_wait =
        std::chrono::duration_cast<milliseconds>(now - sent_at);
    endpoint.last_wait_at = now;
}

void endpoint_directory::record_load(pool_endpoint& endpoint,
                                     const platform::response_head& head,
                                     time_point_t now)
{
    if (head.load_unreadable && m_unreadable_loads++ == 0)
        spdlog::warn("event=load_unreadable service={} endpoint={}",
                     endpoint.entry.service, endpoint.entry.id);
    if (head.running < 0)
        return;
    constexpr double percent = 100;
    record_report(endpoint.load,
                  static_cast<double>(head.running + head.waiting) /
                      std::max(1, head.slots),
                  head.waiting, head.pace_percent.value_or(percent) / percent,
                  now);
}

void endpoint_directory::record_limit(pool_endpoint& endpoint,
                                      const platform::response_head& head,
                                      time_point_t sent_at,
                                      time_point_t now) const
{
    const auto process = process_hash(endpoint.entry);
    const auto report = [&](limit_kind kind, bool named,
                            const std::optional<double>& per_s, bool in_force)
    {
        const bool unreadable = named && !per_s;
        if (!unreadable && (named || in_force))
            m_on_limit({process, per_s, sent_at, now, head.not_run, kind});
    };
    report(limit_kind::requests, head.names_limit, head.limit_per_s,
           endpoint.limit.share.has_value());
    report(limit_kind::rejections, head.names_brittle, head.rejections_per_s,
           endpoint.slots_here.has_value());
    if (head.not_run)
        endpoint.rejected_at = now;
}

bool endpoint_directory::fell_for_room(const pool_endpoint& endpoint,
                                       time_point_t now)
{
    return endpoint.slots_here &&
           now - std::max(endpoint.rejected_at,
                          endpoint.slots_here->rejected_at) <
               rejection_evidence;
}

void endpoint_directory::close_idle_connections(time_point_t now)
{
    std::erase_if(m_departures,
                  [](const auto& each)
                  {
                      return each->in_flight == 0;
                  });
    drop_monitors(now);
    for (auto& [id, each] : m_by_id)
        std::erase_if(each->idle,
                      [&](const auto& link)
                      {
                          return now - link->idle_since >= max_idle_time(*link);
                      });
}

} // namespace rhubarbgrade
