#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace harness
{

/// Polls a condition until it holds. Returns false if the deadline passes
/// first.
template <typename Condition>
bool wait_until(Condition condition, int deadline_ms = 20000)
{
    constexpr std::chrono::milliseconds poll_interval{10};
    const auto deadline = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds(deadline_ms);
    std::mutex mutex;
    std::condition_variable never_notified;
    std::unique_lock lock(mutex);
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        never_notified.wait_for(lock, poll_interval);
    }
    return true;
}

} // namespace harness
