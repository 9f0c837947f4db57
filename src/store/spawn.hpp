#pragma once

#include <exception>   // exception, exception_ptr, rethrow_exception
#include <string_view> // string_view

#include <boost/asio/awaitable.hpp> // awaitable
#include <boost/asio/co_spawn.hpp>  // co_spawn

#include <spdlog/spdlog.h> // critical

namespace rhubarbgrade
{

/// @brief Starts a detached coroutine and logs an exception that terminates it.
/// @param[in] task_name  for the log; must refer to a string literal
template <typename Executor>
void spawn(Executor&& executor, boost::asio::awaitable<void> task,
           std::string_view task_name)
{
    boost::asio::co_spawn(executor, std::move(task),
                          [task_name](const std::exception_ptr& fault)
                          {
                              if (!fault)
                                  return;
                              try
                              {
                                  std::rethrow_exception(fault);
                              }
                              catch (const std::exception& cause)
                              {
                                  spdlog::critical(
                                      "task \"{}\" ended by an exception: {}",
                                      task_name, cause.what());
                              }
                          });
}

} // namespace rhubarbgrade
