#include <rhubarbgrade/detail/control/router.hpp>

#include <chrono>             // milliseconds
#include <condition_variable> // condition_variable
#include <memory>             // make_unique
#include <mutex>              // mutex, unique_lock
#include <random>             // mt19937_64, random_device
#include <string>             // string
#include <utility>            // move

#include <spdlog/spdlog.h> // logger

#include <rhubarbgrade/detail/caller/caller_server.hpp>     // caller_server
#include <rhubarbgrade/detail/control/control_plane.hpp>    // control_plane
#include <rhubarbgrade/detail/endpoint/endpoint_prober.hpp> // endpoint_prober
#include <rhubarbgrade/detail/endpoint/endpoint_table.hpp>  // endpoint_table
#include <rhubarbgrade/detail/operators/admin_server.hpp>   // admin_server
#include <rhubarbgrade/detail/telemetry/metrics.hpp>        // metrics
#include <rhubarbgrade/detail/telemetry/objective_log.hpp>  // objective_log

namespace rhubarbgrade
{
namespace
{

constexpr milliseconds probe_interval{500};

} // namespace

class router::implementation
{
public:
    implementation(const settings& options, std::shared_ptr<spdlog::logger> log)
        : m_log(std::move(log)),
          m_random(std::random_device()()),
          m_control(options, m_log),
          m_endpoints(
              options.zone, options.queue_size,
              [this]
              {
                  return m_control.snapshot();
              },
              [this]
              {
                  return m_random();
              }),
          m_callers(options, m_control, m_endpoints, m_metrics, m_objectives,
                    m_log),
          m_admin(options.admin_listen, {[this]
                                         {
                                             return metrics_text();
                                         },
                                         [this]
                                         {
                                             return m_control.snapshot()->ready;
                                         },
                                         [this]
                                         {
                                             return m_control.status_text();
                                         },
                                         [this]
                                         {
                                             return m_objectives.text();
                                         }}),
          m_prober(options.host, options.zone, probe_interval, m_control,
                   m_endpoints)
    {
    }

    int port() const
    {
        return m_callers.port();
    }

    int rpc_port() const
    {
        return m_control.rpc_port();
    }

    int admin_port() const
    {
        return m_admin.port();
    }

    void leave(milliseconds notice)
    {
        m_log->info("event=leaving in_flight={}", m_callers.in_flight());
        m_control.begin_leaving();
        std::mutex mutex;
        std::condition_variable unused_condition;
        std::unique_lock lock(mutex);
        unused_condition.wait_for(lock, notice,
                                  []
                                  {
                                      return false;
                                  });
        m_callers.drain();
        m_control.leave();
        m_log->info("event=left");
    }

private:
    std::string metrics_text()
    {
        for (const auto& [name, load] : m_endpoints.loads())
        {
            const auto labels = "endpoint=\"" + name + "\"";
            m_metrics.set("rhubarbgrade_in_flight", labels, load.in_flight);
            m_metrics.set("rhubarbgrade_ejected", labels, load.ejected ? 1 : 0);
        }
        m_metrics.set("rhubarbgrade_waiting", "",
                      static_cast<double>(m_endpoints.waiting()));
        m_metrics.set("rhubarbgrade_generation", "",
                      static_cast<double>(m_control.snapshot()->generation));
        return m_metrics.text();
    }

    std::shared_ptr<spdlog::logger> m_log;
    std::mt19937_64 m_random;
    metrics m_metrics;
    objective_log m_objectives;
    control_plane m_control;
    endpoint_table m_endpoints;
    caller_server m_callers;
    admin_server m_admin;
    endpoint_prober m_prober;
};

router::router(const settings& options, std::shared_ptr<spdlog::logger> log)
    : m_implementation(
          std::make_unique<implementation>(options, std::move(log)))
{
}

router::~router() = default;

int router::port() const
{
    return m_implementation->port();
}

int router::rpc_port() const
{
    return m_implementation->rpc_port();
}

int router::admin_port() const
{
    return m_implementation->admin_port();
}

void router::leave(milliseconds notice)
{
    m_implementation->leave(notice);
}

} // namespace rhubarbgrade
