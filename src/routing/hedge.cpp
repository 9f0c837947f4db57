#include <rhubarbgrade/detail/routing/hedge.hpp>

#include <algorithm> // clamp, min, nth_element
#include <cmath>     // ceil

namespace rhubarbgrade
{

namespace
{

/// Latencies from which a quantile is taken.
constexpr std::size_t min_latencies = 16;

/// Share of the requests that are answered before a hedge is considered.
constexpr double usual_share = 0.95;

/// Shortest delay: below it, a second attempt gains less than a round trip.
constexpr milliseconds min_delay{10};

/// Hedges that are kept for later.
constexpr double max_allowance = 4;

/// Limit of attempts for one request, as for retries.
constexpr int max_sends = 4;

/// Minimum time left for a second attempt: a round trip and an answer.
constexpr milliseconds min_time_left{40};

/// Mean load of the endpoints' slots from which they count as busy.
constexpr double busy_load = 0.7;

} // namespace

void latency_window::add(milliseconds latency)
{
    m_latencies.at(m_next) = latency;
    m_next = (m_next + 1) % capacity;
    m_count = std::min(m_count + 1, capacity);
}

std::optional<milliseconds> latency_window::quantile(double share) const
{
    if (m_count < min_latencies)
        return std::nullopt;
    auto sorted = m_latencies;
    const auto rank = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(m_count)));
    const auto index = std::clamp<std::size_t>(rank, 1, m_count) - 1;
    const auto position = sorted.begin() + static_cast<long>(index);
    std::nth_element(sorted.begin(), position,
                     sorted.begin() + static_cast<long>(m_count));
    return *position;
}

void count_request(hedge_allowance& allowance, const hedge_limit& limit)
{
    allowance.hedges = std::min(max_allowance, allowance.hedges + limit.share);
}

void count_hedge(hedge_allowance& allowance)
{
    allowance.hedges -= 1;
}

std::optional<milliseconds> hedge_delay(const latency_window& latencies)
{
    const auto usual = latencies.quantile(usual_share);
    if (!usual)
        return std::nullopt;
    return std::max(min_delay, *usual);
}

bool may_hedge(const hedge_context& question)
{
    if (question.kind != call_kind::idempotent || question.answer_begun ||
        question.is_trial)
        return false;
    if (question.stopping || question.host_late)
        return false;
    if (question.sends >= question.max_runs || question.sends >= max_sends ||
        question.left < min_time_left)
        return false;
    return question.allowance.hedges >= 1 && question.waiting == 0 &&
           question.mean_load < busy_load;
}

} // namespace rhubarbgrade
