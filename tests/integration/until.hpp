#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace harness
{

/// Waits until a condition holds; false once the deadline has passed.
template <typename Condition>
bool until(Condition holds, int deadline_ms = 20000)
{
    constexpr std::chrono::milliseconds look_again{10};
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(deadline_ms);
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    while (!holds())
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        never.wait_for(lock, look_again);
    }
    return true;
}

} // namespace harness
