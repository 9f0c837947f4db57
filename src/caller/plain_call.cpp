#include <rhubarbgrade/detail/caller/plain_call.hpp>

#include <algorithm>   // min
#include <array>       // array
#include <chrono>      // steady_clock, system_clock
#include <cstdlib>     // strtoull
#include <optional>    // nullopt, optional
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move

#include <httplib.h>       // Client, Request, Response
#include <spdlog/spdlog.h> // logger

#include <rhubarbgrade/detail/base/clock.hpp>              // wall_milliseconds
#include <rhubarbgrade/detail/base/hash.hpp>               // hash_hex
#include <rhubarbgrade/detail/budget/operation.hpp>        // answer_key
#include <rhubarbgrade/detail/caller/activity.hpp>         // in_flight_guard
#include <rhubarbgrade/detail/caller/model_job.hpp>        // authenticate
#include <rhubarbgrade/detail/caller/problem.hpp>          // write_problem
#include <rhubarbgrade/detail/control/control_plane.hpp>   // control_plane
#include <rhubarbgrade/detail/endpoint/endpoint_table.hpp> // endpoint_table
#include <rhubarbgrade/detail/platform/claim_registry.hpp> // claim_registry
#include <rhubarbgrade/detail/telemetry/metrics.hpp>       // metrics
#include <rhubarbgrade/detail/telemetry/objective_log.hpp> // objective_log

#include "../endpoint/engine_request.hpp" // classify_error, make_client

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;

/// Validity of an issued idempotency key; claims on it are kept as long.
constexpr std::uint64_t key_lifetime_ms = 24ULL * 3600 * 1000;

/// Maximum body size of a response that is stored for replay.
constexpr std::size_t max_stored_body_bytes = 64U << 10U;

/// Hop-by-hop headers, and end-to-end headers meant for the router only.
constexpr std::array<std::string_view, 10> unforwarded_headers{
    "connection", "keep-alive",   "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",      "transfer-encoding",  "upgrade",
    "host",       "authorization"};

bool is_forwarded(std::string_view name)
{
    std::string lower(name);
    for (auto& character : lower)
        character = static_cast<char>(std::tolower(character));
    const bool set_by_router =
        lower == "content-length" || lower == "remote_addr" ||
        lower == "remote_port" || lower == "local_addr" ||
        lower == "local_port" || lower == "x-request-id";
    return !set_by_router &&
           std::find(unforwarded_headers.begin(), unforwarded_headers.end(),
                     lower) == unforwarded_headers.end();
}

const service* find_service(const routing_snapshot& routing,
                            const std::string& path)
{
    const service* best = nullptr;
    for (const auto& [name, object] : routing.objects->services)
    {
        const bool matches =
            object.kind == service_kind::plain && path.starts_with(object.path);
        if (matches &&
            (best == nullptr || object.path.size() > best->path.size()))
            best = &object;
    }
    return best;
}

/// Returns the ledger that issued a key, or nothing if the caller chose it.
std::optional<ledger_id> issuer_of(std::string_view key)
{
    constexpr std::string_view prefix = "rg1.";
    if (!key.starts_with(prefix))
        return std::nullopt;
    key.remove_prefix(prefix.size());
    const auto host_end = key.find('.');
    const auto id_end = host_end == std::string_view::npos
                            ? std::string_view::npos
                            : key.find('.', host_end + 1);
    if (id_end == std::string_view::npos)
        return std::nullopt;
    const auto id = parse_ledger_id(key.substr(0, id_end));
    return id.host.empty() ? std::nullopt : std::optional(id);
}

bool is_expired(const std::string& key)
{
    const auto tail = key.rfind('.');
    const auto begin = key.rfind('.', tail - 1) + 1;
    const auto issued =
        std::strtoull(key.substr(begin, tail - begin).c_str(), nullptr, 10);
    return wall_milliseconds() > issued + key_lifetime_ms;
}

/// Handles one call to a plain service.
class plain_call
{
public:
    plain_call(serving_context& context, const httplib::Request& request,
               httplib::Response& response)
        : m_context(context),
          m_request(request),
          m_response(response),
          m_id("r-" + random_hex()),
          m_key(request.get_header_value("Idempotency-Key")),
          m_started_at(steady_clock::now())
    {
    }

    void serve()
    {
        const auto routing = m_context.control.snapshot();
        const auto customer = authenticate(*routing, m_request);
        if (!customer)
            return refuse(customer.error(), run_state::no);
        m_customer = *customer;
        const auto* const found = find_service(*routing, m_request.path);
        if (found == nullptr)
            return refuse({errc::not_found, "route", "caller", m_request.path},
                          run_state::no);
        m_service = *found;
        const bool safe =
            m_request.method == "GET" || m_request.method == "HEAD";
        m_repeatable = m_service.idempotent || safe;
        m_priority = find(routing->objects->customers, m_customer)->priority;
        m_response.set_header("X-Request-Id", m_id);
        if (!m_repeatable && !m_key.empty() && !claim())
            return;
        if (!reserve_call_tokens())
            return drop_claim();
        run();
    }

private:
    void refuse(const error& cause, run_state ran)
    {
        m_context.log->info("event=refused request={} customer={} {}", m_id,
                            m_customer, cause.message());
        write_problem(m_response, cause, ran, m_id);
        record_served(false);
    }

    /// Claims the idempotency key.
    /// @return false if the claim failed; the response is written then
    bool claim()
    {
        m_issuer = issuer_of(m_key);
        if (m_issuer && is_expired(m_key))
        {
            refuse({errc::key_expired, "claim", "caller", {}}, run_state::no);
            return false;
        }
        m_claim_name = hash_hex(m_customer + "\n" + m_key);
        const auto answer =
            m_issuer ? m_context.control.claim({*m_issuer, m_claim_name, m_id})
                     : m_context.claims.claim(m_claim_name, m_id);
        m_claimed = answer.status == claim_status::claimed;
        if (answer.status == claim_status::answered &&
            !answer.content_type.empty())
            replay_response(answer);
        else if (answer.status == claim_status::answered)
            refuse({errc::key_in_use, "claim", "caller",
                    "the first answer is no longer kept"},
                   run_state::yes);
        else if (answer.status == claim_status::pending)
            refuse({errc::key_in_use, "claim", "caller", {}},
                   run_state::unknown);
        else if (!m_claimed)
            refuse({errc::claim_unavailable, "claim", "platform", {}},
                   run_state::no);
        return m_claimed;
    }

    void replay_response(const claim_answer& answer)
    {
        m_response.status = answer.answer_status;
        m_response.set_header("Idempotency-Replayed", "true");
        m_response.set_content(answer.body, answer.content_type);
        record_served(true);
    }

    void drop_claim()
    {
        if (!m_claimed)
            return;
        if (m_issuer)
            m_context.control.drop_claim(*m_issuer, m_claim_name);
        else
            m_context.claims.drop(m_claim_name, m_id);
    }

    bool reserve_call_tokens()
    {
        if (m_service.tokens_per_call == 0)
            return true;
        const auto reservation = m_context.control.reserve_tokens(
            m_id, m_customer, m_service.tokens_per_call);
        if (!reservation)
            refuse(reservation.error(), run_state::no);
        return reservation.has_value();
    }

    void release_call_tokens()
    {
        if (m_service.tokens_per_call > 0)
            m_context.control.release_request(m_id);
    }

    void run()
    {
        const auto deadline = m_started_at + m_service.timeout;
        m_version =
            m_context.endpoints.pick_version(m_service.name, m_service.path);
        {
            const std::lock_guard lock(m_context.mutex);
            count_request(m_context.retries);
        }
        for (int attempts = 1;; ++attempts)
        {
            const auto queue_deadline = std::min(
                deadline, steady_clock::now() + m_context.config.queue_limit);
            auto lease = m_context.endpoints.acquire(
                {m_service.name, m_version, m_priority, queue_deadline,
                 m_excluded});
            const auto start_error =
                lease ? assign(*lease) : std::optional(lease.error());
            if (start_error)
            {
                release_call_tokens();
                drop_claim();
                return refuse(*start_error, run_state::no);
            }
            const auto end = send_to(*lease);
            if (!end)
                return;
            m_excluded.insert(lease->endpoint());
            if (!should_retry(*end, attempts, deadline))
                return give_up(*end, lease->endpoint());
        }
    }

    bool should_retry(attempt_outcome end, int attempts, time_point_t deadline)
    {
        const std::lock_guard lock(m_context.mutex);
        return may_retry(m_context.retries, end, m_repeatable, attempts,
                         steady_clock::now(), deadline);
    }

    std::optional<error> assign(const slot_lease& lease)
    {
        if (m_service.tokens_per_call == 0)
            return std::nullopt;
        const auto done =
            m_context.control.assign_endpoint(m_id, lease.endpoint());
        return done ? std::nullopt : std::optional(done.error());
    }

    /// Sends the request once.
    /// @return nothing if the endpoint's response was forwarded to the caller,
    ///         else how the attempt failed
    std::optional<attempt_outcome> send_to(const slot_lease& lease)
    {
        engine_call call;
        call.address = lease.address();
        call.progress_timeout = m_service.timeout;
        auto client = make_client(call, m_service.timeout);
        httplib::Request upstream_request;
        upstream_request.method = m_request.method;
        upstream_request.path = m_request.target;
        upstream_request.body = m_request.body;
        for (const auto& [name, value] : m_request.headers)
            if (is_forwarded(name))
                upstream_request.headers.emplace(name, value);
        upstream_request.headers.emplace("X-Request-Id", m_id);
        upstream_request.headers.emplace("X-Customer", m_customer);
        httplib::Response upstream_response;
        auto transport_error = httplib::Error::Success;
        const bool sent =
            client.send(upstream_request, upstream_response, transport_error);
        const bool whole =
            sent && (!is_close_delimited(upstream_request, upstream_response) ||
                     probe_liveness(call) == liveness::alive);
        const bool success = whole && upstream_response.status < 500;
        m_context.endpoints.record_result(lease.endpoint(), success);
        record_move_sample(lease.version(), success);
        if (!sent)
            return classify_error(transport_error);
        if (!whole)
            return attempt_outcome::may_have_run;
        if (!success && m_repeatable)
            return attempt_outcome::failed;
        forward_response(upstream_response, lease.endpoint());
        return std::nullopt;
    }

    void forward_response(const httplib::Response& upstream_response,
                          const std::string& endpoint)
    {
        const auto type = upstream_response.get_header_value("Content-Type");
        if (m_service.tokens_per_call > 0)
            static_cast<void>(m_context.control.settle_request(
                m_id, m_service.tokens_per_call));
        if (m_claimed)
            store_response(upstream_response, type);
        m_response.status = upstream_response.status;
        for (const auto& [name, value] : upstream_response.headers)
            if (is_forwarded(name) && name != "Content-Type")
                m_response.set_header(name, value);
        m_response.set_content(upstream_response.body,
                               type.empty() ? "text/plain" : type);
        m_context.log->info("event=served request={} customer={} peer={} "
                            "status={}",
                            m_id, m_customer, endpoint,
                            upstream_response.status);
        record_served(upstream_response.status < 500);
    }

    void store_response(const httplib::Response& upstream_response,
                        const std::string& type)
    {
        const bool fits =
            upstream_response.body.size() <= max_stored_body_bytes;
        const auto stored_type = !fits          ? std::string()
                                 : type.empty() ? "text/plain"
                                                : type;
        const auto body = fits ? upstream_response.body : std::string();
        if (m_issuer)
            m_context.control.answer(
                *m_issuer,
                {m_claim_name, upstream_response.status, stored_type, body});
        else
            m_context.claims.answer(m_claim_name, m_id,
                                    {claim_status::answered,
                                     upstream_response.status, stored_type,
                                     body});
    }

    void give_up(attempt_outcome end, const std::string& endpoint)
    {
        const bool not_executed =
            end == attempt_outcome::not_sent || end == attempt_outcome::refused;
        release_call_tokens();
        if (not_executed)
            drop_claim();
        if (not_executed)
            return refuse({errc::connect_failed, "send", endpoint, {}},
                          run_state::no);
        if (end == attempt_outcome::failed)
            return refuse({errc::endpoint_failed, "send", endpoint, {}},
                          run_state::yes);
        refuse({errc::outcome_unknown, "send", endpoint, {}},
               run_state::unknown);
    }

    void record_move_sample(const std::string& version, bool success)
    {
        const auto routing = m_context.control.snapshot();
        const auto split = routing->splits.find(m_service.name);
        if (split == routing->splits.end() || split->second.move.empty())
            return;
        const double latency = success ? std::chrono::duration<double>(
                                             steady_clock::now() - m_started_at)
                                             .count()
                                       : -1;
        m_context.control.note({split->second.move, m_service.path,
                                version == split->second.to, success, latency});
    }

    void record_served(bool success)
    {
        const auto labels = "service=\"" + m_service.name + "\"";
        const double time =
            std::chrono::duration<double>(steady_clock::now() - m_started_at)
                .count();
        m_context.metric_registry.count("rhubarbgrade_requests_total", labels);
        if (success)
            m_context.metric_registry.observe("rhubarbgrade_answer_seconds",
                                              labels, time);
        else
            m_context.metric_registry.count("rhubarbgrade_failures_total",
                                            labels);
        m_context.objectives.note(
            *m_context.control.snapshot()->objects,
            {m_customer, m_service.name, success, success ? time : -1, -1},
            std::chrono::system_clock::now());
    }

    serving_context& m_context;
    const httplib::Request& m_request;
    httplib::Response& m_response;
    std::string m_id;
    std::string m_key;
    std::string m_customer;
    std::string m_version;
    std::string m_claim_name;
    std::optional<ledger_id> m_issuer;
    service m_service;
    std::set<std::string> m_excluded;
    time_point_t m_started_at;
    int m_priority = 5;
    bool m_repeatable = false;
    bool m_claimed = false;
};

} // namespace

void serve_plain(serving_context& context, const httplib::Request& request,
                 httplib::Response& response)
{
    const in_flight_guard guard(context.active_requests);
    plain_call(context, request, response).serve();
}

} // namespace rhubarbgrade
