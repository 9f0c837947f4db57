#include <rhubarbgrade/detail/endpoint/endpoint_table.hpp>

#include <algorithm>          // count_if, min
#include <chrono>             // duration, steady_clock
#include <condition_variable> // condition_variable
#include <memory>             // make_unique, unique_ptr
#include <mutex>              // lock_guard, unique_lock
#include <string>             // string
#include <utility>            // move, pair
#include <vector>             // vector

#include <rhubarbgrade/detail/routing/estimate.hpp> // refuse_early

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;

/// Interval at which a waiting request retries without a notification: the
/// slots assigned to this router change when hosts join or leave.
constexpr milliseconds recheck_interval{50};

/// Weight of the newest sample in the moving average of the service time.
constexpr double service_time_weight = 0.1;

/// Above this share, the new version also serves requests for which the old
/// version has no free slot.
constexpr double overflow_min_share = 0.5;

std::uint32_t slots_of(const routing_snapshot& routing, const std::string& name)
{
    if (routing.shares == nullptr)
        return 0;
    const auto found = routing.shares->slots.find(name);
    return found == routing.shares->slots.end() ? 0 : found->second;
}

} // namespace

struct endpoint_table::state
{
    std::uint32_t in_flight = 0;
    std::uint32_t reported = 0;
    endpoint_health health;
};

struct endpoint_table::waiter
{
    std::condition_variable woken;
};

endpoint_table::endpoint_table(std::string zone, std::size_t queue_size,
                               snapshot_source_t snapshot,
                               random_source_t random)
    : m_zone(std::move(zone)),
      m_queue_size(queue_size),
      m_snapshot(std::move(snapshot)),
      m_random(std::move(random))
{
}

endpoint_table::~endpoint_table() = default;

std::string endpoint_table::pick_version(const std::string& service,
                                         const std::string& route)
{
    const auto routing = m_snapshot();
    const auto split = routing->splits.find(service);
    if (split == routing->splits.end())
        return {};
    const auto& current_split = split->second;
    if (current_split.to.empty() || current_split.share <= 0)
        return current_split.from;
    const std::lock_guard lock(m_mutex);
    auto& credit = m_split_credit[current_split.move + "\n" + route];
    credit += current_split.share;
    if (credit < 1)
        return current_split.from;
    credit -= 1;
    return current_split.to;
}

result<slot_lease> endpoint_table::acquire(const slot_request& request)
{
    std::unique_lock lock(m_mutex);
    const auto& queue = m_queues[request.service];
    if (queue.empty())
    {
        auto lease = try_acquire(request);
        if (lease != nullptr)
            return std::move(*lease);
    }
    if (!has_candidate(request.service, request.excluded))
        return failure(errc::no_endpoint, "acquire", {}, request.service);
    if (should_reject(request, queue))
        return failure(errc::overloaded, "acquire", {}, request.service);
    return wait(lock, request);
}

result<slot_lease> endpoint_table::wait(std::unique_lock<std::mutex>& lock,
                                        const slot_request& request)
{
    auto& queue = m_queues[request.service];
    waiter self;
    const auto queue_position = std::pair(-request.priority, m_arrivals++);
    queue.emplace(queue_position, &self);
    std::unique_ptr<slot_lease> lease;
    while (lease == nullptr && steady_clock::now() < request.deadline)
    {
        const auto until =
            std::min(request.deadline, steady_clock::now() + recheck_interval);
        self.woken.wait_until(lock, until);
        if (queue.begin()->second == &self)
            lease = try_acquire(request);
    }
    queue.erase(queue_position);
    wake_first(request.service);
    if (lease == nullptr)
        return failure(errc::overloaded, "wait", {}, request.service);
    return std::move(*lease);
}

bool endpoint_table::has_candidate(const std::string& service,
                                   const std::set<std::string>& excluded) const
{
    const auto routing = m_snapshot();
    for (const auto& [name, object] : routing->objects->endpoints)
    {
        const auto* const version_object =
            find(routing->objects->versions, object.version);
        if (version_object != nullptr && version_object->service == service &&
            !routing->leaving.contains(name) && !excluded.contains(name))
            return true;
    }
    return false;
}

bool endpoint_table::should_reject(const slot_request& request,
                                   const queue_t& queue) const
{
    if (queue.size() >= m_queue_size)
        return true;
    const auto routing = m_snapshot();
    queue_state load;
    for (const auto& [queue_position, other] : queue)
        load.waiting += queue_position.first <= -request.priority ? 1 : 0;
    for (const auto& [name, object] : routing->objects->endpoints)
    {
        const auto slots = slots_of(*routing, name);
        if (object.version == request.version)
            load.slots += slots;
    }
    const auto mean_time = m_service_ms.find(request.service);
    load.service_ms = mean_time == m_service_ms.end() ? 0 : mean_time->second;
    const auto remaining = std::chrono::duration_cast<milliseconds>(
        request.deadline - steady_clock::now());
    return refuse_early(load, remaining);
}

std::unique_ptr<slot_lease>
endpoint_table::try_acquire(const slot_request& request)
{
    const auto routing = m_snapshot();
    auto lease = try_acquire_version(*routing, request, request.version);
    const auto split = routing->splits.find(request.service);
    if (lease != nullptr || split == routing->splits.end())
        return lease;
    const auto& current_split = split->second;
    if (request.version != current_split.from)
        return try_acquire_version(*routing, request, current_split.from);
    if (!current_split.to.empty() && current_split.share > overflow_min_share)
        return try_acquire_version(*routing, request, current_split.to);
    return nullptr;
}

std::unique_ptr<slot_lease>
endpoint_table::try_acquire_version(const routing_snapshot& routing,
                                    const slot_request& request,
                                    const std::string& version)
{
    std::vector<candidate> candidates;
    std::vector<const endpoint*> objects;
    const auto now = steady_clock::now();
    for (const auto& [name, object] : routing.objects->endpoints)
    {
        if (object.version != version)
            continue;
        const auto& current = m_states[name];
        const auto slots = slots_of(routing, name);
        const bool available = usable(current.health, now) &&
                               !routing.leaving.contains(name) &&
                               !request.excluded.contains(name);
        candidates.push_back({object.zone, current.in_flight, slots,
                              current.reported, object.max_in_flight,
                              available});
        objects.push_back(&object);
    }
    const auto chosen = choose(candidates, m_zone, m_random);
    if (!chosen)
        return nullptr;
    const auto& object = *objects[*chosen];
    m_states[object.name].in_flight++;
    return std::make_unique<slot_lease>(*this, object.name, object.address,
                                        version, request.service);
}

void endpoint_table::release(const std::string& endpoint,
                             const std::string& service,
                             time_point_t acquired_at)
{
    const std::chrono::duration<double, std::milli> slot_time =
        steady_clock::now() - acquired_at;
    const std::lock_guard lock(m_mutex);
    m_states[endpoint].in_flight--;
    auto& mean_ms = m_service_ms[service];
    mean_ms += service_time_weight * (slot_time.count() - mean_ms);
    wake_first(service);
}

void endpoint_table::wake_first(const std::string& service)
{
    const auto& queue = m_queues[service];
    if (!queue.empty())
        queue.begin()->second->woken.notify_one();
}

void endpoint_table::record_result(const std::string& endpoint, bool success)
{
    const auto routing = m_snapshot();
    const auto* const object = find(routing->objects->endpoints, endpoint);
    if (object == nullptr)
        return;
    const std::lock_guard lock(m_mutex);
    const auto now = steady_clock::now();
    std::size_t total = 0;
    std::size_t ejected = 0;
    for (const auto& [name, other] : routing->objects->endpoints)
    {
        if (other.version != object->version)
            continue;
        total++;
        ejected += usable(m_states[name].health, now) ? 0 : 1;
    }
    record_outcome(m_states[endpoint].health, success, ejected, total, now);
}

void endpoint_table::set_reported_load(const std::string& endpoint,
                                       std::uint32_t running)
{
    const std::lock_guard lock(m_mutex);
    m_states[endpoint].reported = running;
}

std::map<std::string, endpoint_load> endpoint_table::loads() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, endpoint_load> by_endpoint;
    for (const auto& [name, current] : m_states)
        by_endpoint[name] = {current.in_flight, current.reported,
                             !usable(current.health, steady_clock::now())};
    return by_endpoint;
}

std::size_t endpoint_table::waiting() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t total = 0;
    for (const auto& [service, queue] : m_queues)
        total += queue.size();
    return total;
}

} // namespace rhubarbgrade
