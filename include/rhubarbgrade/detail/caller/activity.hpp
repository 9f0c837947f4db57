#pragma once

#include <atomic> // atomic

namespace rhubarbgrade
{

/// @brief Counts a request as being served for as long as it lives.
class activity
{
public:
    explicit activity(std::atomic<int>& count) : m_count(count)
    {
        m_count++;
    }

    ~activity()
    {
        m_count--;
    }

    activity(const activity&) = delete;
    activity& operator=(const activity&) = delete;

private:
    std::atomic<int>& m_count;
};

} // namespace rhubarbgrade
