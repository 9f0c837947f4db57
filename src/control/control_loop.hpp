#pragma once

#include <functional> // function
#include <memory>     // unique_ptr

#include <kj/async.h> // Executor

namespace rhubarbgrade
{

class control_core;

/// @brief Runs functions on the control thread for other threads.
class control_loop
{
public:
    control_loop(const kj::Executor& executor, control_core& core)
        : m_executor(executor), m_core(core)
    {
    }

    /// @brief Calls @a work with the control core and waits for its result;
    ///        a promise's result if it returns one.
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
