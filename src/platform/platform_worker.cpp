#include "platform_worker.hpp"

#include <chrono>     // steady_clock
#include <memory>     // shared_ptr
#include <mutex>      // unique_lock
#include <stop_token> // stop_token
#include <string>     // string
#include <utility>    // move

#include <nlohmann/json.hpp> // json
#include <spdlog/spdlog.h>   // logger

#include <rhubarbgrade/detail/membership/members.hpp> // listed_host

#include "../control/control_core.hpp" // control_core

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;
using std::chrono::steady_clock;

constexpr milliseconds call_timeout{1000};
constexpr milliseconds moves_interval{1000};
constexpr int max_shutdown_rounds = 20;

std::string move_end_name(const std::string& key)
{
    return "moves/" + key;
}

} // namespace

platform_worker::platform_worker(const settings& config, control_loop control,
                                 std::shared_ptr<spdlog::logger> log)
    : m_settings(config),
      m_control(control),
      m_log(std::move(log)),
      m_api(config.platform, call_timeout),
      m_budgets(m_settings, control, m_api, m_log),
      m_registrar(m_settings, control, m_api, m_budgets, m_log),
      m_thread(
          [this](const std::stop_token& stop)
          {
              run(stop);
          })
{
}

platform_worker::~platform_worker() = default;

void platform_worker::wake()
{
    const std::lock_guard lock(m_mutex);
    m_wake = true;
    m_wake_condition.notify_all();
}

void platform_worker::run(const std::stop_token& stop)
{
    while (!stop.stop_requested())
    {
        run_round();
        std::unique_lock lock(m_mutex);
        m_wake_condition.wait_for(lock, stop, m_settings.flush,
                                  [this]
                                  {
                                      return m_wake;
                                  });
        m_wake = false;
    }
}

void platform_worker::run_round()
{
    if (due(m_last_host_read, m_settings.host_poll))
        read_hosts();
    m_registrar.pair_own();
    m_registrar.close_others();
    m_registrar.exchange_ended();
    const bool reachable = m_budgets.run_round(false);
    m_control.run(
        [&](control_core& core)
        {
            core.grants().finish_round(reachable);
        });
    if (due(m_last_move_exchange, moves_interval))
        exchange_move_ends();
}

bool platform_worker::due(time_point_t& last_run, milliseconds interval)
{
    const auto now = steady_clock::now();
    if (now - last_run < interval)
        return false;
    last_run = now;
    return true;
}

void platform_worker::read_hosts()
{
    const bool is_watcher = m_control.run(
        [](control_core& core)
        {
            return core.watches();
        });
    if (!is_watcher)
        return;
    auto hosts = m_api.hosts();
    if (hosts)
        m_control.run(
            [&](control_core& core)
            {
                core.take_hosts(*hosts);
            });
}

void platform_worker::exchange_move_ends()
{
    std::vector<move_end> ends;
    std::vector<std::string> open_moves;
    m_control.run(
        [&](control_core& core)
        {
            ends = core.moves().ends();
            // The other hosts of the zone are informed by heartbeat.
            if (!core.watches())
                return;
            for (const auto& [name, plan] :
                 core.configuration().objects()->moves)
                open_moves.push_back(move_key(plan));
        });
    for (const auto& end : ends)
    {
        std::erase(open_moves, end.key);
        if (m_moves_written.contains(end.key))
            continue;
        const json value{{"taken_back", end.state == move_state::taken_back},
                         {"reason", end.reason}};
        const auto created = m_api.create(move_end_name(end.key), value.dump());
        if (created || created.error().code == errc::conflict)
            m_moves_written.insert(end.key);
    }
    std::vector<move_end> stored_ends;
    for (const auto& key : open_moves)
    {
        const auto object = m_api.read(move_end_name(key));
        if (!object)
            continue;
        const auto value = json::parse(object->value, nullptr, false);
        const bool reverted = value.value("taken_back", false);
        stored_ends.push_back(
            {key, reverted ? move_state::taken_back : move_state::done,
             value.value("reason", "")});
    }
    if (!stored_ends.empty())
        m_control.run(
            [&](control_core& core)
            {
                core.moves().merge_ends(stored_ends);
            });
}

void platform_worker::leave()
{
    m_thread.request_stop();
    wake();
    if (m_thread.joinable())
        m_thread.join();
    const auto id = m_control.run(
        [](control_core& core)
        {
            return core.owner().book().id;
        });
    m_control.run(
        [](control_core& core)
        {
            core.grants().return_all();
        });
    for (int attempt = 0; attempt < max_shutdown_rounds; ++attempt)
    {
        const bool reachable = m_budgets.run_round(true);
        if (!reachable || m_budgets.idle())
            break;
    }
    const bool empty = m_control.run(
        [](control_core& core)
        {
            const auto& book = core.owner().book();
            return book.bills.empty() && book.reservations.empty();
        });
    if (!id.host.empty() && empty && m_budgets.idle())
        m_registrar.end_own(id);
}

} // namespace rhubarbgrade
