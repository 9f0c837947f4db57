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

/// A waiting request looks again after so long, since the slots of this
/// router change when hosts come and go.
constexpr milliseconds look_again{50};

/// Weight of the newest request in the mean time that one holds a slot.
constexpr double time_weight = 0.1;

/// From this share on, the new version also takes what the old one can't.
constexpr double trusted_share = 0.5;

std::uint32_t slots_of(const routing_snapshot& shot, const std::string& name)
{
    if (shot.shares == nullptr)
        return 0;
    const auto found = shot.shares->slots.find(name);
    return found == shot.shares->slots.end() ? 0 : found->second;
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
    const auto shot = m_snapshot();
    const auto split = shot->splits.find(service);
    if (split == shot->splits.end())
        return {};
    const auto& way = split->second;
    if (way.to.empty() || way.share <= 0)
        return way.from;
    const std::lock_guard lock(m_mutex);
    auto& credit = m_split_credit[way.move + "\n" + route];
    credit += way.share;
    if (credit < 1)
        return way.from;
    credit -= 1;
    return way.to;
}

result<slot_lease> endpoint_table::acquire(const slot_request& request)
{
    std::unique_lock lock(m_mutex);
    const auto& queue = m_queues[request.service];
    if (queue.empty())
    {
        auto lease = try_take(request);
        if (lease != nullptr)
            return std::move(*lease);
    }
    if (!any_left(request.service, request.excluded))
        return failure(errc::no_endpoint, "acquire", {}, request.service);
    if (too_busy(request, queue))
        return failure(errc::overloaded, "acquire", {}, request.service);
    return wait(lock, request);
}

result<slot_lease> endpoint_table::wait(std::unique_lock<std::mutex>& lock,
                                        const slot_request& request)
{
    auto& queue = m_queues[request.service];
    waiter self;
    const auto place = std::pair(-request.priority, m_arrivals++);
    queue.emplace(place, &self);
    std::unique_ptr<slot_lease> lease;
    while (lease == nullptr && steady_clock::now() < request.deadline)
    {
        const auto until =
            std::min(request.deadline, steady_clock::now() + look_again);
        self.woken.wait_until(lock, until);
        if (queue.begin()->second == &self)
            lease = try_take(request);
    }
    queue.erase(place);
    wake_first(request.service);
    if (lease == nullptr)
        return failure(errc::overloaded, "wait", {}, request.service);
    return std::move(*lease);
}

bool endpoint_table::any_left(const std::string& service,
                              const std::set<std::string>& excluded) const
{
    const auto shot = m_snapshot();
    for (const auto& [name, object] : shot->objects->endpoints)
    {
        const auto* const build = find(shot->objects->versions, object.version);
        if (build != nullptr && build->service == service &&
            !shot->leaving.contains(name) && !excluded.contains(name))
            return true;
    }
    return false;
}

bool endpoint_table::too_busy(const slot_request& request,
                              const queue_t& queue) const
{
    if (queue.size() >= m_queue_size)
        return true;
    const auto shot = m_snapshot();
    queue_state now;
    for (const auto& [place, other] : queue)
        now.waiting += place.first <= -request.priority ? 1 : 0;
    for (const auto& [name, object] : shot->objects->endpoints)
    {
        const auto slots = slots_of(*shot, name);
        if (object.version == request.version)
            now.slots += slots;
    }
    const auto known = m_service_ms.find(request.service);
    now.service_ms = known == m_service_ms.end() ? 0 : known->second;
    const auto left = std::chrono::duration_cast<milliseconds>(
        request.deadline - steady_clock::now());
    return refuse_early(now, left);
}

std::unique_ptr<slot_lease>
endpoint_table::try_take(const slot_request& request)
{
    const auto shot = m_snapshot();
    auto lease = take_from(*shot, request, request.version);
    const auto split = shot->splits.find(request.service);
    if (lease != nullptr || split == shot->splits.end())
        return lease;
    const auto& way = split->second;
    if (request.version != way.from)
        return take_from(*shot, request, way.from);
    if (!way.to.empty() && way.share > trusted_share)
        return take_from(*shot, request, way.to);
    return nullptr;
}

std::unique_ptr<slot_lease>
endpoint_table::take_from(const routing_snapshot& shot,
                          const slot_request& request,
                          const std::string& version)
{
    std::vector<candidate> candidates;
    std::vector<const endpoint*> objects;
    const auto now = steady_clock::now();
    for (const auto& [name, object] : shot.objects->endpoints)
    {
        if (object.version != version)
            continue;
        const auto& current = m_states[name];
        const auto slots = slots_of(shot, name);
        const bool open = usable(current.health, now) &&
                          !shot.leaving.contains(name) &&
                          !request.excluded.contains(name);
        candidates.push_back({object.zone, current.in_flight, slots,
                              current.reported, object.max_in_flight, open});
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
                             const std::string& service, time_point_t since)
{
    const std::chrono::duration<double, std::milli> held =
        steady_clock::now() - since;
    const std::lock_guard lock(m_mutex);
    m_states[endpoint].in_flight--;
    auto& mean = m_service_ms[service];
    mean += time_weight * (held.count() - mean);
    wake_first(service);
}

void endpoint_table::wake_first(const std::string& service)
{
    const auto& queue = m_queues[service];
    if (!queue.empty())
        queue.begin()->second->woken.notify_one();
}

void endpoint_table::note_result(const std::string& endpoint, bool good)
{
    const auto shot = m_snapshot();
    const auto* const object = find(shot->objects->endpoints, endpoint);
    if (object == nullptr)
        return;
    const std::lock_guard lock(m_mutex);
    const auto now = steady_clock::now();
    std::size_t all = 0;
    std::size_t ejected = 0;
    for (const auto& [name, other] : shot->objects->endpoints)
    {
        if (other.version != object->version)
            continue;
        all++;
        ejected += usable(m_states[name].health, now) ? 0 : 1;
    }
    note_end(m_states[endpoint].health, good, ejected, all, now);
}

void endpoint_table::put_reported(const std::string& endpoint,
                                  std::uint32_t running)
{
    const std::lock_guard lock(m_mutex);
    m_states[endpoint].reported = running;
}

std::map<std::string, endpoint_load> endpoint_table::loads() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, endpoint_load> known;
    for (const auto& [name, current] : m_states)
        known[name] = {current.in_flight, current.reported,
                       !usable(current.health, steady_clock::now())};
    return known;
}

std::size_t endpoint_table::waiting() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t all = 0;
    for (const auto& [service, queue] : m_queues)
        all += queue.size();
    return all;
}

} // namespace rhubarbgrade
