#pragma once

#include <exception>   // exception, exception_ptr, rethrow_exception
#include <string_view> // string_view

#include <boost/asio/awaitable.hpp> // awaitable
#include <boost/asio/co_spawn.hpp>  // co_spawn

#include <spdlog/spdlog.h> // critical

namespace rhubarbgrade
{

/// @brief Runs a task of its own; a fault that ends it is logged.
/// @param[in] step  what the task does, a literal
template <typename Executor>
void spawn(Executor&& executor, boost::asio::awaitable<void> task,
           std::string_view step)
{
    boost::asio::co_spawn(executor, std::move(task),
                          [step](const std::exception_ptr& fault)
                          {
                              if (!fault)
                                  return;
                              try
                              {
                                  std::rethrow_exception(fault);
                              }
                              catch (const std::exception& known)
                              {
                                  spdlog::critical("{} ended: {}", step,
                                                   known.what());
                              }
                          });
}

} // namespace rhubarbgrade
