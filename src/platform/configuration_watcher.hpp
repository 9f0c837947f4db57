#pragma once

#include <memory>     // unique_ptr
#include <stop_token> // stop_token
#include <string>     // string
#include <thread>     // jthread

#include <rhubarbgrade/detail/config/settings.hpp> // settings

#include "../control/control_loop.hpp" // control_loop

namespace rhubarbgrade
{

class object_api;

/// @brief Watches the platform for new configurations on a thread of its own.
///
/// Only a few hosts of each zone watch; the others fetch the configuration
/// from them.
class configuration_watcher
{
public:
    configuration_watcher(const settings& config, control_loop control);
    ~configuration_watcher();

private:
    void run(const std::stop_token& stop);
    bool fetch();
    void sleep_for(const std::stop_token& stop, milliseconds time);

    settings m_settings;
    control_loop m_control;
    std::unique_ptr<object_api> m_api;
    std::uint64_t m_version = 0;
    std::jthread m_thread;
};

} // namespace rhubarbgrade
