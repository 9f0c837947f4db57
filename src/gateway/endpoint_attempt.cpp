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

#include "answer_writer.hpp" // answer_writer

namespace rhubarbgrade
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Bytes taken from an endpoint before they are passed on; what a slow caller
/// makes a host hold, beside the kernel's buffers.
constexpr std::size_t piece_size = 4096;

/// Up to this size a plain answer is held until it is whole, so that one that
/// breaks off can be told as such.
constexpr std::size_t held_size = 65536;

constexpr std::uint32_t head_limit = 32768;

/// Answers to other requests that are read and dropped on one connection.
constexpr int most_strays = 4;

constexpr unsigned misdirected = 421;

bool is_success(unsigned status)
{
    return status / 100 == 2;
}

/// Statuses that promise that a request hasn't run; an endpoint's word for it
/// is its mark, not the status.
bool promises_not_run(unsigned status)
{
    return status == 408 || status == misdirected || status == 429 ||
           status == 503;
}

} // namespace

endpoint_attempt::endpoint_attempt(endpoint_directory& directory,
                                   endpoint_ptr_t endpoint,
                                   answer_writer& writer)
    : m_directory(directory), m_endpoint(std::move(endpoint)), m_writer(writer)
{
}

void endpoint_attempt::cancel()
{
    m_cancelled = true;
    boost::system::error_code ignored; // it is closed either way
    if (m_link)
        m_link->socket.close(ignored);
}

asio::awaitable<bool> endpoint_attempt::send(const attempt_plan& plan,
                                             attempt_report& report)
{
    using body_t = http::span_body<const char>;
    http::request<body_t> message;
    message.method_string(plan.request.method_string());
    message.target(plan.request.target());
    message.version(plan.request.version());
    platform::copy_call_headers(plan.request, message);
    platform::set_forward_head(plan.head, message);
    const auto& body = plan.request.body();
    message.body() = boost::beast::span<const char>(body.data(), body.size());
    if (!body.empty() || plan.request.method() != http::verb::get)
        message.content_length(body.size());
    report.end = attempt_end::may_have_run;
    const auto [fault, count] =
        co_await http::async_write(m_link->socket, message, as_values);
    if (fault && count == 0)
        report.end = attempt_end::not_sent;
    co_return !fault;
}

asio::awaitable<bool>
endpoint_attempt::read_head(const attempt_plan& plan,
                            std::unique_ptr<parser_t>& parser,
                            platform::answer_head& head)
{
    for (int strays = 0; strays <= most_strays; ++strays)
    {
        parser = std::make_unique<parser_t>();
        parser->header_limit(head_limit);
        parser->body_limit(boost::none);
        parser->skip(plan.request.method() == http::verb::head);
        const auto [fault, count] = co_await http::async_read_header(
            m_link->socket, m_link->buffer, *parser, as_values);
        if (fault)
            co_return false;
        head = platform::decode_answer(parser->get());
        const auto status = parser->get().result_int();
        if (head.id == plan.request_id)
            co_return true;
        if (head.id.empty() && (head.not_run || status == misdirected))
            co_return true;
        // An answer to another request, late on this connection.
        if (!co_await drop_body(*parser))
            co_return false;
    }
    co_return false;
}

asio::awaitable<bool> endpoint_attempt::drop_body(parser_t& parser)
{
    std::array<char, piece_size> dropped{};
    while (!parser.is_done())
    {
        parser.get().body().data = dropped.data();
        parser.get().body().size = dropped.size();
        const auto [fault, read] = co_await http::async_read_some(
            m_link->socket, m_link->buffer, parser, as_values);
        if (fault && fault != http::error::need_buffer)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> endpoint_attempt::pass_on(const attempt_plan& plan,
                                                std::string_view bytes,
                                                attempt_report& report)
{
    if (!m_writer.begun())
    {
        report.body.append(bytes);
        const bool hold = plan.events
                              ? report.body.find("\n\n") == std::string::npos
                              : report.body.size() <= held_size;
        if (hold && report.body.size() <= held_size)
            co_return true;
        if (!co_await m_writer.begin(report.status, report.fields,
                                     plan.keep_alive))
            co_return false;
        const auto held = std::move(report.body);
        report.body.clear();
        co_return co_await m_writer.add(held, plan.events);
    }
    co_return co_await m_writer.add(bytes, plan.events);
}

asio::awaitable<void> endpoint_attempt::read_body(const attempt_plan& plan,
                                                  parser_t& parser,
                                                  attempt_report& report)
{
    std::array<char, piece_size> piece{};
    while (!parser.is_done())
    {
        auto& body = parser.get().body();
        body.data = piece.data();
        body.size = piece.size();
        const auto [fault, count] = co_await http::async_read_some(
            m_link->socket, m_link->buffer, parser, as_values);
        const bool full = fault == http::error::need_buffer;
        if (fault && !full)
            co_return;
        const auto got = piece.size() - body.size;
        if (got != 0 && !co_await pass_on(plan, {piece.data(), got}, report))
        {
            report.caller_lost = true;
            co_return;
        }
    }
    report.whole = true;
}

void endpoint_attempt::judge(const platform::answer_head& head, bool passable,
                             attempt_report& report)
{
    if (head.not_run || report.status == misdirected)
        report.end = attempt_end::refused;
    else if (passable && !report.whole)
        report.end = attempt_end::may_have_run;
    else
        report.end = attempt_end::failed;
}

asio::awaitable<attempt_report> endpoint_attempt::run(attempt_plan plan)
{
    const auto self = shared_from_this();
    attempt_report report;
    const auto begun = time_point_t::clock::now();
    const bool resumed = m_writer.begun();
    m_link = co_await m_directory.connect(m_endpoint, !plan.repeatable);
    if (!m_link || m_cancelled)
        co_return report;
    std::unique_ptr<parser_t> parser;
    platform::answer_head head;
    if (!co_await send(plan, report) || !co_await read_head(plan, parser, head))
    {
        report.broken = report.end == attempt_end::may_have_run;
        co_return report;
    }
    const auto now = time_point_t::clock::now();
    report.latency_s = std::chrono::duration<double>(now - begun).count();
    report.status = parser->get().result_int();
    report.fields = parser->get();
    endpoint_directory::note_load(*m_endpoint, head, now);
    // What may not go to the caller is held, not passed on as it comes.
    const bool passable =
        !head.not_run && !promises_not_run(report.status) &&
        (!resumed || is_success(report.status)) &&
        (!is_success(report.status) || (head.has_signature && !head.encoded));
    bool reusable = false;
    if (passable)
    {
        attempt_plan passed = plan;
        passed.events = plan.events && is_success(report.status);
        co_await read_body(passed, *parser, report);
        report.written = report.whole && m_writer.begun();
        reusable = report.whole;
        report.broken = !report.whole && !report.caller_lost;
    }
    else
        reusable = co_await drop_body(*parser);
    judge(head, passable, report);
    if (reusable && !m_cancelled && parser->keep_alive() &&
        m_link->buffer.size() == 0)
    {
        if (head.idle_seconds)
            m_link->idle_limit = std::chrono::seconds(*head.idle_seconds);
        m_directory.keep(*m_endpoint, std::move(m_link),
                         time_point_t::clock::now());
    }
    m_link.reset();
    co_return report;
}

} // namespace rhubarbgrade
