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

/// Connections tried for one run.
constexpr int connection_attempts = 3;

/// Events beyond max_tokens that end a stream: the last ones carry no token.
constexpr std::uint64_t events_beyond = 2;

/// Bytes of an answer that is not a stream.
constexpr std::size_t document_limit = 8U << 20U;

constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view done_event = "data: [DONE]\n\n";

} // namespace

engine_stream::engine_stream(engine_call call, bool events, std::size_t buffer)
    : m_call(std::move(call)), m_is_events(events), m_limit(buffer)
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
    for (int attempt = 1; attempt <= connection_attempts; ++attempt)
        if (run_once(attempt))
            break;
    finish();
}

bool engine_stream::run_once(int attempt)
{
    {
        const std::lock_guard lock(m_mutex);
        m_to_skip = m_outcome.events;
        m_splitter = std::make_shared<sse_splitter>();
        m_document.clear();
    }
    const auto limit = m_is_events ? m_call.progress : m_call.timeout;
    auto client = make_client(m_call, limit);
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
        return take_bytes({data, size});
    };
    httplib::Response response;
    auto problem = httplib::Error::Success;
    client.send(request, response, problem);
    const std::lock_guard lock(m_mutex);
    if (problem == httplib::Error::Success && !m_is_events)
        end_document();
    const bool answered = m_outcome.status != 0;
    if (!answered && attempt == 1)
        m_outcome.end = end_of(problem);
    // A refusal of a later connection doesn't undo what the first one ran.
    if (answered && m_outcome.status != 200 && attempt == 1)
        m_outcome.end = end_of_status(m_outcome.status);
    // Before the engine has answered, the caller of this decides on a retry;
    // after it, the run goes on over a new connection.
    return m_outcome.complete || m_cancel || !answered ||
           m_outcome.status != 200;
}

bool engine_stream::take_bytes(std::string_view bytes)
{
    if (!m_is_events)
        return take_document(bytes);
    return m_splitter->add(bytes,
                           [this](std::string_view event)
                           {
                               return take_event(event);
                           });
}

bool engine_stream::take_document(std::string_view bytes)
{
    const std::lock_guard lock(m_mutex);
    m_document.append(bytes);
    return !m_cancel && m_document.size() <= document_limit;
}

void engine_stream::end_document()
{
    if (m_outcome.status != 200)
        return;
    note_usage(m_document);
    m_outcome.events = 1;
    m_outcome.complete = true;
    if (!m_left)
        m_events.push_back(std::move(m_document));
}

bool engine_stream::take_event(std::string_view event)
{
    std::unique_lock lock(m_mutex);
    if (event == done_event)
    {
        m_outcome.complete = true;
        return true;
    }
    if (m_to_skip > 0)
    {
        m_to_skip--;
        return true;
    }
    m_changed.wait(lock,
                   [this]
                   {
                       return m_left || m_buffered < m_limit;
                   });
    if (m_cancel || m_outcome.events >= m_call.max_tokens + events_beyond)
    {
        m_cancel = true;
        return false;
    }
    m_outcome.events++;
    m_outcome.used = std::max(m_outcome.used, m_outcome.events);
    if (event.starts_with(data_prefix))
        note_usage(event.substr(data_prefix.size()));
    if (!m_left)
    {
        m_buffered += event.size();
        m_events.emplace_back(event);
        m_changed.notify_all();
    }
    return true;
}

void engine_stream::note_usage(std::string_view document)
{
    if (document.find("\"usage\"") == std::string_view::npos)
        return;
    const auto body = json::parse(document, nullptr, false);
    if (!body.is_object() || !body.contains("usage"))
        return;
    const auto& usage = body["usage"];
    if (usage.is_object() && usage.contains("total_tokens"))
        m_outcome.used = usage["total_tokens"].get<token_count_t>();
}

void engine_stream::finish()
{
    std::unique_lock lock(m_mutex);
    const bool cancel = m_cancel && !m_outcome.complete;
    lock.unlock();
    const auto used =
        cancel ? cancel_run(m_call) : std::optional<token_count_t>();
    const bool died = !m_outcome.complete && !cancel &&
                      m_outcome.end == attempt_end::may_have_run &&
                      liveness_of(m_call) == liveness::dead;
    lock.lock();
    m_outcome.endpoint_died = died;
    if (used)
        m_outcome.used = *used;
    m_phase = phase::ended;
    m_changed.notify_all();
    const auto ended = std::exchange(m_ended, nullptr);
    const auto outcome = m_outcome;
    lock.unlock();
    if (ended)
        ended(outcome);
}

std::optional<stream_outcome> engine_stream::wait_head()
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
    m_buffered = 0;
    m_changed.notify_all();
    return text;
}

stream_outcome engine_stream::outcome() const
{
    const std::lock_guard lock(m_mutex);
    return m_outcome;
}

void engine_stream::leave(bool finish, ended_t ended)
{
    std::unique_lock lock(m_mutex);
    m_left = true;
    m_cancel = m_cancel || !finish;
    m_events.clear();
    m_changed.notify_all();
    if (m_phase != phase::ended)
    {
        m_ended = std::move(ended);
        return;
    }
    const auto outcome = m_outcome;
    lock.unlock();
    ended(outcome);
}

std::optional<token_count_t> cancel_run(const engine_call& call)
{
    auto client = make_client(call, call.progress);
    const auto answer = client.Delete("/v1/streams/" + call.request);
    return answer ? used_of(answer->status, answer->body) : std::nullopt;
}

} // namespace rhubarbgrade
