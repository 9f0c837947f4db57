#pragma once

#include <chrono>             // milliseconds
#include <condition_variable> // condition_variable
#include <mutex>              // mutex

namespace standin
{

/// @brief A delay that a test has asked a stand-in for.
inline void delay(std::chrono::milliseconds length)
{
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    never.wait_for(lock, length,
                   []
                   {
                       return false;
                   });
}

} // namespace standin
