#pragma once

#include <cstdint> // uint64_t

#include <rhubarbgrade/detail/base/types.hpp> // token_count_t

namespace rhubarbgrade
{

/// @brief What a request may use, as it was reserved.
struct token_limits
{
    token_count_t prompt = 0;
    token_count_t answer = 0;           ///< at most
    token_count_t tokens_per_event = 0; ///< of an event stream
};

/// @brief What the endpoints have done for a request.
struct token_usage
{
    bool run = false;         ///< an endpoint may have read the prompt
    std::uint64_t events = 0; ///< of an event stream, delivered
    /// Bytes of a successful answer may have been delivered whose tokens this
    /// host can't count: not as events, or not as those of a stream.
    bool uncounted = false;
};

/// @brief The tokens that a request may use at most; the highest number if
///        the sum exceeds it.
token_count_t most_tokens(const token_limits& limits);

/// @brief The tokens that a request is charged once it has ended.
///
/// Never less than what was delivered: output that can't be counted is charged
/// as the limit that was reserved for it. Failures of an endpoint deliver no
/// output, whatever it has generated.
token_count_t tokens_charged(const token_limits& limits,
                             const token_usage& usage);

} // namespace rhubarbgrade
