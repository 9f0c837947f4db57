#include "connection_queue.hpp"

#include <functional> // function
#include <mutex>      // lock_guard, unique_lock
#include <utility>    // move

namespace rhubarbgrade
{
namespace
{

constexpr std::size_t shedding_threads = 2;

thread_local bool is_shedding_thread = false;

} // namespace

connection_queue::connection_queue(std::size_t max_connections)
    : m_max_connections(max_connections)
{
    for (std::size_t count = 0; count < shedding_threads; ++count)
        m_threads.emplace_back(
            [this]
            {
                shed();
            });
}

connection_queue::~connection_queue() = default;

bool connection_queue::shedding()
{
    return is_shedding_thread;
}

void connection_queue::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    const bool below_limit =
        m_threads.size() < m_max_connections + shedding_threads;
    if (m_tasks.size() >= m_idle_threads && !below_limit)
    {
        m_shed_tasks.push_back(std::move(task));
        m_shed_condition.notify_one();
        return;
    }
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idle_threads && below_limit)
        m_threads.emplace_back(
            [this]
            {
                serve();
            });
    m_task_condition.notify_one();
}

void connection_queue::serve()
{
    std::unique_lock lock(m_mutex);
    for (;;)
    {
        m_idle_threads++;
        m_task_condition.wait(lock,
                              [this]
                              {
                                  return m_stop || !m_tasks.empty();
                              });
        m_idle_threads--;
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
    is_shedding_thread = true;
    std::unique_lock lock(m_mutex);
    for (;;)
    {
        m_shed_condition.wait(lock,
                              [this]
                              {
                                  return m_stop || !m_shed_tasks.empty();
                              });
        if (m_shed_tasks.empty())
            return;
        const auto task = std::move(m_shed_tasks.front());
        m_shed_tasks.pop_front();
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
        m_task_condition.notify_all();
        m_shed_condition.notify_all();
    }
    for (auto& thread : m_threads)
        thread.join();
}

} // namespace rhubarbgrade
