#include <rhubarbgrade/detail/escrow/token_charge.hpp>

#include <limits> // numeric_limits

namespace rhubarbgrade
{

token_count_t most_tokens(const token_limits& limits)
{
    constexpr auto highest = std::numeric_limits<token_count_t>::max();
    return limits.answer > highest - limits.prompt
               ? highest
               : limits.prompt + limits.answer;
}

token_count_t tokens_charged(const token_limits& limits,
                             const token_usage& usage)
{
    if (!usage.run)
        return 0;
    // The product may exceed the range of numbers.
    const bool reaches_limit =
        limits.tokens_per_event != 0 &&
        usage.events > limits.answer / limits.tokens_per_event;
    if (usage.uncounted || reaches_limit)
        return most_tokens(limits);
    return limits.prompt + usage.events * limits.tokens_per_event;
}

} // namespace rhubarbgrade
