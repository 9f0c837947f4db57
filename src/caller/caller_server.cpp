#include <rhubarbgrade/detail/caller/caller_server.hpp>

#include <sys/socket.h> // listen, setsockopt

#include <atomic>             // atomic
#include <chrono>             // milliseconds
#include <condition_variable> // condition_variable
#include <memory>             // make_shared, make_unique
#include <mutex>              // mutex, unique_lock
#include <stdexcept>          // runtime_error
#include <string>             // string
#include <thread>             // thread
#include <utility>            // move

#include <httplib.h>         // Server
#include <nlohmann/json.hpp> // json
#include <spdlog/spdlog.h>   // logger

#include <rhubarbgrade/detail/base/address.hpp>            // split_address
#include <rhubarbgrade/detail/caller/model_job.hpp>        // parse_model_job
#include <rhubarbgrade/detail/caller/plain_call.hpp>       // serve_plain
#include <rhubarbgrade/detail/caller/problem.hpp>          // write_problem
#include <rhubarbgrade/detail/caller/traffic.hpp>          // serving_context
#include <rhubarbgrade/detail/control/control_plane.hpp>   // control_plane
#include <rhubarbgrade/detail/platform/claim_registry.hpp> // claim_registry

#include "connection_queue.hpp" // connection_queue
#include "model_call.hpp"       // model_call

namespace rhubarbgrade
{
namespace
{

using httplib::Request;
using httplib::Response;

constexpr milliseconds claim_timeout{1000};
constexpr milliseconds request_read_timeout{5000};
constexpr milliseconds drain_poll_interval{10};
constexpr int keep_alive_s = 5;
constexpr int listen_backlog = 1024;
constexpr std::size_t requests_per_connection = 1000000;

/// Checks that the end of the request is unambiguous, to prevent request
/// smuggling: Content-Length must not be repeated or combined with
/// Transfer-Encoding, and Host must not be repeated.
bool has_valid_framing(const Request& request)
{
    const auto lengths = request.get_header_value_count("Content-Length");
    const bool chunked = request.has_header("Transfer-Encoding");
    return lengths <= 1 && !(lengths == 1 && chunked) &&
           request.get_header_value_count("Host") <= 1;
}

} // namespace

class caller_server::implementation
{
public:
    implementation(const settings& config, control_plane& control,
                   endpoint_table& endpoints, metrics& metric_registry,
                   objective_log& objectives,
                   std::shared_ptr<spdlog::logger> log)
        : m_settings(config),
          m_control(control),
          m_claims(config.platform, claim_timeout),
          m_context{m_settings,      control,    endpoints,     m_claims,
                    metric_registry, objectives, std::move(log)}
    {
        configure();
        add_routes();
        bind();
        m_thread = std::thread(
            [this]
            {
                m_server.listen_after_bind();
            });
    }

    ~implementation()
    {
        drain();
    }

    int port() const
    {
        return m_port;
    }

    int in_flight() const
    {
        return m_context.active_requests;
    }

    void drain()
    {
        m_draining = true;
        wait_until_idle();
        // httplib terminates open streams in stop(), so it is called last.
        m_server.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void wait_until_idle() const
    {
        std::mutex mutex;
        std::condition_variable sleep_condition;
        std::unique_lock lock(mutex);
        while (m_context.active_requests > 0)
            sleep_condition.wait_for(lock, drain_poll_interval);
    }

    void configure()
    {
        m_server.set_tcp_nodelay(true);
        m_server.set_socket_options(
            [this](int socket)
            {
                const int on = 1;
                ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
                m_socket = socket;
            });
        m_server.new_task_queue = [this]
        {
            return new connection_queue(m_settings.max_connections);
        };
        m_server.set_keep_alive_timeout(keep_alive_s);
        m_server.set_keep_alive_max_count(requests_per_connection);
        m_server.set_payload_max_length(m_settings.max_body);
        m_server.set_read_timeout(request_read_timeout);
        m_server.set_write_timeout(m_settings.reader_timeout);
        m_server.set_pre_routing_handler(
            [this](const Request& request, Response& response)
            {
                return check_admission(request, response);
            });
        m_server.set_post_routing_handler(
            [this](const Request&, Response& response)
            {
                // Makes the caller reconnect, so that its next request can
                // reach another router.
                if (!m_control.snapshot()->ready)
                    response.set_header("Connection", "close");
            });
        m_server.set_error_handler(
            [](const Request& request, Response& response)
            {
                if (!response.body.empty())
                    return;
                const auto code = response.status == 413   ? errc::too_large
                                  : response.status == 404 ? errc::not_found
                                                           : errc::bad_request;
                const auto status = response.status;
                write_problem(response,
                              {code, "receive", "caller", request.path},
                              run_state::no, {});
                response.status = status;
            });
        m_server.set_exception_handler(
            [this](const Request& request, Response& response,
                   const std::exception_ptr& thrown)
            {
                answer_exception(request, response, thrown);
            });
    }

    httplib::Server::HandlerResponse check_admission(const Request& request,
                                                     Response& response)
    {
        const bool over_limit = connection_queue::shedding();
        const bool valid_framing = has_valid_framing(request);
        if (valid_framing && !over_limit && !m_draining)
            return httplib::Server::HandlerResponse::Unhandled;
        response.set_header("Connection", "close");
        write_problem(response,
                      {valid_framing ? errc::overloaded : errc::bad_request,
                       "accept", "caller",
                       valid_framing ? "" : "contradictory framing"},
                      run_state::no, {});
        return httplib::Server::HandlerResponse::Handled;
    }

    void answer_exception(const Request& request, Response& response,
                          const std::exception_ptr& thrown)
    {
        std::string message = "unknown";
        try
        {
            std::rethrow_exception(thrown);
        }
        catch (const std::exception& reason)
        {
            message = reason.what();
        }
        catch (...)
        {
            message = "not a standard exception";
        }
        m_context.log->error("event=exception path={} reason=\"{}\"",
                             request.path, message);
        write_problem(response, {errc::outcome_unknown, "serve", "caller", {}},
                      run_state::unknown, {});
    }

    void add_routes()
    {
        const auto model = [this](const Request& request, Response& response)
        {
            serve_model(request, response);
        };
        m_server.Post("/v1/chat/completions", model);
        m_server.Post("/v1/completions", model);
        m_server.Get("/v1/models",
                     [this](const Request& request, Response& response)
                     {
                         list_models(request, response);
                     });
        m_server.Post("/v1/idempotency-keys",
                      [this](const Request& request, Response& response)
                      {
                          issue_key(request, response);
                      });
        const auto plain = [this](const Request& request, Response& response)
        {
            serve_plain(m_context, request, response);
        };
        m_server.Get(".*", plain);
        m_server.Post(".*", plain);
        m_server.Put(".*", plain);
        m_server.Patch(".*", plain);
        m_server.Delete(".*", plain);
    }

    void serve_model(const Request& request, Response& response)
    {
        const auto routing = m_control.snapshot();
        auto job = parse_model_job(*routing, request);
        if (!job)
            return write_problem(response, job.error(), run_state::no, {});
        if (routing->quarantined.contains(job->fingerprint))
            return write_problem(response,
                                 {errc::quarantined, "accept", "caller", {}},
                                 run_state::no, job->request);
        std::make_shared<model_call>(m_context, std::move(*job))
            ->serve(response);
    }

    void list_models(const Request& request, Response& response)
    {
        const auto routing = m_control.snapshot();
        const auto customer = authenticate(*routing, request);
        if (!customer)
            return write_problem(response, customer.error(), run_state::no, {});
        nlohmann::json models = nlohmann::json::array();
        for (const auto& [name, object] : routing->objects->services)
            if (object.kind == service_kind::model)
                models.push_back({{"id", object.model}, {"object", "model"}});
        response.set_content(
            nlohmann::json{{"object", "list"}, {"data", models}}.dump(),
            "application/json");
    }

    void issue_key(const Request& request, Response& response)
    {
        const auto customer = authenticate(*m_control.snapshot(), request);
        if (!customer)
            return write_problem(response, customer.error(), run_state::no, {});
        const auto key = m_control.issue_key();
        if (key.empty())
            return write_problem(
                response, {errc::not_registered, "issue_key", "caller", {}},
                run_state::no, {});
        response.set_content(nlohmann::json{{"key", key}}.dump(),
                             "application/json");
    }

    void bind()
    {
        const auto [ip, port] = split_address(m_settings.listen);
        m_port = port;
        if (port == 0)
            m_port = m_server.bind_to_any_port(ip);
        else if (!m_server.bind_to_port(ip, port))
            m_port = -1;
        if (m_port <= 0)
            throw std::runtime_error("listen: can't bind " + m_settings.listen);
        // httplib listens with a backlog of 5, which drops connections in a
        // burst.
        ::listen(m_socket, listen_backlog);
    }

    settings m_settings;
    control_plane& m_control;
    claim_registry m_claims;
    serving_context m_context;
    httplib::Server m_server;
    int m_port = 0;
    int m_socket = -1;
    std::atomic<bool> m_draining{false};
    std::thread m_thread;
};

caller_server::caller_server(const settings& config, control_plane& control,
                             endpoint_table& endpoints,
                             metrics& metric_registry,
                             objective_log& objectives,
                             std::shared_ptr<spdlog::logger> log)
    : m_implementation(std::make_unique<implementation>(
          config, control, endpoints, metric_registry, objectives,
          std::move(log)))
{
}

caller_server::~caller_server() = default;

int caller_server::port() const
{
    return m_implementation->port();
}

int caller_server::in_flight() const
{
    return m_implementation->in_flight();
}

void caller_server::drain()
{
    m_implementation->drain();
}

} // namespace rhubarbgrade
