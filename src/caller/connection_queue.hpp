#pragma once

#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <deque>              // deque
#include <functional>         // function
#include <mutex>              // mutex
#include <thread>             // thread
#include <vector>             // vector

#include <httplib.h> // TaskQueue

namespace rhubarbgrade
{

/// @brief Serves each connection on a thread of its own, up to a bound.
///
/// Threads are made as needed and kept. A connection over the bound goes to
/// one of a few spare threads that are told, by @ref shedding, to refuse it.
class connection_queue : public httplib::TaskQueue
{
public:
    explicit connection_queue(std::size_t bound);
    ~connection_queue() override;

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// @brief Whether the calling thread serves a connection over the bound.
    static bool shedding();

private:
    void serve();
    void shed();

    std::size_t m_bound;
    std::mutex m_mutex;
    std::condition_variable m_work;
    std::condition_variable m_spare_work;
    std::deque<std::function<void()>> m_tasks;
    std::deque<std::function<void()>> m_spare_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stop = false;
};

} // namespace rhubarbgrade
