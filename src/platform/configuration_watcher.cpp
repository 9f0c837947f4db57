#include "configuration_watcher.hpp"

#include <condition_variable> // condition_variable_any
#include <memory>             // make_unique
#include <mutex>              // mutex, unique_lock
#include <string>             // string

#include <rhubarbgrade/detail/config/manifest.hpp>     // manifest_name
#include <rhubarbgrade/detail/platform/object_api.hpp> // object_api

#include "../control/control_core.hpp" // control_core

namespace rhubarbgrade
{
namespace
{

constexpr milliseconds call_timeout{1000};

/// Maximum duration of one watch, after which an unresponsive connection is
/// detected.
constexpr milliseconds watch_timeout{2000};

/// Pause after a failure, and between checks whether this host watches.
constexpr milliseconds retry_delay{200};

} // namespace

configuration_watcher::configuration_watcher(const settings& config,
                                             control_loop control)
    : m_settings(config),
      m_control(control),
      m_api(std::make_unique<object_api>(config.platform, call_timeout)),
      m_thread(
          [this](const std::stop_token& stop)
          {
              run(stop);
          })
{
}

configuration_watcher::~configuration_watcher() = default;

void configuration_watcher::run(const std::stop_token& stop)
{
    while (!stop.stop_requested())
    {
        const bool watches = m_control.run(
            [](control_core& core)
            {
                return core.watches();
            });
        if (!watches || !fetch())
            sleep_for(stop, retry_delay);
    }
}

bool configuration_watcher::fetch()
{
    const auto object = m_api->watch(manifest_name, m_version, watch_timeout);
    if (!object)
        return object.error().code == errc::absent;
    const auto missing = m_control.run(
        [&](control_core& core)
        {
            return core.offer_manifest(object->value);
        });
    for (const auto& digest : missing)
    {
        const auto part = m_api->read(part_name(digest));
        if (!part)
            return false;
        m_control.run(
            [&](control_core& core)
            {
                core.offer_part(digest, part->value);
            });
    }
    m_version = object->version;
    return true;
}

void configuration_watcher::sleep_for(const std::stop_token& stop,
                                      milliseconds time)
{
    std::mutex mutex;
    std::condition_variable_any sleep_condition;
    std::unique_lock lock(mutex);
    sleep_condition.wait_for(lock, stop, time,
                             []
                             {
                                 return false;
                             });
}

} // namespace rhubarbgrade
