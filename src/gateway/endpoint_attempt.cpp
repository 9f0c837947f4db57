#include "endpoint_attempt.hpp"

#include <array>   // array
#include <chrono>  // duration, seconds
#include <memory>  // make_unique
#include <string>  // string
#include <utility> // move

#include <boost/asio/as_tuple.hpp>          // as_tuple
#include <boost/asio/use_awaitable.hpp>     // use_awaitable
#include <boost/beast/core/span.hpp>        // span
#include <boost/beast/http/buffer_body.hpp> // buffer_body
#include <boost/beast/http/read.hpp>      // async_read_header, async_read_some
#include <boost/beast/http/span_body.hpp> // span_body
#include <boost/beast/http/write.hpp>     // async_write

#include <spdlog/fmt/fmt.h> // to_string
#include <spdlog/spdlog.h>  // info, warn

#include <rhubarbgrade/detail/routing/answer_status.hpp> // kind_of_status

#include "../store/socket_options.hpp" // ended_after_all, has_ended
#include "answer_writer.hpp"           // response_writer
#include "process_monitor.hpp"         // process_monitor

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Bytes read from an endpoint before they are forwarded. Bounds the memory
/// that a slow caller occupies, apart from the kernel's buffers.
constexpr std::size_t read_buffer_size = 4096;

/// Bytes of a body that are buffered before it is streamed to the caller; an
/// event stream is streamed from its first complete event on. If the endpoint
/// fails before that, the request can still be retried or answered with an
/// error.
constexpr std::size_t max_buffered_size = 65536;

/// Largest response header, in bytes.
constexpr std::uint32_t max_header_size = 32768;

/// Bytes of one body that are discarded before the connection is given up. An
/// endpoint in trouble may send without end.
constexpr std::size_t max_discarded_size = 65536;

/// Responses to other requests that are discarded before the connection is
/// given up.
constexpr int max_stale_responses = 4;

/// Interim heads that are skipped before the connection is given up.
constexpr int max_interim_heads = 8;

/// Interval at which an attempt finds out whether this host has lost its path
/// to the endpoint.
constexpr milliseconds path_check_interval{100};

/// Time in which an endpoint's refusal of a connection arrives, also at a host
/// that is late. What takes longer may be the host's own delay.
constexpr milliseconds longest_refusal{300};

constexpr unsigned misdirected = 421;

bool is_success(unsigned status)
{
    return status / 100 == 2;
}

/// Whether a response to a request for a stream is one. An endpoint may send
/// another document in its place.
bool has_events(const http::fields& fields)
{
    constexpr std::string_view event_stream = "text/event-stream";
    const auto type = fields[http::field::content_type];
    return type.empty() ||
           boost::beast::iequals(type.substr(0, event_stream.size()),
                                 {event_stream.data(), event_stream.size()});
}

/// Whether a head announces a body.
bool is_framed(const http::fields& fields)
{
    return fields.find(http::field::content_length) != fields.end() ||
           fields.find(http::field::transfer_encoding) != fields.end();
}

/// Statuses that by their HTTP semantics mean that the request was not
/// executed. Except for 421, the status alone proves nothing: the endpoint
/// confirms it by a header of its own, see platform::response_head::not_run.
bool implies_not_run(unsigned status)
{
    return status == 408 || status == misdirected || status == 429 ||
           status == 503;
}

} // namespace

endpoint_attempt::endpoint_attempt(endpoint_directory& directory,
                                   endpoint_ptr_t endpoint,
                                   response_writer& writer)
    : m_directory(directory), m_endpoint(std::move(endpoint)), m_writer(writer)
{
}

void endpoint_attempt::cancel()
{
    m_cancelled = true;
    boost::system::error_code ignored; // the descriptor is released anyway
    if (m_link)
        m_link->socket.close(ignored);
    if (m_inquiry)
        m_inquiry->cancel();
}

asio::awaitable<bool> endpoint_attempt::send(const attempt_params& params,
                                             attempt_report& report)
{
    using body_t = http::span_body<const char>;
    http::request<body_t> message;
    message.method_string(params.request.method_string());
    message.target(params.request.target());
    message.version(params.request.version());
    platform::copy_call_headers(params.request, message);
    platform::set_forward_head(params.head, message);
    const auto& body = params.request.body();
    message.body() = boost::beast::span<const char>(body.data(), body.size());
    if (!body.empty() || params.request.method() != http::verb::get)
        message.content_length(body.size());
    report.outcome = attempt_outcome::may_have_run;
    const auto [fault, count] =
        co_await http::async_write(m_link->socket, message, as_values);
    m_directory.count_bytes(count);
    if (fault && count == 0)
        report.outcome = attempt_outcome::not_sent;
    co_return !fault;
}

asio::awaitable<bool>
endpoint_attempt::read_one_head(const attempt_params& params,
                                std::unique_ptr<parser_t>& parser)
{
    for (int interim_heads = 0; interim_heads <= max_interim_heads;
         ++interim_heads)
    {
        parser = std::make_unique<parser_t>();
        parser->header_limit(max_header_size);
        parser->body_limit(boost::none);
        parser->skip(params.request.method() == http::verb::head);
        const auto [fault, count] = co_await http::async_read_header(
            m_link->socket, m_link->buffer, *parser, as_values);
        m_directory.count_bytes(count);
        if (fault)
            co_return false;
        const auto status = parser->get().result_int();
        const auto kind = kind_of_status(status, is_framed(parser->get()));
        if (kind == status_kind::final)
            co_return true;
        if (kind == status_kind::interim)
            continue;
        spdlog::warn("event=status_invalid request={} endpoint={} status={}",
                     params.request_id, m_endpoint->entry.id, status);
        co_return false;
    }
    co_return false;
}

asio::awaitable<bool>
endpoint_attempt::read_head(const attempt_params& params,
                            std::unique_ptr<parser_t>& parser,
                            platform::response_head& head)
{
    for (int stale_responses = 0; stale_responses <= max_stale_responses;
         ++stale_responses)
    {
        if (!co_await read_one_head(params, parser))
            co_return false;
        head = platform::decode_response(parser->get());
        const auto status = parser->get().result_int();
        if (head.id == params.request_id)
            co_return true;
        if (head.id.empty() && (head.not_run || status == misdirected))
            co_return true;
        // A late response to an earlier request on this connection.
        if (!co_await discard_body(*parser))
            co_return false;
    }
    co_return false;
}

asio::awaitable<bool> endpoint_attempt::discard_body(parser_t& parser)
{
    std::array<char, read_buffer_size> scratch{};
    std::size_t discarded = 0;
    while (!parser.is_done())
    {
        if (discarded > max_discarded_size)
            co_return false;
        parser.get().body().data = scratch.data();
        parser.get().body().size = scratch.size();
        const auto [fault, read] = co_await http::async_read_some(
            m_link->socket, m_link->buffer, parser, as_values);
        if (fault && fault != http::error::need_buffer)
            co_return false;
        discarded += scratch.size() - parser.get().body().size;
    }
    co_return true;
}

asio::awaitable<bool>
endpoint_attempt::forward_body(const attempt_params& params,
                               std::string_view bytes, attempt_report& report)
{
    if (!m_writer.begun())
    {
        report.body.append(bytes);
        const bool keep_buffering =
            params.is_event_stream
                ? report.body.find("\n\n") == std::string::npos
                : report.body.size() <= max_buffered_size;
        if (keep_buffering && report.body.size() <= max_buffered_size)
            co_return true;
        // Nothing is written of a stream whose first event is too long, so the
        // caller can be told that the endpoint failed.
        if (keep_buffering)
            co_return false;
        if (!params.claim_answer(report.status))
            co_return false;
        if (!co_await m_writer.begin(report.status, report.fields,
                                     params.is_event_stream))
            co_return false;
        const auto buffered = std::move(report.body);
        report.body.clear();
        co_return co_await m_writer.write_body(buffered,
                                               params.is_event_stream);
    }
    co_return co_await m_writer.write_body(bytes, params.is_event_stream);
}

asio::awaitable<void> endpoint_attempt::read_body(const attempt_params& params,
                                                  parser_t& parser,
                                                  attempt_report& report)
{
    std::array<char, read_buffer_size> chunk{};
    while (!parser.is_done())
    {
        auto& body = parser.get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        const auto [fault, count] = co_await http::async_read_some(
            m_link->socket, m_link->buffer, parser, as_values);
        const bool buffer_full = fault == http::error::need_buffer;
        // What had arrived before a cancellation must not reach the caller.
        if ((fault && !buffer_full) || m_cancelled)
        {
            record_end(false);
            co_return;
        }
        const auto received = chunk.size() - body.size;
        if (received != 0)
        {
            m_last_read_at = time_point_t::clock::now();
            ++m_reads;
        }
        m_directory.count_bytes(received);
        if (received != 0 && !m_relayed)
            m_directory.record_bytes(*m_endpoint, time_point_t::clock::now());
        if (received != 0 &&
            !co_await forward_body(params, {chunk.data(), received}, report))
        {
            report.forward_failed =
                m_writer.begun() && !m_writer.endpoint_failed();
            co_return;
        }
    }
    report.complete = true;
}

void endpoint_attempt::record_end(bool follows_bytes)
{
    if (!m_relayed && !m_cancelled && m_link->socket.is_open() &&
        has_ended(m_link->socket))
        m_end = m_directory.record_end(*m_endpoint, *m_link, follows_bytes);
}

bool endpoint_attempt::ended_after_bytes() const
{
    const auto tail = time_point_t::clock::now() - m_last_read_at;
    const auto ages = ages_of_arrivals(m_link->socket);
    // A host that is late reads at once what came apart.
    return tail <= longest_tail(m_last_read_at - m_sent_at, m_reads) &&
           ages.last_data - ages.last_segment <= longest_arrival_tick;
}

asio::awaitable<bool>
endpoint_attempt::ended_whole(const attempt_params& params, answer_end end)
{
    // The end of a relay looks the same, so it is not asked who has ended.
    process_finding found;
    if (needs_process(end) && m_end)
    {
        m_inquiry.emplace(m_directory, m_endpoint);
        found = co_await m_inquiry->run(*m_end);
        end.process = found.process;
        end.signs = found.signs;
        end.request_unread = !ended_after_all(m_link->socket);
    }
    const bool whole = is_whole(end);
    if (end.close_delimited || !whole)
        spdlog::info(
            "event=answer_ended request={} endpoint={} whole={} "
            "close_delimited={} inside_event={} events={} process={} "
            "request_unread={} leaving_ms={} entry_removed={} "
            "follows_bytes={} outlived_us={} waited_ms={}",
            params.request_id, m_endpoint->entry.id, whole, end.close_delimited,
            end.inside_event, m_writer.event_count(), name_of(end.process),
            end.request_unread,
            found.leaving_ms ? fmt::to_string(found.leaving_ms->count()) : "-",
            end.signs.entry_removed, end.signs.follows_bytes,
            end.signs.outlived ? fmt::to_string(end.signs.outlived->count())
                               : "-",
            found.waited.count());
    co_return whole && !m_cancelled;
}

void endpoint_attempt::classify(const platform::response_head& head,
                                bool forwardable, attempt_report& report)
{
    if (head.not_run || report.status == misdirected)
        report.outcome = attempt_outcome::refused;
    else if (forwardable && !report.complete)
        report.outcome = attempt_outcome::may_have_run;
    else
        report.outcome = attempt_outcome::failed;
}

asio::awaitable<attempt_report> endpoint_attempt::run(attempt_params params)
{
    const auto self = shared_from_this();
    const auto started_at = time_point_t::clock::now();
    auto report = co_await exchange(params);
    m_path_timer.reset();
    const bool waited =
        time_point_t::clock::now() - started_at >= longest_refusal;
    if (!report.complete && !m_relayed)
        report.path_failed =
            m_directory.is_cut(m_endpoint->entry.service) ||
            (report.outcome == attempt_outcome::not_sent &&
             ((waited && m_directory.is_late()) ||
              m_directory.may_be_cut(m_endpoint->entry.service)));
    co_return report;
}

void endpoint_attempt::watch_path()
{
    m_path_timer.emplace(m_link->socket.get_executor(), path_check_interval);
    m_path_timer->async_wait(
        [weak = weak_from_this()](auto fault)
        {
            const auto self = weak.lock();
            if (fault || !self || !self->m_link)
                return;
            if (!self->m_directory.is_silent(self->m_endpoint->entry.service))
                return self->watch_path();
            boost::system::error_code ignored; // the descriptor is released
            self->m_link->socket.close(ignored);
        });
}

asio::awaitable<attempt_report>
endpoint_attempt::exchange(const attempt_params& params)
{
    attempt_report report;
    const auto started_at = time_point_t::clock::now();
    const bool resumed = m_writer.begun();
    const auto events_before = m_writer.event_count();
    m_link = co_await m_directory.connect(m_endpoint, !params.repeatable);
    if (!m_link || m_cancelled)
        co_return report;
    m_relayed = m_link->relayed;
    // It may have begun to leave, or its zone may have been evacuated, while
    // the connection opened.
    if (!m_endpoint->listed || m_endpoint->evacuated)
    {
        m_directory.return_connection(*m_endpoint, std::move(m_link),
                                      time_point_t::clock::now());
        report.withheld = true;
        co_return report;
    }
    // What may run again does not wait for an answer that can't come.
    if (params.repeatable && !m_relayed)
        watch_path();
    std::unique_ptr<parser_t> parser;
    platform::response_head head;
    m_sent_at = started_at;
    endpoint_directory::record_sent(*m_endpoint, started_at);
    const bool answered = co_await send(params, report) &&
                          co_await read_head(params, parser, head);
    if (answered && !m_relayed)
        m_directory.record_bytes(*m_endpoint, time_point_t::clock::now());
    endpoint_directory::record_first_byte(*m_endpoint, started_at,
                                          time_point_t::clock::now());
    if (!answered)
    {
        if (report.outcome == attempt_outcome::may_have_run)
            record_end(false);
        report.connection_broken =
            report.outcome == attempt_outcome::may_have_run;
        co_return report;
    }
    const auto now = time_point_t::clock::now();
    report.latency_s = std::chrono::duration<double>(now - started_at).count();
    m_last_read_at = now;
    m_reads = 1;
    report.status = parser->get().result_int();
    report.fields = parser->get();
    m_directory.record_load(*m_endpoint, head, now);
    if (report.status != misdirected)
        m_directory.record_limit(*m_endpoint, head, started_at, now);
    const bool has_event_stream = params.is_event_stream &&
                                  is_success(report.status) &&
                                  has_events(report.fields);
    // A response that is not forwardable is read and discarded; the request
    // may then be retried. A resumed stream can only continue with events, and
    // a success must be signed and have no Content-Encoding.
    const bool forwardable = !head.not_run && !implies_not_run(report.status) &&
                             (!resumed || has_event_stream) &&
                             (!is_success(report.status) ||
                              (head.has_signature && !head.content_encoded));
    bool reusable = false;
    if (forwardable)
    {
        if (parser->need_eof() && !m_relayed)
            m_monitor = m_directory.monitor_answer(m_endpoint, now);
        attempt_params body_params = params;
        body_params.is_event_stream = has_event_stream;
        co_await read_body(body_params, *parser, report);
        report.answer_time = time_point_t::clock::now() - now;
        if (report.complete)
        {
            answer_end end;
            end.close_delimited = parser->need_eof();
            end.event_stream = body_params.is_event_stream;
            end.any_event = m_writer.event_count() > events_before;
            end.limit_reached = params.max_events &&
                                m_writer.event_count() >= *params.max_events;
            end.inside_event = m_writer.begun() ? m_writer.has_partial_event()
                                                : !report.body.empty();
            if (end.close_delimited)
                record_end(ended_after_bytes());
            report.complete = co_await ended_whole(params, end);
        }
        report.streamed = report.complete && m_writer.begun();
        reusable = report.complete;
        report.connection_broken = !report.complete && !report.forward_failed;
    }
    else
        reusable = co_await discard_body(*parser);
    classify(head, forwardable, report);
    // An endpoint may send a refusal once more. Without an id it could be taken
    // for the answer to the next request, so there is none on this connection.
    const bool identified = head.id == params.request_id;
    if (reusable && identified && !m_cancelled && parser->keep_alive() &&
        m_link->buffer.size() == 0)
    {
        if (head.keep_alive_seconds)
            m_link->idle_limit = std::chrono::seconds(*head.keep_alive_seconds);
        m_directory.return_connection(*m_endpoint, std::move(m_link),
                                      time_point_t::clock::now());
    }
    m_link.reset();
    co_return report;
}

} // namespace rhubarbgrade
