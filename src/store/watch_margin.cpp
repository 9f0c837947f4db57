#include "watch_margin.hpp"

#include <algorithm> // max, min

namespace rhubarbgrade
{

namespace
{

/// The peer of a dead connection is found out by keep-alive probes in about
/// 3 s, so a longer margin would gain nothing.
constexpr milliseconds max_watch_margin{2800};

} // namespace

milliseconds next_watch_margin(milliseconds margin, call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::answered:
        return std::max(min_watch_margin, margin / 2);
    case call_outcome::unknown:
        return std::min(max_watch_margin, 2 * margin);
    case call_outcome::not_sent:
        break;
    }
    return min_watch_margin;
}

} // namespace rhubarbgrade
