#include "connection_queue.hpp"

#include <functional> // function
#include <mutex>      // lock_guard, unique_lock
#include <utility>    // move

namespace rhubarbgrade
{
namespace
{

constexpr std::size_t spare_threads = 2;

thread_local bool refuses = false;

} // namespace

connection_queue::connection_queue(std::size_t bound) : m_bound(bound)
{
    for (std::size_t count = 0; count < spare_threads; ++count)
        m_threads.emplace_back(
            [this]
            {
                shed();
            });
}

connection_queue::~connection_queue() = default;

bool connection_queue::shedding()
{
    return refuses;
}

void connection_queue::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    const bool room = m_threads.size() < m_bound + spare_threads;
    if (m_tasks.size() >= m_idle && !room)
    {
        m_spare_tasks.push_back(std::move(task));
        m_spare_work.notify_one();
        return;
    }
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idle && room)
        m_threads.emplace_back(
            [this]
            {
                serve();
            });
    m_work.notify_one();
}

void connection_queue::serve()
{
    std::unique_lock lock(m_mutex);
    for (;;)
    {
        m_idle++;
        m_work.wait(lock,
                    [this]
                    {
                        return m_stop || !m_tasks.empty();
                    });
        m_idle--;
        if (m_tasks.empty())
            return;
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

void connection_queue::shed()
{
    refuses = true;
    std::unique_lock lock(m_mutex);
    for (;;)
    {
        m_spare_work.wait(lock,
                          [this]
                          {
                              return m_stop || !m_spare_tasks.empty();
                          });
        if (m_spare_tasks.empty())
            return;
        const auto task = std::move(m_spare_tasks.front());
        m_spare_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

void connection_queue::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
        m_work.notify_all();
        m_spare_work.notify_all();
    }
    for (auto& thread : m_threads)
        thread.join();
}

} // namespace rhubarbgrade
