#pragma once

#include <atomic> // atomic

namespace rhubarbgrade
{

/// @brief RAII guard that counts a request as in flight during its lifetime.
class in_flight_guard
{
public:
    explicit in_flight_guard(std::atomic<int>& count) : m_count(count)
    {
        m_count++;
    }

    ~in_flight_guard()
    {
        m_count--;
    }

    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    std::atomic<int>& m_count;
};

} // namespace rhubarbgrade
