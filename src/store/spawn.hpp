#pragma once

#include <algorithm>   // min
#include <chrono>      // milliseconds, seconds, steady_clock
#include <exception>   // exception, exception_ptr, rethrow_exception
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/awaitable.hpp>     // awaitable
#include <boost/asio/co_spawn.hpp>      // co_spawn
#include <boost/asio/steady_timer.hpp>  // steady_timer
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include <spdlog/spdlog.h> // critical

namespace rhubarbgrade
{

/// @brief What an exception says; empty if there is none.
inline std::string reason_of(const std::exception_ptr& fault)
{
    try
    {
        if (fault)
            std::rethrow_exception(fault);
        return {};
    }
    catch (const std::exception& cause)
    {
        return cause.what();
    }
    catch (...)
    {
        return "unknown";
    }
}

/// @brief Starts a detached coroutine and logs an exception that terminates it.
///
/// For tasks that end with what they belong to, such as a connection. One that
/// has to run as long as the process does is started by @ref spawn_service.
/// @param[in] task_name  for the log; must refer to a string literal
template <typename Executor>
void spawn(Executor&& executor, boost::asio::awaitable<void> task,
           std::string_view task_name)
{
    boost::asio::co_spawn(executor, std::move(task),
                          [task_name](const std::exception_ptr& fault)
                          {
                              if (fault)
                                  spdlog::critical(
                                      "task \"{}\" ended by an exception: {}",
                                      task_name, reason_of(fault));
                          });
}

/// @brief Runs a task, and again after each exception, until it returns.
/// @param[in] start_task  makes the coroutine anew
/// @param[in] task_name   for the log; must refer to a string literal
/// @param[in] first_pause before the task is started again; doubles while it
///                        fails at once, up to 2 s
inline boost::asio::awaitable<void>
run_service(std::function<boost::asio::awaitable<void>()> start_task,
            std::string_view task_name, std::chrono::milliseconds first_pause)
{
    using steady_clock_t = std::chrono::steady_clock;
    constexpr std::chrono::milliseconds max_pause{2000};
    // A task that has run for this long has not failed at once.
    constexpr std::chrono::seconds sound_time{10};
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    auto pause = first_pause;
    for (;;)
    {
        const auto started = steady_clock_t::now();
        std::exception_ptr fault;
        try
        {
            co_await start_task();
            co_return;
        }
        catch (...)
        {
            fault = std::current_exception();
        }
        if (steady_clock_t::now() - started >= sound_time)
            pause = first_pause;
        spdlog::critical("event=task_restarted task=\"{}\" pause_ms={} "
                         "reason=\"{}\"",
                         task_name, pause.count(), reason_of(fault));
        timer.expires_after(pause);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        pause = std::min(2 * pause, max_pause);
    }
}

/// @brief Starts a task that has to run as long as the process does.
///
/// An exception ends only what the task was doing, not the process, whose
/// requests would be cut, and not the task for good, without which the host
/// would go on with an old state. It is logged, and the task starts again.
/// @param[in] start_task  makes the coroutine; called for each start
/// @param[in] task_name   for the log; must refer to a string literal
template <typename Executor>
void spawn_service(Executor&& executor,
                   std::function<boost::asio::awaitable<void>()> start_task,
                   std::string_view task_name)
{
    constexpr std::chrono::milliseconds first_pause{100};
    spawn(executor, run_service(std::move(start_task), task_name, first_pause),
          task_name);
}

} // namespace rhubarbgrade
