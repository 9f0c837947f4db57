#include "model_call.hpp"

#include <algorithm> // min
#include <chrono>    // duration, steady_clock, system_clock
#include <memory>    // make_shared
#include <mutex>     // lock_guard
#include <optional>  // nullopt, optional
#include <string>    // string, to_string
#include <utility>   // move

#include <httplib.h>         // DataSink, Response
#include <nlohmann/json.hpp> // json
#include <spdlog/spdlog.h>   // logger

#include <rhubarbgrade/detail/base/hash.hpp>               // hash_hex
#include <rhubarbgrade/detail/control/control_plane.hpp>   // control_plane
#include <rhubarbgrade/detail/endpoint/endpoint_table.hpp> // endpoint_table
#include <rhubarbgrade/detail/telemetry/metrics.hpp>       // metrics
#include <rhubarbgrade/detail/telemetry/objective_log.hpp> // objective_log

#include "../endpoint/engine_request.hpp" // probe_liveness

namespace rhubarbgrade
{
namespace
{

using std::chrono::steady_clock;

double seconds_between(time_point_t from, time_point_t to)
{
    return std::chrono::duration<double>(to - from).count();
}

run_state to_run_state(attempt_outcome end)
{
    switch (end)
    {
    case attempt_outcome::not_sent:
    case attempt_outcome::refused:
        return run_state::no;
    case attempt_outcome::failed:
        return run_state::yes;
    case attempt_outcome::may_have_run:
        break;
    }
    return run_state::unknown;
}

} // namespace

model_call::model_call(serving_context& context, model_job job)
    : m_context(context),
      m_in_flight_guard(context.active_requests),
      m_job(std::move(job)),
      m_started_at(steady_clock::now()),
      m_deadline(m_started_at + m_job.timeout)
{
}

void model_call::serve(httplib::Response& response)
{
    response.set_header("X-Request-Id", m_job.request);
    const auto earlier_endpoint =
        m_job.has_idempotency_key
            ? m_context.control.find_request(m_job.request)
            : std::string();
    const auto refused =
        earlier_endpoint.empty() ? run() : attach(earlier_endpoint);
    if (refused)
    {
        m_context.log->info("event=refused request={} customer={} {}",
                            m_job.request, m_job.customer,
                            refused->cause.message());
        write_problem(response, refused->cause, refused->ran, m_job.request);
        record_served({});
        return;
    }
    if (m_job.stream)
        write_stream_response(response);
    else
        write_whole_response(response);
}

std::optional<model_call::refusal>
model_call::attach(const std::string& endpoint)
{
    m_owns_billing = false;
    const auto routing = m_context.control.snapshot();
    const auto* const object = find(routing->objects->endpoints, endpoint);
    const error unreachable{errc::outcome_unknown, "attach", endpoint,
                            "the run can't be reached"};
    if (object == nullptr)
        return refusal{unreachable, run_state::unknown};
    auto failed = start_on(endpoint, object->address);
    return failed ? std::optional(refusal{unreachable, run_state::unknown})
                  : std::nullopt;
}

std::optional<model_call::refusal> model_call::run()
{
    {
        const std::lock_guard lock(m_context.mutex);
        count_request(m_context.retries);
    }
    const auto reservation = reserve();
    if (!reservation)
        return refusal{reservation.error(), run_state::no};
    m_version = m_context.endpoints.pick_version(m_job.service, m_job.path);
    for (;;)
    {
        auto refused = attempt();
        if (!refused || refused->cause.code)
            return refused;
    }
}

result<void> model_call::reserve()
{
    return m_context.control.reserve_tokens(m_job.request, m_job.customer,
                                            m_job.reserved_tokens);
}

result<void> model_call::assign(const std::string& endpoint)
{
    auto done = m_context.control.assign_endpoint(m_job.request, endpoint);
    if (done)
        return done;
    // The second host did not acknowledge the assignment. The request gets a
    // new id, so that no host that has seen the first one bills the run too.
    m_context.control.release_request(m_job.request);
    m_job.request += ".s";
    auto reservation = reserve();
    if (!reservation)
        return reservation;
    return m_context.control.assign_endpoint(m_job.request, endpoint);
}

/// Makes one attempt.
/// @return nothing on success; a refusal with an empty error code if another
///         attempt is due
std::optional<model_call::refusal> model_call::attempt()
{
    m_attempts++;
    const auto queue_deadline = std::min(
        m_deadline, steady_clock::now() + m_context.config.queue_limit);
    auto lease = m_context.endpoints.acquire(
        {m_job.service, m_version, m_job.priority, queue_deadline, m_excluded});
    if (!lease)
    {
        m_context.control.release_request(m_job.request);
        return refusal{lease.error(), m_earlier_run_state};
    }
    m_lease = std::move(*lease);
    const auto assigned = assign(m_lease->endpoint());
    if (!assigned)
    {
        m_context.control.release_request(m_job.request);
        return refusal{assigned.error(), m_earlier_run_state};
    }
    return start_on(m_lease->endpoint(), m_lease->address());
}

engine_call model_call::make_call(const std::string& endpoint,
                                  const std::string& address) const
{
    return {address,          endpoint,      m_job.path,
            m_job.body,       m_job.request, m_job.customer,
            m_job.max_tokens, m_job.timeout, m_context.config.progress_timeout};
}

std::optional<model_call::refusal>
model_call::start_on(const std::string& endpoint, const std::string& address)
{
    m_endpoint = endpoint;
    if (m_owns_billing && detects_dead_endpoint(make_call(endpoint, address)))
        return handle_failure(
            {false, 0, attempt_outcome::not_sent, false, 0, 0});
    m_stream = std::make_shared<engine_stream>(make_call(endpoint, address),
                                               m_job.stream,
                                               m_context.config.stream_buffer);
    m_stream->start();
    const auto failed = m_stream->wait_for_first_event();
    m_first_event_at = steady_clock::now();
    if (!failed)
    {
        m_context.endpoints.record_result(endpoint, true);
        return std::nullopt;
    }
    if (!m_owns_billing)
        return refusal{{errc::outcome_unknown, "attach", endpoint, {}},
                       run_state::unknown};
    return handle_failure(*failed);
}

/// A request that has crashed an endpoint before is not sent to an endpoint
/// that is already dead, which would count as another crash of the request.
/// For all other requests, the endpoint is not probed.
bool model_call::detects_dead_endpoint(const engine_call& call) const
{
    {
        const std::lock_guard lock(m_context.mutex);
        if (!m_context.crashes.entries.contains(m_job.fingerprint))
            return false;
    }
    return probe_liveness(call) == liveness::dead;
}

model_call::refusal model_call::handle_failure(const stream_outcome& failed)
{
    const bool must_quarantine = record_failed_attempt(failed);
    if (must_quarantine)
    {
        m_context.control.release_request(m_job.request);
        return {{errc::quarantined, "run", m_endpoint, {}}, run_state::unknown};
    }
    if (prepare_retry(failed))
        return {};
    return give_up(failed);
}

/// Records a failed attempt and, if the endpoint died, a crash of the request.
/// The crash counts as a failure of the version only if the request then
/// succeeds on another endpoint.
/// @return whether the request is now quarantined
bool model_call::record_failed_attempt(const stream_outcome& outcome)
{
    m_context.endpoints.record_result(m_endpoint, false);
    if (!outcome.endpoint_died)
    {
        if (outcome.end == attempt_outcome::failed ||
            outcome.end == attempt_outcome::may_have_run)
            record_move_sample(false);
        return false;
    }
    m_crashed_version = m_version;
    bool limit_reached = false;
    {
        const std::lock_guard lock(m_context.mutex);
        limit_reached = record_endpoint_crash(
            m_context.crashes, m_job.fingerprint, steady_clock::now());
    }
    if (limit_reached)
        m_context.control.quarantine_request(m_job.fingerprint);
    return limit_reached;
}

bool model_call::prepare_retry(const stream_outcome& outcome)
{
    m_context.log->info("event=attempt_failed request={} customer={} "
                        "peer={} status={}",
                        m_job.request, m_job.customer, m_endpoint,
                        outcome.status);
    const bool client_error = outcome.status >= 400 && outcome.status < 500 &&
                              outcome.end == attempt_outcome::failed;
    const std::lock_guard lock(m_context.mutex);
    const bool retry =
        !client_error && may_retry(m_context.retries, outcome.end, true,
                                   m_attempts, steady_clock::now(), m_deadline);
    if (!retry)
        return false;
    if (outcome.end == attempt_outcome::may_have_run)
        m_earlier_run_state = run_state::unknown;
    // If no other endpoint is available, the request may go to the same engine
    // again: an engine resumes a run whose id it knows, so that the request
    // does not run twice.
    m_excluded.insert(m_endpoint);
    if (outcome.end == attempt_outcome::may_have_run &&
        !outcome.endpoint_died &&
        !m_context.endpoints.has_candidate(m_job.service, m_excluded))
        m_excluded.erase(m_endpoint);
    m_lease.reset();
    const auto routing = m_context.control.snapshot();
    const auto split = routing->splits.find(m_job.service);
    if (split != routing->splits.end())
        m_version = split->second.from;
    return true;
}

model_call::refusal model_call::give_up(const stream_outcome& outcome)
{
    if (outcome.end == attempt_outcome::may_have_run && !outcome.endpoint_died)
    {
        const auto used_tokens =
            cancel_run(make_call(m_endpoint, m_lease->address()));
        if (used_tokens)
        {
            settle({false, 0, outcome.end, false, *used_tokens, 0});
            return {{errc::endpoint_failed, "run", m_endpoint, "cancelled"},
                    run_state::yes};
        }
    }
    m_context.control.release_request(m_job.request);
    const auto code = outcome.end == attempt_outcome::may_have_run
                          ? errc::outcome_unknown
                          : errc::endpoint_failed;
    const auto ran = to_run_state(outcome.end);
    return {
        {code, "run", m_endpoint, "status " + std::to_string(outcome.status)},
        ran == run_state::no ? m_earlier_run_state : ran};
}

void model_call::write_stream_response(httplib::Response& response)
{
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
        "text/event-stream",
        [self = shared_from_this()](std::size_t, httplib::DataSink& sink)
        {
            return self->send_events(sink);
        },
        [self = shared_from_this()](bool)
        {
            self->handle_disconnect();
        });
}

bool model_call::send_events(httplib::DataSink& sink)
{
    const auto text = m_stream->pull();
    if (text.empty())
        return send_final_event(sink);
    m_sent_bytes += text.size();
    m_sent_digest = hash_hex(m_sent_digest + text);
    return sink.write(text.data(), text.size());
}

bool model_call::send_final_event(httplib::DataSink& sink)
{
    const auto outcome = m_stream->outcome();
    settle(outcome);
    std::string text;
    if (outcome.complete)
    {
        // The summary is an SSE comment line, which clients ignore.
        const nlohmann::json end{{"request", m_job.request},
                                 {"events", outcome.events},
                                 {"bytes", m_sent_bytes},
                                 {"digest", m_sent_digest}};
        text = ": end " + end.dump() + "\n\ndata: [DONE]\n\n";
    }
    else
    {
        const error cause{errc::stream_broken, "stream", m_endpoint, {}};
        const nlohmann::json end{{"error",
                                  {{"message", cause.message()},
                                   {"code", cause.code.value()},
                                   {"ran", "yes"}}}};
        text = "data: " + end.dump() + "\n\n";
    }
    const bool sent = sink.write(text.data(), text.size());
    if (sent)
        sink.done();
    return sent;
}

void model_call::write_whole_response(httplib::Response& response)
{
    std::string body;
    for (auto text = m_stream->pull(); !text.empty(); text = m_stream->pull())
        body += text;
    const auto outcome = m_stream->outcome();
    settle(outcome);
    if (outcome.complete)
        response.set_content(body, "application/json");
    else
        write_problem(response,
                      {errc::stream_broken, "receive", m_endpoint, {}},
                      run_state::unknown, m_job.request);
}

void model_call::handle_disconnect()
{
    if (m_settled)
        return;
    m_stream->disconnect(
        m_job.has_idempotency_key,
        [self = shared_from_this()](const stream_outcome& outcome)
        {
            self->settle(outcome);
        });
}

void model_call::settle(const stream_outcome& outcome)
{
    if (m_settled)
        return;
    m_settled = true;
    m_lease.reset();
    record_move_sample(outcome.complete || outcome.status == 200);
    record_served(outcome);
    if (!m_owns_billing)
        return;
    if (outcome.used_tokens > m_job.reserved_tokens)
        m_context.log->error("event=usage_above_reservation request={} "
                             "customer={} peer={} used={} reserved={}",
                             m_job.request, m_job.customer, m_endpoint,
                             outcome.used_tokens, m_job.reserved_tokens);
    const auto tokens = std::min(outcome.used_tokens, m_job.reserved_tokens);
    const auto done = m_context.control.settle_request(m_job.request, tokens);
    m_context.log->info("event=settled request={} customer={} peer={} "
                        "tokens={} {}",
                        m_job.request, m_job.customer, m_endpoint, tokens,
                        done ? std::string() : done.error().message());
    m_context.metric_registry.count("rhubarbgrade_tokens_total",
                                    "customer=\"" + m_job.customer + "\"",
                                    static_cast<double>(tokens));
}

void model_call::record_served(const stream_outcome& outcome)
{
    const auto now = steady_clock::now();
    served_request served{m_job.customer, m_job.service, outcome.complete};
    if (outcome.complete)
        served.first_token_s = seconds_between(m_started_at, m_first_event_at);
    if (outcome.events > 1 && m_job.stream)
        served.between_tokens_s = seconds_between(m_first_event_at, now) /
                                  static_cast<double>(outcome.events - 1);
    m_context.objectives.note(*m_context.control.snapshot()->objects, served,
                              std::chrono::system_clock::now());
    const auto labels = "service=\"" + m_job.service + "\",endpoint=\"" +
                        m_endpoint + "\",version=\"" + m_version + "\"";
    m_context.metric_registry.count("rhubarbgrade_requests_total", labels);
    if (!outcome.complete)
        m_context.metric_registry.count("rhubarbgrade_failures_total", labels);
    else
        m_context.metric_registry.observe("rhubarbgrade_first_byte_seconds",
                                          "service=\"" + m_job.service + "\"",
                                          served.first_token_s);
}

void model_call::record_move_sample(bool success)
{
    const auto routing = m_context.control.snapshot();
    const auto split = routing->splits.find(m_job.service);
    if (!m_owns_billing || split == routing->splits.end() ||
        split->second.move.empty())
        return;
    const auto& current_split = split->second;
    const double latency =
        success ? seconds_between(m_started_at, m_first_event_at) : -1;
    m_context.control.note({current_split.move, m_job.path,
                            m_version == current_split.to, success, latency});
    if (success && !m_crashed_version.empty())
        m_context.control.note({current_split.move, m_job.path,
                                m_crashed_version == current_split.to, false,
                                -1});
}

} // namespace rhubarbgrade
