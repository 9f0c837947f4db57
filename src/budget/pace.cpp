#include <rhubarbgrade/detail/budget/pace.hpp>

#include <algorithm> // max

namespace rhubarbgrade
{
namespace
{

/// Writes per second of the whole fleet, by purpose.
constexpr double bill_writes_per_s = 30;
constexpr double settle_writes_per_s = 60;
constexpr double ms_per_s = 1000;

milliseconds interval(std::size_t writers, double writes_per_s,
                      milliseconds minimum)
{
    const auto time = milliseconds(static_cast<long>(
        static_cast<double>(writers) / writes_per_s * ms_per_s));
    return std::max(time, minimum);
}

} // namespace

write_pace pace_of(std::size_t hosts, std::size_t shards, milliseconds minimum)
{
    return {interval(hosts, bill_writes_per_s, minimum),
            interval(hosts * shards, settle_writes_per_s, minimum)};
}

} // namespace rhubarbgrade
