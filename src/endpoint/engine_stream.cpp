#include <rhubarbgrade/detail/endpoint/engine_stream.hpp>

#include <algorithm>   // max
#include <memory>      // make_shared
#include <mutex>       // lock_guard, unique_lock
#include <optional>    // nullopt, optional
#include <string>      // string
#include <string_view> // string_view
#include <thread>      // thread
#include <utility>     // exchange, move

#include <httplib.h>         // Client
#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/endpoint/sse_splitter.hpp> // sse_splitter

#include "engine_request.hpp" // make_client, make_request

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;

/// Maximum number of connections per run, including the first one.
constexpr int max_connection_attempts = 3;

/// Events allowed beyond max_tokens before the run is cancelled; the last
/// events of a stream carry no token.
constexpr std::uint64_t extra_events = 2;

/// Maximum size of a response that is not an event stream.
constexpr std::size_t max_document_bytes = 8U << 20U;

constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view done_event = "data: [DONE]\n\n";

} // namespace

engine_stream::engine_stream(engine_call call, bool is_event_stream,
                             std::size_t buffer_limit)
    : m_call(std::move(call)),
      m_is_event_stream(is_event_stream),
      m_buffer_limit(buffer_limit)
{
}

void engine_stream::start()
{
    std::thread(
        [self = shared_from_this()]
        {
            self->run();
        })
        .detach();
}

void engine_stream::run()
{
    for (int attempt = 1; attempt <= max_connection_attempts; ++attempt)
        if (run_once(attempt))
            break;
    finish();
}

bool engine_stream::run_once(int attempt)
{
    {
        const std::lock_guard lock(m_mutex);
        m_events_to_skip = m_outcome.events;
        m_splitter = std::make_shared<sse_splitter>();
        m_document.clear();
    }
    const auto read_timeout =
        m_is_event_stream ? m_call.progress_timeout : m_call.timeout;
    auto client = make_client(m_call, read_timeout);
    auto request = make_request(m_call);
    request.response_handler = [this](const httplib::Response& response)
    {
        const std::lock_guard lock(m_mutex);
        m_outcome.status = response.status;
        if (response.status == 200 && m_phase == phase::opening)
            m_phase = phase::streaming;
        m_changed.notify_all();
        return response.status == 200;
    };
    request.content_receiver =
        [this](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        return receive_bytes({data, size});
    };
    httplib::Response response;
    auto transport_error = httplib::Error::Success;
    client.send(request, response, transport_error);
    const std::lock_guard lock(m_mutex);
    if (transport_error == httplib::Error::Success && !m_is_event_stream)
        complete_document();
    const bool answered = m_outcome.status != 0;
    if (!answered && attempt == 1)
        m_outcome.end = classify_error(transport_error);
    // An error status on a later connection does not change the outcome: the
    // run was started by the first one.
    if (answered && m_outcome.status != 200 && attempt == 1)
        m_outcome.end = classify_status(m_outcome.status);
    // Without a response, the user of the stream decides about a retry. Once
    // the engine has responded, the run is resumed on a new connection.
    return m_outcome.complete || m_cancel_requested || !answered ||
           m_outcome.status != 200;
}

bool engine_stream::receive_bytes(std::string_view bytes)
{
    if (!m_is_event_stream)
        return append_document(bytes);
    return m_splitter->add(bytes,
                           [this](std::string_view event)
                           {
                               return receive_event(event);
                           });
}

bool engine_stream::append_document(std::string_view bytes)
{
    const std::lock_guard lock(m_mutex);
    m_document.append(bytes);
    return !m_cancel_requested && m_document.size() <= max_document_bytes;
}

void engine_stream::complete_document()
{
    if (m_outcome.status != 200)
        return;
    record_usage(m_document);
    m_outcome.events = 1;
    m_outcome.complete = true;
    if (!m_disconnected)
        m_events.push_back(std::move(m_document));
}

bool engine_stream::receive_event(std::string_view event)
{
    std::unique_lock lock(m_mutex);
    if (event == done_event)
    {
        m_outcome.complete = true;
        return true;
    }
    if (m_events_to_skip > 0)
    {
        m_events_to_skip--;
        return true;
    }
    m_changed.wait(lock,
                   [this]
                   {
                       return m_disconnected ||
                              m_buffered_bytes < m_buffer_limit;
                   });
    if (m_cancel_requested ||
        m_outcome.events >= m_call.max_tokens + extra_events)
    {
        m_cancel_requested = true;
        return false;
    }
    m_outcome.events++;
    m_outcome.used_tokens = std::max(m_outcome.used_tokens, m_outcome.events);
    if (event.starts_with(data_prefix))
        record_usage(event.substr(data_prefix.size()));
    if (!m_disconnected)
    {
        m_buffered_bytes += event.size();
        m_events.emplace_back(event);
        m_changed.notify_all();
    }
    return true;
}

void engine_stream::record_usage(std::string_view document)
{
    if (document.find("\"usage\"") == std::string_view::npos)
        return;
    const auto body = json::parse(document, nullptr, false);
    if (!body.is_object() || !body.contains("usage"))
        return;
    const auto& usage = body["usage"];
    if (usage.is_object() && usage.contains("total_tokens"))
        m_outcome.used_tokens = usage["total_tokens"].get<token_count_t>();
}

void engine_stream::finish()
{
    std::unique_lock lock(m_mutex);
    const bool cancel = m_cancel_requested && !m_outcome.complete;
    lock.unlock();
    const auto used_tokens =
        cancel ? cancel_run(m_call) : std::optional<token_count_t>();
    const bool died = !m_outcome.complete && !cancel &&
                      m_outcome.end == attempt_outcome::may_have_run &&
                      probe_liveness(m_call) == liveness::dead;
    lock.lock();
    m_outcome.endpoint_died = died;
    if (used_tokens)
        m_outcome.used_tokens = *used_tokens;
    m_phase = phase::ended;
    m_changed.notify_all();
    const auto on_end = std::exchange(m_on_end, nullptr);
    const auto outcome = m_outcome;
    lock.unlock();
    if (on_end)
        on_end(outcome);
}

std::optional<stream_outcome> engine_stream::wait_for_first_event()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock,
                   [this]
                   {
                       return m_phase == phase::ended ||
                              (m_phase == phase::streaming &&
                               !m_events.empty());
                   });
    if (m_phase == phase::ended && m_events.empty() && !m_outcome.complete)
        return m_outcome;
    return std::nullopt;
}

std::string engine_stream::pull()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock,
                   [this]
                   {
                       return !m_events.empty() || m_phase == phase::ended;
                   });
    std::string text;
    for (const auto& event : std::exchange(m_events, {}))
        text += event;
    m_buffered_bytes = 0;
    m_changed.notify_all();
    return text;
}

stream_outcome engine_stream::outcome() const
{
    const std::lock_guard lock(m_mutex);
    return m_outcome;
}

void engine_stream::disconnect(bool run_to_end, end_handler_t on_end)
{
    std::unique_lock lock(m_mutex);
    m_disconnected = true;
    m_cancel_requested = m_cancel_requested || !run_to_end;
    m_events.clear();
    m_changed.notify_all();
    if (m_phase != phase::ended)
    {
        m_on_end = std::move(on_end);
        return;
    }
    const auto outcome = m_outcome;
    lock.unlock();
    on_end(outcome);
}

std::optional<token_count_t> cancel_run(const engine_call& call)
{
    auto client = make_client(call, call.progress_timeout);
    const auto answer = client.Delete("/v1/streams/" + call.request);
    return answer ? parse_usage(answer->status, answer->body) : std::nullopt;
}

} // namespace rhubarbgrade
