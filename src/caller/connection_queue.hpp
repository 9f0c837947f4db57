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

/// @brief Serves each connection on a thread of its own, up to a limit.
///
/// Threads are created on demand and kept. A connection above the limit is
/// served by one of a few extra threads, on which @ref shedding returns true,
/// so that the request handler refuses its requests.
class connection_queue : public httplib::TaskQueue
{
public:
    explicit connection_queue(std::size_t max_connections);
    ~connection_queue() override;

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// @brief Whether the calling thread serves a connection above the limit.
    static bool shedding();

private:
    void serve();
    void shed();

    std::size_t m_max_connections;
    std::mutex m_mutex;
    std::condition_variable m_task_condition;
    std::condition_variable m_shed_condition;
    std::deque<std::function<void()>> m_tasks;
    std::deque<std::function<void()>> m_shed_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle_threads = 0;
    bool m_stop = false;
};

} // namespace rhubarbgrade
