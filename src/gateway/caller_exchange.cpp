#include "caller_exchange.hpp"

#include <algorithm>   // max, min
#include <chrono>      // duration_cast
#include <memory>      // make_shared
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move

#include <rhubarbgrade/detail/base/hash.hpp>      // hash64
#include <rhubarbgrade/detail/routing/repeat.hpp> // may_repeat

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned unauthorized = 401;
constexpr unsigned payment_required = 402;
constexpr unsigned not_found = 404;
constexpr unsigned too_many = 429;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;

/// Statuses from here on are failures of the endpoint.
constexpr unsigned first_error = 500;

/// Retry-After is spread from the first value over the second, so that those
/// refused together don't come back together.
constexpr milliseconds least_pause{250};
constexpr milliseconds pause_spread{500};

/// Told to a caller whose request crashes endpoints; long, since it never runs.
constexpr milliseconds quarantine_pause{5000};

/// Part of a route's objective that a request may wait for tokens or a place.
constexpr int wait_part = 2;

std::string_view host_name(const caller_request_t& request, std::string& into)
{
    const auto value = request[boost::beast::http::field::host];
    into.assign(value.data(), value.size());
    for (auto& each : into)
        if (each >= 'A' && each <= 'Z')
            each = static_cast<char>(each - 'A' + 'a');
    return std::string_view(into).substr(0, into.find(':'));
}

std::string_view path_of(const caller_request_t& request)
{
    const std::string_view target(request.target().data(),
                                  request.target().size());
    return target.substr(0, target.find('?'));
}

const std::string& pick_service(const route& from,
                                const random_source_t& random)
{
    double sum = 0;
    for (const auto& each : from.services)
        sum += each.weight;
    constexpr double steps = 1U << 20U;
    auto at = sum * static_cast<double>(random() % (1U << 20U)) / steps;
    for (const auto& each : from.services)
    {
        if (at < each.weight)
            return each.service;
        at -= each.weight;
    }
    return from.services.back().service;
}

/// Tokens that an event is charged for; all of them where it isn't configured.
token_count_t tokens_of_event(const pool_service& service,
                              const platform::call_head& head)
{
    if (const auto& engine = service.engine)
        return engine->tokens_per_event;
    return head.answer_tokens_limit;
}

} // namespace

caller_exchange::caller_exchange(std::shared_ptr<caller_session> session,
                                 caller_request_t request,
                                 traffic_context& context)
    : m_session(std::move(session)),
      m_request(std::move(request)),
      m_context(context),
      m_view(context.view),
      m_head(platform::decode_call(m_request)),
      m_started(time_point_t::clock::now()),
      m_deadline(m_started),
      m_deadline_timer(context.executor),
      m_writer(m_session->socket())
{
}

void caller_exchange::leave()
{
    m_left = true;
    ++m_context.counters.left;
    if (m_attempt)
        m_attempt->cancel();
}

void caller_exchange::start_deadline()
{
    m_deadline_timer.expires_at(m_deadline);
    m_deadline_timer.async_wait(
        [weak = weak_from_this()](auto fault)
        {
            const auto self = weak.lock();
            if (fault || !self)
                return;
            self->m_expired = true;
            if (self->m_attempt)
                self->m_attempt->cancel();
            if (self->m_writer.begun())
                self->m_session->abort();
        });
}

milliseconds caller_exchange::retry_pause()
{
    return least_pause +
           milliseconds(m_context.random() %
                        static_cast<std::uint64_t>(pause_spread.count()));
}

asio::awaitable<bool> caller_exchange::refuse(own_answer answer)
{
    m_closing = m_context.stopping;
    auto message = make_own_answer(answer);
    platform::set_answer_id(message, m_head.id);
    message.keep_alive(!m_closing && m_request.keep_alive());
    if (answer.status == bad_gateway || answer.status == gateway_timeout)
        ++m_context.counters.failed;
    else
        ++m_context.counters.refused;
    co_return co_await m_writer.write_whole(std::move(message));
}

std::uint64_t caller_exchange::fingerprint() const
{
    const std::string_view target(m_request.target().data(),
                                  m_request.target().size());
    return hash64(m_request.body(), hash64(target, hash64(m_head.key)));
}

std::optional<own_answer> caller_exchange::check_request()
{
    if (!m_view->configuration)
        return own_answer{unavailable, "no configuration yet", retry_pause()};
    const auto& configuration = *m_view->configuration;
    std::string host;
    m_route = find_route(configuration, host_name(m_request, host),
                         path_of(m_request));
    if (m_route == nullptr)
        return own_answer{not_found, "no such route", {}};
    if (!m_head.key.empty())
        m_customer = find_customer(configuration, m_head.key);
    if (configuration.keys_needed && !m_route->open && m_customer == nullptr)
        return own_answer{unauthorized, "unknown key", {}};
    if (!m_view->quarantined.empty() &&
        m_view->quarantined.contains(fingerprint()))
        return own_answer{unavailable, "the request has crashed endpoints",
                          quarantine_pause};
    m_service = pick_service(*m_route, m_context.random);
    const auto wait = m_head.deadline
                          ? std::min(*m_head.deadline, m_route->timeout)
                          : m_route->timeout;
    m_deadline = m_started + wait;
    return std::nullopt;
}

asio::awaitable<bool> caller_exchange::admitted()
{
    const auto bound = m_head.prompt_tokens + m_head.answer_tokens_limit;
    if (m_customer == nullptr || !m_customer->prepaid || bound == 0)
        co_return true;
    const auto until =
        std::min(m_deadline, m_started + m_route->objective / wait_part);
    const auto end =
        co_await m_context.wallets.reserve(m_customer->name, bound, until);
    if (end == reserve_end::reserved)
    {
        m_bound = bound;
        co_return true;
    }
    if (m_left)
        co_return false;
    if (end == reserve_end::exhausted)
        co_await refuse({payment_required, "the budget is used up", {}});
    else
        co_await refuse(
            {too_many, "tokens are not within reach", retry_pause()});
    co_return false;
}

void caller_exchange::settle()
{
    if (m_bound == 0)
        return;
    token_count_t used = 0;
    if (m_may_have_run)
    {
        const auto& services = m_view->configuration->services;
        const auto service = services.find(m_service);
        const auto tokens_per_event =
            service == services.end()
                ? m_head.answer_tokens_limit
                : tokens_of_event(service->second, m_head);
        used = m_head.prompt_tokens +
               std::min(m_head.answer_tokens_limit,
                        m_writer.events() * tokens_per_event);
    }
    m_context.wallets.settle(m_customer->name, m_bound, used);
    m_bound = 0;
}

asio::awaitable<endpoint_ptr_t> caller_exchange::find_endpoint()
{
    endpoint_wish wish;
    wish.service = m_service;
    wish.parts = m_head.parts;
    wish.prompt_tokens = m_head.prompt_tokens;
    wish.tried = m_tried;
    wish.repeatable = m_route->kind == call_kind::idempotent;
    const auto until =
        std::min(m_deadline, m_started + m_route->objective / wait_part);
    for (;;)
    {
        auto found =
            m_context.directory.choose(wish, time_point_t::clock::now());
        if (found || m_left || m_expired)
            co_return found;
        if (!co_await m_context.room.wait(m_service, until))
            co_return nullptr;
    }
}

bool caller_exchange::may_repeat(const attempt_report& report)
{
    const auto now = time_point_t::clock::now();
    repeat_question question;
    question.kind = m_route->kind;
    question.resumable = m_route->resumable;
    question.end = report.end;
    question.answer_begun = m_writer.begun();
    question.sends = static_cast<int>(m_tried.size());
    question.runs = static_cast<int>(m_tried.size());
    question.max_runs = m_route->max_attempts;
    question.left = std::chrono::duration_cast<milliseconds>(m_deadline - now);
    const auto answer = rhubarbgrade::may_repeat(question);
    if (answer != repeat_answer::budgeted)
        return answer == repeat_answer::free;
    const auto& bounds = m_context.bounds;
    const shared_retry_limit limit{bounds.retry_ratio, bounds.retry_slack,
                                   bounds.retry_window, m_context.view->hosts};
    if (!take_retry(m_context.retries[m_service], limit, now))
        return false;
    ++m_context.counters.retried;
    return true;
}

void caller_exchange::note_sample(const pool_endpoint& endpoint,
                                  const attempt_report& report)
{
    if (report.end == attempt_end::not_sent && !report.whole)
        return;
    const bool good = m_left || (report.whole && report.status < first_error);
    auto latency = report.latency_s;
    // A caller that left without a byte has waited at least so long.
    if (m_left && latency < 0)
        latency = std::chrono::duration<double>(time_point_t::clock::now() -
                                                m_started)
                      .count();
    m_context.sample(
        {m_service, endpoint.entry.version, m_route->name, good, latency});
}

asio::awaitable<bool> caller_exchange::finish(attempt_report report)
{
    ++m_context.counters.answered;
    m_closing = m_context.stopping;
    if (report.written)
        co_return co_await m_writer.end();
    caller_answer_t answer;
    constexpr unsigned http_1_1 = 11;
    answer.version(http_1_1);
    answer.result(report.status);
    platform::copy_answer_headers(report.fields, answer);
    answer.body() = std::move(report.body);
    answer.content_length(answer.body().size());
    answer.keep_alive(!m_closing && m_request.keep_alive());
    co_return co_await m_writer.write_whole(std::move(answer));
}

platform::forward_head
caller_exchange::make_head(const pool_endpoint& endpoint) const
{
    platform::forward_head head;
    head.endpoint_id = endpoint.entry.id;
    if (m_customer != nullptr)
        head.customer = m_customer->name;
    head.time_left = std::chrono::duration_cast<milliseconds>(
        m_deadline - time_point_t::clock::now());
    if (m_writer.begun())
        head.after_event = m_writer.last_event();
    return head;
}

asio::awaitable<attempt_report>
caller_exchange::attempt(endpoint_ptr_t endpoint)
{
    m_tried.push_back(endpoint);
    ++endpoint->in_flight;
    endpoint->prompt_tokens_waiting += m_head.prompt_tokens;
    m_attempt = std::make_shared<endpoint_attempt>(m_context.directory,
                                                   endpoint, m_writer);
    const bool repeatable =
        m_route->kind == call_kind::idempotent || m_route->resumable;
    const attempt_plan plan{
        m_request,  make_head(*endpoint),
        m_head.id,  m_route->kind == call_kind::stream,
        repeatable, m_request.keep_alive() && !m_context.stopping};
    auto report = co_await m_attempt->run(plan);
    m_attempt.reset();
    --endpoint->in_flight;
    endpoint->prompt_tokens_waiting -= m_head.prompt_tokens;
    m_context.room.wake(m_service);
    co_return report;
}

void caller_exchange::note_attempt(pool_endpoint& endpoint,
                                   const attempt_report& report)
{
    const auto now = time_point_t::clock::now();
    if (report.whole || report.end == attempt_end::may_have_run ||
        report.end == attempt_end::failed)
        m_may_have_run = true;
    // An attempt that was cut short by this side says nothing of the endpoint.
    if (!m_left && !m_expired)
    {
        m_context.directory.note_end(
            endpoint, report.whole && report.status < first_error, now);
        if (report.broken)
            endpoint_directory::note_broken(endpoint, fingerprint(), now);
    }
    note_sample(endpoint, report);
    if (report.whole)
        for (const auto& part : m_head.parts)
            endpoint.parts.note(part.id, now);
}

asio::awaitable<bool> caller_exchange::serve()
{
    attempt_report report;
    for (;;)
    {
        const auto endpoint = co_await find_endpoint();
        if (m_left)
            co_return false;
        if (!endpoint)
            break;
        report = co_await attempt(endpoint);
        note_attempt(*endpoint, report);
        if (m_left || report.caller_lost)
            co_return false;
        const bool good =
            report.whole && (report.status < first_error || m_writer.begun());
        if (good || m_expired || !may_repeat(report))
            break;
        m_writer.drop_rest();
    }
    if (report.whole)
        co_return co_await finish(std::move(report));
    if (m_writer.begun())
        co_return false; // a part of an answer must not look whole
    own_answer answer{m_expired ? gateway_timeout : bad_gateway,
                      "the request may have run",
                      {}};
    if (!m_may_have_run)
        answer = {unavailable, "no endpoint can take the request now",
                  retry_pause()};
    co_return co_await refuse(answer);
}

asio::awaitable<bool> caller_exchange::run()
{
    const auto self = shared_from_this();
    ++m_context.counters.requests;
    ++m_context.in_flight;
    bool whole = false;
    if (const auto fault = check_request())
        whole = co_await refuse(*fault);
    else
    {
        start_deadline();
        if (co_await admitted())
        {
            note_first(m_context.retries[m_service],
                       {m_context.bounds.retry_ratio,
                        m_context.bounds.retry_slack,
                        m_context.bounds.retry_window, 1},
                       time_point_t::clock::now());
            whole = co_await serve();
        }
        else
            whole = !m_left;
        m_deadline_timer.cancel();
        settle();
    }
    --m_context.in_flight;
    co_return whole;
}

} // namespace rhubarbgrade
