#pragma once

#include <chrono>             // milliseconds
#include <condition_variable> // condition_variable
#include <mutex>              // mutex

namespace standin
{

/// @brief Blocks the calling thread for a delay that a test has injected.
inline void delay(std::chrono::milliseconds duration)
{
    std::mutex mutex;
    std::condition_variable never_notified;
    std::unique_lock lock(mutex);
    never_notified.wait_for(lock, duration,
                            []
                            {
                                return false;
                            });
}

} // namespace standin
