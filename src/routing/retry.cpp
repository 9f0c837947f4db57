#include <rhubarbgrade/detail/routing/retry.hpp>

#include <algorithm> // min

namespace rhubarbgrade
{
namespace
{

constexpr double retries_per_request = 0.1;
constexpr double max_tokens = 10;
constexpr int max_attempts = 3;

} // namespace

void count_request(retry_budget& budget)
{
    budget.tokens = std::min(max_tokens, budget.tokens + retries_per_request);
}

bool may_retry(retry_budget& budget, attempt_outcome end, bool idempotent,
               int attempts, time_point_t now, time_point_t deadline)
{
    const bool not_run =
        end == attempt_outcome::not_sent || end == attempt_outcome::refused;
    if (!not_run && !idempotent)
        return false;
    if (attempts >= max_attempts || now >= deadline || budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

} // namespace rhubarbgrade
