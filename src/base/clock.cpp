#include <rhubarbgrade/detail/base/clock.hpp>

#include <chrono>  // duration_cast, milliseconds, system_clock
#include <cstdint> // uint64_t

namespace rhubarbgrade
{

std::uint64_t wall_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace rhubarbgrade
