#include <rhubarbgrade/detail/control/control_plane.hpp>

#include <atomic>    // atomic
#include <chrono>    // system_clock
#include <future>    // promise
#include <memory>    // atomic_load, make_shared, shared_ptr
#include <mutex>     // lock_guard, mutex
#include <stdexcept> // runtime_error
#include <string>    // string
#include <thread>    // thread
#include <utility>   // exchange, move

#include <capnp/rpc-twoparty.h> // TwoPartyServer
#include <kj/async-io.h>        // setupAsyncIo
#include <spdlog/spdlog.h>      // logger

#include <rhubarbgrade/detail/base/clock.hpp> // wall_milliseconds
#include <rhubarbgrade/detail/base/hash.hpp>  // random_hex

#include "../platform/configuration_watcher.hpp" // configuration_watcher
#include "../platform/platform_worker.hpp"       // platform_worker
#include "../router/router_server.hpp"           // router_server
#include "control_core.hpp"                      // control_core
#include "control_loop.hpp"                      // control_loop

namespace rhubarbgrade
{
class control_plane::implementation
{
public:
    implementation(const settings& options, std::shared_ptr<spdlog::logger> log)
        : m_settings(options),
          m_log(std::move(log)),
          m_snapshot(std::make_shared<const routing_snapshot>())
    {
        std::promise<const kj::Executor*> started;
        auto executor_future = started.get_future();
        m_thread = std::thread(
            [this, &started]
            {
                run(started);
            });
        try
        {
            const auto* const loop_executor = executor_future.get();
            m_control = std::make_unique<control_loop>(*loop_executor, *m_core);
        }
        catch (...)
        {
            m_thread.join();
            throw;
        }
        m_worker =
            std::make_unique<platform_worker>(m_settings, *m_control, m_log);
        m_worker_ready = true;
        m_watcher =
            std::make_unique<configuration_watcher>(m_settings, *m_control);
    }

    ~implementation()
    {
        m_watcher.reset();
        m_worker_ready = false;
        m_worker.reset();
        m_control->run(
            [this](control_core&)
            {
                m_stop->fulfill();
            });
        m_thread.join();
    }

    int rpc_port() const
    {
        return m_rpc_port;
    }

    const control_loop& control() const
    {
        return *m_control;
    }

    platform_worker& worker()
    {
        return *m_worker;
    }

    std::shared_ptr<const routing_snapshot> snapshot() const
    {
        return std::atomic_load(&m_snapshot);
    }

    void add_to_evidence(const move_sample& sample)
    {
        const std::lock_guard lock(m_samples_mutex);
        add_sample(m_samples[sample.move][sample.route], sample.new_version,
                   sample.good, sample.latency_s);
    }

private:
    void run(std::promise<const kj::Executor*>& started)
    {
        auto io = kj::setupAsyncIo();
        auto& network = io.provider->getNetwork();
        auto& timer = io.provider->getTimer();
        auto stop = kj::newPromiseAndFulfiller<void>();
        m_stop = kj::mv(stop.fulfiller);
        control_core core(
            m_settings, network, timer, m_log,
            {[this]
             {
                 wake_worker();
             },
             [this](std::shared_ptr<const routing_snapshot> published)
             {
                 std::atomic_store(&m_snapshot, std::move(published));
             }});
        m_core = &core;
        capnp::TwoPartyServer server(kj::heap<router_server>(core));
        kj::Own<kj::ConnectionReceiver> receiver;
        try
        {
            receiver = network.parseAddress(m_settings.rpc_listen.c_str())
                           .wait(io.waitScope)
                           ->listen();
        }
        catch (const kj::Exception& problem)
        {
            started.set_exception(std::make_exception_ptr(std::runtime_error(
                "rpc_listen: " +
                std::string(problem.getDescription().cStr()))));
            return;
        }
        m_rpc_port = static_cast<int>(receiver->getPort());
        auto serving =
            server.listen(*receiver).eagerlyEvaluate([](kj::Exception&&) {});
        auto ticking = tick_periodically(core, timer).eagerlyEvaluate(nullptr);
        started.set_value(&kj::getCurrentThreadExecutor());
        stop.promise.wait(io.waitScope);
    }

    kj::Promise<void> tick_periodically(control_core& core, kj::Timer& timer)
    {
        flush_samples(core);
        core.tick();
        return timer.afterDelay(m_settings.heartbeat.count() * kj::MILLISECONDS)
            .then(
                [this, &core, &timer]
                {
                    return tick_periodically(core, timer);
                });
    }

    void flush_samples(control_core& core)
    {
        evidence_table_t samples;
        {
            const std::lock_guard lock(m_samples_mutex);
            samples = std::exchange(m_samples, {});
        }
        core.moves().add(samples);
    }

    void wake_worker()
    {
        if (m_worker_ready)
            m_worker->wake();
    }

    settings m_settings;
    std::shared_ptr<spdlog::logger> m_log;
    std::shared_ptr<const routing_snapshot> m_snapshot;
    int m_rpc_port = 0;
    control_core* m_core = nullptr; ///< on the control thread's stack
    std::unique_ptr<control_loop> m_control;
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    std::thread m_thread;
    std::unique_ptr<platform_worker> m_worker;
    std::atomic<bool> m_worker_ready{false};
    std::unique_ptr<configuration_watcher> m_watcher;
    std::mutex m_samples_mutex;
    evidence_table_t m_samples; ///< since the last tick
};

control_plane::control_plane(const settings& options,
                             std::shared_ptr<spdlog::logger> log)
    : m_implementation(
          std::make_unique<implementation>(options, std::move(log)))
{
}

control_plane::~control_plane() = default;

int control_plane::rpc_port() const
{
    return m_implementation->rpc_port();
}

std::shared_ptr<const routing_snapshot> control_plane::snapshot() const
{
    return m_implementation->snapshot();
}

result<void> control_plane::reserve_tokens(const std::string& request,
                                           const std::string& customer,
                                           token_count_t tokens)
{
    return m_implementation->control().run(
        [&](control_core& core)
        {
            return core.grants().reserve_tokens(request, customer, tokens);
        });
}

result<void> control_plane::assign_endpoint(const std::string& request,
                                            const std::string& endpoint)
{
    return m_implementation->control().run(
        [&](control_core& core)
        {
            return core.assign_endpoint(request, endpoint);
        });
}

result<void> control_plane::settle_request(const std::string& request,
                                           token_count_t tokens)
{
    return m_implementation->control().run(
        [&](control_core& core)
        {
            return core.settle_request(request, tokens);
        });
}

void control_plane::release_request(const std::string& request)
{
    m_implementation->control().run(
        [&](control_core& core)
        {
            core.release_request(request);
        });
}

std::string control_plane::find_request(const std::string& request)
{
    return m_implementation->control().run(
        [&](control_core& core)
        {
            return core.find_request(request);
        });
}

std::string control_plane::issue_key()
{
    const auto owner = m_implementation->control().run(
        [](control_core& core)
        {
            return core.owner().book().id;
        });
    if (owner.host.empty())
        return {};
    return "rg1." + to_string(owner) + "." +
           std::to_string(wall_milliseconds()) + "." + random_hex();
}

claim_answer control_plane::claim(const claim_call& call)
{
    return m_implementation->control().run(
        [&](control_core& core)
        {
            return core.claim(call);
        });
}

void control_plane::answer(const ledger_id& owner, const answer_key& step)
{
    m_implementation->control().run(
        [&](control_core& core)
        {
            return core.answer(owner, step);
        });
}

void control_plane::drop_claim(const ledger_id& owner, const std::string& key)
{
    m_implementation->control().run(
        [&](control_core& core)
        {
            return core.drop_claim(owner, key);
        });
}

void control_plane::note(const move_sample& sample)
{
    m_implementation->add_to_evidence(sample);
}

void control_plane::quarantine_request(const std::string& fingerprint)
{
    m_implementation->control().run(
        [&](control_core& core)
        {
            return core.quarantine_request(fingerprint);
        });
}

void control_plane::publish_leaving_endpoints(leaving_set_t leaving)
{
    m_implementation->control().run(
        [&](control_core& core)
        {
            core.publish_leaving_endpoints(std::move(leaving));
        });
}

std::vector<in_doubt_request> control_plane::in_doubt_requests()
{
    return m_implementation->control().run(
        [](control_core& core)
        {
            return core.in_doubt_requests();
        });
}

void control_plane::resolve(const in_doubt_request& request, bool ran,
                            token_count_t used)
{
    m_implementation->control().run(
        [&](control_core& core)
        {
            core.resolve(request, ran, used);
        });
}

void control_plane::begin_leaving()
{
    m_implementation->control().run(
        [](control_core& core)
        {
            core.set_leaving(true);
        });
}

void control_plane::leave()
{
    m_implementation->worker().leave();
}

std::string control_plane::status_text()
{
    return m_implementation->control().run(
        [](control_core& core)
        {
            return core.status_text();
        });
}

} // namespace rhubarbgrade
