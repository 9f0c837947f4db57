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
#include <rhubarbgrade/detail/caller/traffic.hpp>          // traffic
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
constexpr milliseconds request_timeout{5000};
constexpr milliseconds end_poll{10};
constexpr int keep_alive_s = 5;
constexpr int listen_backlog = 1024;
constexpr std::size_t requests_per_connection = 1000000;

/// A length that is missing, repeated or contradicted leaves it open where
/// the request ends.
bool sound_framing(const Request& request)
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
    implementation(const settings& read, control_plane& control,
                   endpoint_table& endpoints, metrics& measures,
                   objective_log& objectives,
                   std::shared_ptr<spdlog::logger> log)
        : m_settings(read),
          m_control(control),
          m_claims(read.platform, claim_timeout),
          m_traffic{m_settings, control,    endpoints,     m_claims,
                    measures,   objectives, std::move(log)}
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
        return m_traffic.active;
    }

    void drain()
    {
        m_draining = true;
        wait_for_end();
        // The library ends open streams on stop, so that it comes last.
        m_server.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void wait_for_end() const
    {
        std::mutex mutex;
        std::condition_variable never;
        std::unique_lock lock(mutex);
        while (m_traffic.active > 0)
            never.wait_for(lock, end_poll);
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
        m_server.set_read_timeout(request_timeout);
        m_server.set_write_timeout(m_settings.reader_timeout);
        m_server.set_pre_routing_handler(
            [this](const Request& request, Response& response)
            {
                return check(request, response);
            });
        m_server.set_post_routing_handler(
            [this](const Request&, Response& response)
            {
                // A caller's next request should reach another router.
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
                   const std::exception_ptr& problem)
            {
                answer_exception(request, response, problem);
            });
    }

    httplib::Server::HandlerResponse check(const Request& request,
                                           Response& response)
    {
        const bool shed = connection_queue::shedding();
        const bool sound = sound_framing(request);
        if (sound && !shed && !m_draining)
            return httplib::Server::HandlerResponse::Unhandled;
        response.set_header("Connection", "close");
        write_problem(response,
                      {sound ? errc::overloaded : errc::bad_request, "accept",
                       "caller", sound ? "" : "contradictory framing"},
                      run_state::no, {});
        return httplib::Server::HandlerResponse::Handled;
    }

    void answer_exception(const Request& request, Response& response,
                          const std::exception_ptr& problem)
    {
        std::string text = "unknown";
        try
        {
            std::rethrow_exception(problem);
        }
        catch (const std::exception& reason)
        {
            text = reason.what();
        }
        catch (...)
        {
            text = "not a standard exception";
        }
        m_traffic.log->error("event=exception path={} reason=\"{}\"",
                             request.path, text);
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
            serve_plain(m_traffic, request, response);
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
        std::make_shared<model_call>(m_traffic, std::move(*job))
            ->serve(response);
    }

    void list_models(const Request& request, Response& response)
    {
        const auto routing = m_control.snapshot();
        const auto who = authenticate(*routing, request);
        if (!who)
            return write_problem(response, who.error(), run_state::no, {});
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
        const auto who = authenticate(*m_control.snapshot(), request);
        if (!who)
            return write_problem(response, who.error(), run_state::no, {});
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
        // The library listens with a backlog of 5: a burst would be dropped.
        ::listen(m_socket, listen_backlog);
    }

    settings m_settings;
    control_plane& m_control;
    claim_registry m_claims;
    traffic m_traffic;
    httplib::Server m_server;
    int m_port = 0;
    int m_socket = -1;
    std::atomic<bool> m_draining{false};
    std::thread m_thread;
};

caller_server::caller_server(const settings& read, control_plane& control,
                             endpoint_table& endpoints, metrics& measures,
                             objective_log& objectives,
                             std::shared_ptr<spdlog::logger> log)
    : m_implementation(std::make_unique<implementation>(
          read, control, endpoints, measures, objectives, std::move(log)))
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
