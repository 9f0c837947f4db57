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

run_state state_of(attempt_end end)
{
    switch (end)
    {
    case attempt_end::not_sent:
    case attempt_end::refused:
        return run_state::no;
    case attempt_end::failed:
        return run_state::yes;
    case attempt_end::may_have_run:
        break;
    }
    return run_state::unknown;
}

} // namespace

model_call::model_call(traffic& shared, model_job job)
    : m_shared(shared),
      m_activity(shared.active),
      m_job(std::move(job)),
      m_begin(steady_clock::now()),
      m_deadline(m_begin + m_job.timeout)
{
}

void model_call::serve(httplib::Response& response)
{
    response.set_header("X-Request-Id", m_job.request);
    const auto before = m_job.keyed
                            ? m_shared.control.find_request(m_job.request)
                            : std::string();
    const auto refused = before.empty() ? run() : attach(before);
    if (refused)
    {
        m_shared.log->info("event=refused request={} customer={} {}",
                           m_job.request, m_job.customer,
                           refused->what.message());
        write_problem(response, refused->what, refused->ran, m_job.request);
        note_served({});
        return;
    }
    if (m_job.stream)
        answer_stream(response);
    else
        answer_whole(response);
}

std::optional<model_call::refusal>
model_call::attach(const std::string& endpoint)
{
    m_billed = false;
    const auto routing = m_shared.control.snapshot();
    const auto* const object = find(routing->objects->endpoints, endpoint);
    const error lost{errc::outcome_unknown, "attach", endpoint,
                     "the run can't be reached"};
    if (object == nullptr)
        return refusal{lost, run_state::unknown};
    auto failed = start_on(endpoint, object->address);
    return failed ? std::optional(refusal{lost, run_state::unknown})
                  : std::nullopt;
}

std::optional<model_call::refusal> model_call::run()
{
    {
        const std::lock_guard lock(m_shared.mutex);
        note_request(m_shared.retries);
    }
    const auto held = reserve();
    if (!held)
        return refusal{held.error(), run_state::no};
    m_version = m_shared.endpoints.pick_version(m_job.service, m_job.path);
    for (;;)
    {
        auto refused = attempt();
        if (!refused || refused->what.code)
            return refused;
    }
}

result<void> model_call::reserve()
{
    return m_shared.control.reserve_tokens(m_job.request, m_job.customer,
                                           m_job.reserved);
}

result<void> model_call::assign(const std::string& endpoint)
{
    auto done = m_shared.control.assign_endpoint(m_job.request, endpoint);
    if (done)
        return done;
    // The second host fell silent. Under another id, so that nobody who has
    // seen the first one bills this run as well.
    m_shared.control.release_request(m_job.request);
    m_job.request += ".s";
    auto held = reserve();
    if (!held)
        return held;
    return m_shared.control.assign_endpoint(m_job.request, endpoint);
}

/// Makes one attempt. An empty refusal means that there should be another.
std::optional<model_call::refusal> model_call::attempt()
{
    m_attempts++;
    const auto wait =
        std::min(m_deadline, steady_clock::now() + m_shared.config.queue_limit);
    auto lease = m_shared.endpoints.acquire(
        {m_job.service, m_version, m_job.priority, wait, m_excluded});
    if (!lease)
    {
        m_shared.control.release_request(m_job.request);
        return refusal{lease.error(), m_ran};
    }
    m_lease = std::move(*lease);
    const auto assigned = assign(m_lease->endpoint());
    if (!assigned)
    {
        m_shared.control.release_request(m_job.request);
        return refusal{assigned.error(), m_ran};
    }
    return start_on(m_lease->endpoint(), m_lease->address());
}

engine_call model_call::make_call(const std::string& endpoint,
                                  const std::string& address) const
{
    return {address,          endpoint,      m_job.path,
            m_job.body,       m_job.request, m_job.customer,
            m_job.max_tokens, m_job.timeout, m_shared.config.progress_timeout};
}

std::optional<model_call::refusal>
model_call::start_on(const std::string& endpoint, const std::string& address)
{
    m_endpoint = endpoint;
    if (m_billed && finds_dead(make_call(endpoint, address)))
        return after_failure({false, 0, attempt_end::not_sent, false, 0, 0});
    m_stream = std::make_shared<engine_stream>(make_call(endpoint, address),
                                               m_job.stream,
                                               m_shared.config.stream_buffer);
    m_stream->start();
    const auto failed = m_stream->wait_for_first_event();
    m_first = steady_clock::now();
    if (!failed)
    {
        m_shared.endpoints.record_result(endpoint, true);
        return std::nullopt;
    }
    if (!m_billed)
        return refusal{{errc::outcome_unknown, "attach", endpoint, {}},
                       run_state::unknown};
    return after_failure(*failed);
}

/// A request that an endpoint died on is not sent to one that is dead already:
/// its death would be put down to the request. Others are sent without asking.
bool model_call::finds_dead(const engine_call& call) const
{
    {
        const std::lock_guard lock(m_shared.mutex);
        if (!m_shared.crashes.entries.contains(m_job.fingerprint))
            return false;
    }
    return probe_liveness(call) == liveness::dead;
}

model_call::refusal model_call::after_failure(const stream_outcome& failed)
{
    const bool crashed_again = note_crash_of(failed);
    if (crashed_again)
    {
        m_shared.control.release_request(m_job.request);
        return {{errc::quarantined, "run", m_endpoint, {}}, run_state::unknown};
    }
    if (retry_after(failed))
        return {};
    return give_up(failed);
}

/// Notes an endpoint that died on this request; the version is blamed for it
/// only if the request then runs elsewhere.
bool model_call::note_crash_of(const stream_outcome& outcome)
{
    m_shared.endpoints.record_result(m_endpoint, false);
    if (!outcome.endpoint_died)
    {
        if (outcome.end == attempt_end::failed ||
            outcome.end == attempt_end::may_have_run)
            note_sample(false);
        return false;
    }
    m_deferred_blame = m_version;
    bool crashed = false;
    {
        const std::lock_guard lock(m_shared.mutex);
        crashed = note_crash(m_shared.crashes, m_job.fingerprint,
                             steady_clock::now());
    }
    if (crashed)
        m_shared.control.quarantine_request(m_job.fingerprint);
    return crashed;
}

bool model_call::retry_after(const stream_outcome& outcome)
{
    m_shared.log->info("event=attempt_failed request={} customer={} "
                       "peer={} status={}",
                       m_job.request, m_job.customer, m_endpoint,
                       outcome.status);
    const bool callers_fault = outcome.status >= 400 && outcome.status < 500 &&
                               outcome.end == attempt_end::failed;
    const std::lock_guard lock(m_shared.mutex);
    const bool again = !callers_fault &&
                       may_retry(m_shared.retries, outcome.end, true,
                                 m_attempts, steady_clock::now(), m_deadline);
    if (!again)
        return false;
    if (outcome.end == attempt_end::may_have_run)
        m_ran = run_state::unknown;
    // An engine that is the only one left may know the run by its id, so that
    // asking it again doesn't run the request twice.
    m_excluded.insert(m_endpoint);
    if (outcome.end == attempt_end::may_have_run && !outcome.endpoint_died &&
        !m_shared.endpoints.has_candidate(m_job.service, m_excluded))
        m_excluded.erase(m_endpoint);
    m_lease.reset();
    const auto routing = m_shared.control.snapshot();
    const auto split = routing->splits.find(m_job.service);
    if (split != routing->splits.end())
        m_version = split->second.from;
    return true;
}

model_call::refusal model_call::give_up(const stream_outcome& outcome)
{
    if (outcome.end == attempt_end::may_have_run && !outcome.endpoint_died)
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
    m_shared.control.release_request(m_job.request);
    const auto code = outcome.end == attempt_end::may_have_run
                          ? errc::outcome_unknown
                          : errc::endpoint_failed;
    const auto ran = state_of(outcome.end);
    return {
        {code, "run", m_endpoint, "status " + std::to_string(outcome.status)},
        ran == run_state::no ? m_ran : ran};
}

void model_call::answer_stream(httplib::Response& response)
{
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
        "text/event-stream",
        [self = shared_from_this()](std::size_t, httplib::DataSink& sink)
        {
            return self->send_next(sink);
        },
        [self = shared_from_this()](bool)
        {
            self->leave_early();
        });
}

bool model_call::send_next(httplib::DataSink& sink)
{
    const auto text = m_stream->pull();
    if (text.empty())
        return send_end(sink);
    m_sent_bytes += text.size();
    m_sent_digest = hash_hex(m_sent_digest + text);
    return sink.write(text.data(), text.size());
}

bool model_call::send_end(httplib::DataSink& sink)
{
    const auto outcome = m_stream->outcome();
    settle(outcome);
    std::string text;
    if (outcome.complete)
    {
        // A comment line, which every client of event streams passes over.
        const nlohmann::json end{{"request", m_job.request},
                                 {"events", outcome.events},
                                 {"bytes", m_sent_bytes},
                                 {"digest", m_sent_digest}};
        text = ": end " + end.dump() + "\n\ndata: [DONE]\n\n";
    }
    else
    {
        const error what{errc::stream_broken, "stream", m_endpoint, {}};
        const nlohmann::json end{{"error",
                                  {{"message", what.message()},
                                   {"code", what.code.value()},
                                   {"ran", "yes"}}}};
        text = "data: " + end.dump() + "\n\n";
    }
    const bool sent = sink.write(text.data(), text.size());
    if (sent)
        sink.done();
    return sent;
}

void model_call::answer_whole(httplib::Response& response)
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

void model_call::leave_early()
{
    if (m_settled)
        return;
    m_stream->disconnect(
        m_job.keyed,
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
    note_sample(outcome.complete || outcome.status == 200);
    note_served(outcome);
    if (!m_billed)
        return;
    if (outcome.used_tokens > m_job.reserved)
        m_shared.log->error("event=usage_above_reservation request={} "
                            "customer={} peer={} used={} reserved={}",
                            m_job.request, m_job.customer, m_endpoint,
                            outcome.used_tokens, m_job.reserved);
    const auto tokens = std::min(outcome.used_tokens, m_job.reserved);
    const auto done = m_shared.control.settle_request(m_job.request, tokens);
    m_shared.log->info("event=settled request={} customer={} peer={} "
                       "tokens={} {}",
                       m_job.request, m_job.customer, m_endpoint, tokens,
                       done ? std::string() : done.error().message());
    m_shared.measures.count("rhubarbgrade_tokens_total",
                            "customer=\"" + m_job.customer + "\"",
                            static_cast<double>(tokens));
}

void model_call::note_served(const stream_outcome& outcome)
{
    const auto now = steady_clock::now();
    served_request served{m_job.customer, m_job.service, outcome.complete};
    if (outcome.complete)
        served.first_token_s = seconds_between(m_begin, m_first);
    if (outcome.events > 1 && m_job.stream)
        served.between_tokens_s = seconds_between(m_first, now) /
                                  static_cast<double>(outcome.events - 1);
    m_shared.objectives.note(*m_shared.control.snapshot()->objects, served,
                             std::chrono::system_clock::now());
    const auto labels = "service=\"" + m_job.service + "\",endpoint=\"" +
                        m_endpoint + "\",version=\"" + m_version + "\"";
    m_shared.measures.count("rhubarbgrade_requests_total", labels);
    if (!outcome.complete)
        m_shared.measures.count("rhubarbgrade_failures_total", labels);
    else
        m_shared.measures.observe("rhubarbgrade_first_byte_seconds",
                                  "service=\"" + m_job.service + "\"",
                                  served.first_token_s);
}

void model_call::note_sample(bool good)
{
    const auto routing = m_shared.control.snapshot();
    const auto split = routing->splits.find(m_job.service);
    if (!m_billed || split == routing->splits.end() ||
        split->second.move.empty())
        return;
    const auto& way = split->second;
    const double latency = good ? seconds_between(m_begin, m_first) : -1;
    m_shared.control.note(
        {way.move, m_job.path, m_version == way.to, good, latency});
    if (good && !m_deferred_blame.empty())
        m_shared.control.note(
            {way.move, m_job.path, m_deferred_blame == way.to, false, -1});
}

} // namespace rhubarbgrade
