#pragma once

#include <functional> // function
#include <memory>     // unique_ptr

#include <kj/async.h> // Executor

namespace rhubarbgrade
{

class control_core;

/// @brief Runs functions on the control thread on behalf of other threads.
class control_loop
{
public:
    control_loop(const kj::Executor& executor, control_core& core)
        : m_executor(executor), m_core(core)
    {
    }

    /// @brief Calls @a work with the @ref control_core on the control thread;
    ///        blocks until it returns.
    /// @return the result of @a work; if that is a promise, the value that it
    ///         resolves to
    template <typename Work>
    auto run(Work work) const
    {
        return m_executor.executeSync(
            [this, &work]
            {
                return work(m_core);
            });
    }

private:
    const kj::Executor& m_executor;
    control_core& m_core;
};

} // namespace rhubarbgrade
