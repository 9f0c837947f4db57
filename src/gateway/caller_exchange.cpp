#include "caller_exchange.hpp"

#include <algorithm>   // all_of, any_of, find_if, max, min
#include <chrono>      // duration_cast
#include <cmath>       // lround
#include <memory>      // make_shared
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include <spdlog/fmt/fmt.h> // format
#include <spdlog/spdlog.h>  // warn

#include <rhubarbgrade/detail/base/hash.hpp>              // hash64
#include <rhubarbgrade/detail/escrow/token_charge.hpp>    // tokens_charged
#include <rhubarbgrade/detail/routing/crash_evidence.hpp> // admit
#include <rhubarbgrade/detail/routing/hedge.hpp>          // may_hedge
#include <rhubarbgrade/detail/routing/planned_stop.hpp>   // may_begin
#include <rhubarbgrade/detail/routing/repeat.hpp>         // may_repeat

#include "../store/spawn.hpp" // spawn

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

constexpr unsigned http_1_1 = 11;

constexpr unsigned bad_request = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned payment_required = 402;
constexpr unsigned not_found = 404;
constexpr unsigned too_many = 429;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;

/// Statuses from this one on count as failures of the endpoint.
constexpr unsigned first_server_error = 500;

/// Retry-After is the minimum plus a random part of the spread, so that callers
/// that are refused at the same time do not retry at the same time.
constexpr milliseconds min_retry_after{250};
constexpr milliseconds retry_after_spread{500};

/// Retry-After of a request that is quarantined because it crashes endpoints;
/// long, because a retry will be refused as well.
constexpr milliseconds quarantine_retry_after{5000};

/// A request whose answer has run for longer has not crashed its endpoint:
/// crashes come as an answer begins.
constexpr milliseconds answer_start_time{1000};

/// A request may wait for tokens or for a free endpoint for its route's latency
/// objective divided by this number.
constexpr int wait_divisor = 2;

/// The request's host name in lower case, without a port.
/// @return a view of @a buffer
std::string_view host_name(const caller_request_t& request, std::string& buffer)
{
    const auto value = request[boost::beast::http::field::host];
    buffer.assign(value.data(), value.size());
    for (auto& each : buffer)
        if (each >= 'A' && each <= 'Z')
            each = static_cast<char>(each - 'A' + 'a');
    return std::string_view(buffer).substr(0, buffer.find(':'));
}

std::string_view path_of(const caller_request_t& request)
{
    const std::string_view target(request.target().data(),
                                  request.target().size());
    return target.substr(0, target.find('?'));
}

/// A random number in [0, 1).
double draw_uniform(const random_source_t& random)
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(random() % steps) / static_cast<double>(steps);
}

const std::string& pick_service(const route& matched_route,
                                const random_source_t& random)
{
    double total_weight = 0;
    for (const auto& each : matched_route.services)
        total_weight += each.weight;
    auto remaining = total_weight * draw_uniform(random);
    for (const auto& each : matched_route.services)
    {
        if (remaining < each.weight)
            return each.service;
        remaining -= each.weight;
    }
    return matched_route.services.back().service;
}

local_response quarantine_response()
{
    return {unavailable, "requests like this one have crashed endpoints",
            quarantine_retry_after};
}

/// The ids of prompt parts in order, for the log.
std::string format_parts(const std::vector<platform::prompt_part>& parts)
{
    std::string text;
    for (const auto& each : parts)
        text += fmt::format("{}{:x}", text.empty() ? "" : ",", each.id);
    return text;
}

/// Counts the cause of a refusal for want of tokens.
void count_shortage(traffic_counters& counters, reserve_result outcome)
{
    switch (outcome)
    {
    case reserve_result::reserved:
        break;
    case reserve_result::exhausted:
        ++counters.exhausted;
        break;
    case reserve_result::undrawn:
        ++counters.undrawn;
        break;
    case reserve_result::unconfirmed:
        ++counters.unconfirmed;
        break;
    case reserve_result::no_draws:
        ++counters.no_draws;
        break;
    }
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
      m_latest_end(m_started),
      m_deadline_timer(context.executor),
      m_writer(*m_session, m_request.version() >= http_1_1,
               m_request.keep_alive()),
      m_race_timer(context.executor),
      m_version_draw(draw_uniform(context.random))
{
}

void caller_exchange::handle_disconnect()
{
    m_disconnected = true;
    ++m_context.counters.disconnected;
    cancel_attempts();
}

void caller_exchange::limit_deadline()
{
    m_deadline = std::min(m_deadline, m_context.stop.ends);
    start_deadline_timer();
}

bool caller_exchange::too_late() const
{
    return m_context.stopping &&
           !may_begin(m_context.stop, m_latest_end, time_point_t::clock::now());
}

local_response caller_exchange::stop_response()
{
    return {unavailable, "this host stops", random_retry_after()};
}

void caller_exchange::start_deadline_timer()
{
    m_deadline_timer.expires_at(m_deadline);
    m_deadline_timer.async_wait(
        [weak = weak_from_this()](auto fault)
        {
            const auto self = weak.lock();
            if (fault || !self)
                return;
            self->m_deadline_passed = true;
            self->cancel_attempts();
            if (self->m_writer.begun())
                self->m_session->abort();
        });
}

milliseconds caller_exchange::random_retry_after()
{
    return min_retry_after +
           milliseconds(m_context.random() %
                        static_cast<std::uint64_t>(retry_after_spread.count()));
}

asio::awaitable<bool> caller_exchange::refuse(local_response response)
{
    auto message = make_local_response(response);
    platform::set_response_id(message, m_head.id);
    if (response.status == bad_gateway || response.status == gateway_timeout)
        ++m_context.counters.failed;
    else
        ++m_context.counters.refused;
    co_return co_await m_writer.write_complete(std::move(message));
}

crash_suspects_t caller_exchange::suspects() const
{
    crash_suspects_t all;
    const auto& parts = m_head.parts;
    // The last part is the request's own.
    for (std::uint32_t i = 0; i + 1 < parts.size(); ++i)
        all[parts[i].id].depth = i;
    const std::string_view target(m_request.target().data(),
                                  m_request.target().size());
    all[hash64(m_request.body(), hash64(target, hash64(m_head.key)))].depth =
        static_cast<std::uint32_t>(parts.size());
    return all;
}

bool caller_exchange::is_quarantined()
{
    const auto& quarantined = m_context.view->quarantined;
    if (quarantined.empty() || m_is_trial)
        return false;
    const auto own = suspects();
    const auto decision = admit(own, quarantined, m_context.trials);
    m_is_trial = decision.is_trial;
    if (decision.suspect)
        spdlog::info("event={} request={} suspect={:x} sends={}",
                     m_is_trial ? "quarantine_trial" : "quarantine_refusal",
                     m_head.id, *decision.suspect, m_tried.size());
    const bool refused = decision.suspect && !m_is_trial;
    if (refused)
        ++m_context.counters.quarantined;
    return refused;
}

bool caller_exchange::has_quarantined_part() const
{
    const auto& quarantined = m_context.view->quarantined;
    if (quarantined.empty())
        return false;
    const auto own = suspects();
    return std::any_of(own.begin(), own.end(),
                       [&](const auto& each)
                       {
                           return quarantined.contains(each.first);
                       });
}

std::optional<local_response> caller_exchange::check_request()
{
    if (!m_view->configuration)
        return local_response{unavailable, "no current configuration",
                              random_retry_after()};
    const auto& configuration = *m_view->configuration;
    std::string host;
    m_route = find_route(configuration, host_name(m_request, host),
                         path_of(m_request));
    if (m_route == nullptr)
        return local_response{not_found, "no such route", {}};
    if (!m_head.key.empty())
        m_customer = find_customer(configuration, m_head.key);
    if (configuration.keys_needed && !m_route->open && m_customer == nullptr)
        return local_response{unauthorized, "unknown key", {}};
    if (is_quarantined())
        return quarantine_response();
    m_service = pick_service(*m_route, m_context.random);
    if (has_budget() && runs_on_engine() && !m_head.tokens_known)
        return unbounded_response();
    const auto wait = m_head.deadline
                          ? std::min(*m_head.deadline, m_route->timeout)
                          : m_route->timeout;
    m_latest_end = m_started + wait;
    m_deadline = m_latest_end;
    if (too_late())
        return stop_response();
    if (m_context.stopping)
        m_deadline = std::min(m_deadline, m_context.stop.ends);
    return std::nullopt;
}

asio::awaitable<bool> caller_exchange::reserve_tokens()
{
    const auto max_tokens = most_tokens(limits_of_tokens());
    if (!has_budget() || max_tokens == 0)
        co_return true;
    const auto until =
        std::min(m_deadline, m_started + m_route->objective / wait_divisor);
    // More than the whole budget can't be reserved, however long it waits.
    auto outcome = reserve_result::exhausted;
    if (max_tokens <= m_customer->prepaid.value_or(0))
        outcome = co_await m_context.wallets.reserve(m_customer->name,
                                                     max_tokens, until);
    if (outcome == reserve_result::reserved)
    {
        m_reserved_tokens = max_tokens;
        co_return true;
    }
    if (m_disconnected)
        co_return false;
    count_shortage(m_context.counters, outcome);
    if (outcome == reserve_result::exhausted)
        co_await refuse({payment_required, "the budget is used up", {}});
    else
        co_await refuse(
            {too_many, "tokens are not within reach", random_retry_after()});
    co_return false;
}

void caller_exchange::settle()
{
    if (m_reserved_tokens == 0)
        return;
    const auto used = tokens_charged(
        limits_of_tokens(),
        {m_may_have_run, m_writer.event_count(), m_writer.uncounted_output()});
    m_context.wallets.settle(m_customer->name, m_reserved_tokens, used);
    m_reserved_tokens = 0;
}

bool caller_exchange::has_budget() const
{
    return m_customer != nullptr && m_customer->prepaid;
}

token_limits caller_exchange::limits_of_tokens() const
{
    token_limits limits{m_head.prompt_tokens, m_head.answer_tokens_limit,
                        m_head.answer_tokens_limit};
    const auto& services = m_view->configuration->services;
    const auto service = services.find(m_service);
    if (service == services.end())
        return limits;
    if (const auto& engine = service->second.engine)
        limits.tokens_per_event = engine->tokens_per_event;
    return limits;
}

bool caller_exchange::runs_on_engine() const
{
    const auto& services = m_view->configuration->services;
    const auto service = services.find(m_service);
    return service != services.end() && service->second.engine;
}

endpoint_criteria caller_exchange::make_criteria() const
{
    endpoint_criteria criteria;
    criteria.service = m_service;
    criteria.parts = m_head.parts;
    criteria.prompt_tokens = m_head.prompt_tokens;
    criteria.tried = m_tried;
    criteria.version_draw = m_version_draw;
    criteria.repeatable = m_route->kind == call_kind::idempotent;
    criteria.objective = m_route->objective;
    return criteria;
}

asio::awaitable<endpoint_ptr_t> caller_exchange::wait_for_endpoint()
{
    const auto criteria = make_criteria();
    const auto until =
        std::min(m_deadline, m_started + m_route->objective / wait_divisor);
    for (;;)
    {
        auto chosen =
            m_context.directory.choose(criteria, time_point_t::clock::now());
        if (chosen || m_disconnected || m_deadline_passed)
            co_return chosen;
        m_capacity_wait = m_context.directory.capacity_wait(
            criteria, time_point_t::clock::now());
        if (m_capacity_wait)
            co_return nullptr;
        if (!co_await m_context.wait_queue.wait(m_service, until))
            co_return nullptr;
    }
}

local_response caller_exchange::unbounded_response()
{
    ++m_context.counters.unbounded;
    spdlog::info("event=unbounded_refusal request={} customer={} service={}",
                 m_head.id, m_customer->name, m_service);
    return {bad_request, platform::unknown_tokens_text, {}};
}

local_response caller_exchange::capacity_response(milliseconds wait)
{
    ++m_context.counters.no_capacity;
    const auto retry_after = wait + random_retry_after();
    spdlog::info(
        "event=capacity_refusal request={} service={} retry_after_ms={}",
        m_head.id, m_service, retry_after.count());
    return {unavailable, "all endpoints are at their limits", retry_after};
}

bool caller_exchange::may_repeat(const attempt_report& report)
{
    if (m_is_trial)
        return false;
    const auto now = time_point_t::clock::now();
    retry_context question;
    question.kind = m_route->kind;
    question.resumable = m_route->resumable;
    question.end = report.outcome;
    question.answer_begun = m_writer.begun();
    question.events_begun = m_writer.begun_with_events();
    question.sends = static_cast<int>(m_tried.size());
    question.runs = static_cast<int>(m_tried.size());
    question.max_runs = m_route->max_attempts;
    question.left = std::chrono::duration_cast<milliseconds>(m_deadline - now);
    const auto decision = rhubarbgrade::may_repeat(question);
    if (decision != retry_decision::budgeted)
        return decision == retry_decision::free;
    const auto& bounds = m_context.bounds;
    const shared_retry_limit limit{bounds.retry_ratio, bounds.retry_slack,
                                   bounds.retry_window, m_context.view->hosts};
    if (!acquire_retry(m_context.retries[m_service], limit, now))
        return false;
    ++m_context.counters.retried;
    return true;
}

void caller_exchange::record_sample(const pool_endpoint& endpoint,
                                    const attempt_report& report)
{
    if (report.outcome == attempt_outcome::not_sent && !report.complete)
        return;
    const bool success = m_disconnected || (report.complete &&
                                            report.status < first_server_error);
    auto latency = report.latency_s;
    // If the caller disconnected before the first byte, its waiting time is a
    // lower bound of the latency.
    if (m_disconnected && latency < 0)
        latency = std::chrono::duration<double>(time_point_t::clock::now() -
                                                m_started)
                      .count();
    m_context.on_sample(
        {m_service, endpoint.entry.version, m_route->name, success, latency});
}

asio::awaitable<bool> caller_exchange::finish(attempt_report report)
{
    ++m_context.counters.answered;
    if (report.streamed)
        co_return co_await m_writer.end();
    caller_response_t response;
    response.version(http_1_1);
    response.result(report.status);
    platform::copy_response_headers(report.fields, response);
    response.body() = std::move(report.body);
    response.content_length(response.body().size());
    co_return co_await m_writer.write_complete(std::move(response));
}

platform::forward_head
caller_exchange::make_forward_head(const pool_endpoint& endpoint) const
{
    platform::forward_head head;
    head.endpoint_id = endpoint.entry.id;
    if (m_customer != nullptr)
        head.customer = m_customer->name;
    head.time_left = std::chrono::duration_cast<milliseconds>(
        m_deadline - time_point_t::clock::now());
    if (m_writer.begun())
        head.after_event = m_writer.last_event_id();
    return head;
}

std::optional<std::uint64_t> caller_exchange::max_events() const
{
    const auto& services = m_view->configuration->services;
    const auto service = services.find(m_service);
    if (m_head.answer_tokens_limit == 0 || service == services.end())
        return std::nullopt;
    const auto& engine = service->second.engine;
    if (!engine)
        return std::nullopt;
    const std::uint64_t per_event = engine->tokens_per_event;
    return (m_head.answer_tokens_limit + per_event - 1) / per_event;
}

caller_exchange::running_attempt_ptr_t
caller_exchange::start_attempt(endpoint_ptr_t endpoint)
{
    m_tried.push_back(endpoint);
    endpoint_directory::count_request(*endpoint, time_point_t::clock::now());
    ++endpoint->in_flight;
    endpoint->prompt_tokens_waiting += m_head.prompt_tokens;
    auto started = std::make_shared<running_attempt>();
    started->exchange = std::make_shared<endpoint_attempt>(m_context.directory,
                                                           endpoint, m_writer);
    started->endpoint = std::move(endpoint);
    m_attempts.push_back(started);
    return started;
}

asio::awaitable<void>
caller_exchange::run_attempt(running_attempt_ptr_t attempt)
{
    // A cancelled attempt may end after the request.
    const auto self = shared_from_this();
    const auto endpoint = attempt->endpoint;
    const bool repeatable =
        m_route->kind == call_kind::idempotent || m_route->resumable;
    const attempt_params params{
        m_request,
        make_forward_head(*endpoint),
        m_head.id,
        m_route->kind == call_kind::stream,
        repeatable,
        max_events(),
        [this, &attempt](unsigned status)
        {
            if (attempt->outrun ||
                (status >= first_server_error && m_attempts.size() > 1))
                return false;
            outrun_others(*attempt);
            return true;
        }};
    auto report = co_await attempt->exchange->run(params);
    // From here on no other attempt may begin to answer.
    if (!attempt->outrun && report.complete &&
        report.status < first_server_error)
        outrun_others(*attempt);
    attempt->report = std::move(report);
    attempt->ended = true;
    std::erase(m_attempts, attempt);
    --endpoint->in_flight;
    endpoint->prompt_tokens_waiting -= m_head.prompt_tokens;
    m_context.wait_queue.wake(m_service);
    m_race_timer.cancel();
}

void caller_exchange::cancel_attempts()
{
    for (const auto& each : m_attempts)
        each->exchange->cancel();
}

void caller_exchange::outrun_others(const running_attempt& winner)
{
    for (const auto& each : m_attempts)
    {
        if (each.get() == &winner)
            continue;
        each->outrun = true;
        each->exchange->cancel();
    }
}

asio::awaitable<caller_exchange::running_attempt_ptr_t>
caller_exchange::attempt(endpoint_ptr_t endpoint)
{
    const auto delay = time_to_hedge();
    auto first = start_attempt(std::move(endpoint));
    if (delay)
        co_return co_await race(first, *delay);
    co_await run_attempt(first);
    record_latency(first->report.latency_s, first->report);
    co_return first;
}

void caller_exchange::record_latency(double latency_s,
                                     const attempt_report& report)
{
    constexpr double ms_per_second = 1000;
    if (may_be_hedged() && report.complete &&
        report.status < first_server_error)
        m_context.hedging[m_route->name].latencies.add(
            milliseconds(std::lround(latency_s * ms_per_second)));
}

bool caller_exchange::may_be_hedged() const
{
    return m_context.hedge.share > 0 && m_route->kind == call_kind::idempotent;
}

std::optional<milliseconds> caller_exchange::time_to_hedge() const
{
    if (!may_be_hedged())
        return std::nullopt;
    return hedge_delay(m_context.hedging[m_route->name].latencies);
}

caller_exchange::running_attempt_ptr_t caller_exchange::start_hedge()
{
    const auto now = time_point_t::clock::now();
    auto& hedging = m_context.hedging[m_route->name];
    hedge_context question;
    question.kind = m_route->kind;
    question.answer_begun = m_writer.begun();
    question.is_trial = m_is_trial;
    question.stopping = m_context.stopping;
    question.host_late = m_context.directory.is_late();
    question.sends = static_cast<int>(m_tried.size());
    question.max_runs = m_route->max_attempts;
    question.left = std::chrono::duration_cast<milliseconds>(m_deadline - now);
    question.waiting = m_context.wait_queue.waiting(m_service);
    question.mean_load = m_context.directory.reported_load(m_service, now);
    question.allowance = hedging.allowance;
    if (m_disconnected || m_deadline_passed || has_quarantined_part() ||
        !may_hedge(question))
        return nullptr;
    auto endpoint = m_context.directory.choose(make_criteria(), now);
    const auto& bounds = m_context.bounds;
    // The rest is left to retries after failures.
    const shared_retry_limit limit{bounds.retry_ratio / 2,
                                   bounds.retry_slack / 2, bounds.retry_window,
                                   m_context.view->hosts};
    if (!endpoint || !acquire_retry(m_context.retries[m_service], limit, now))
        return nullptr;
    count_hedge(hedging.allowance);
    ++m_context.counters.hedged;
    return start_attempt(std::move(endpoint));
}

caller_exchange::running_attempt_ptr_t
caller_exchange::decide_race(std::vector<running_attempt_ptr_t>& racers)
{
    while (true)
    {
        const auto ended = std::find_if(racers.begin(), racers.end(),
                                        [](const auto& each)
                                        {
                                            return each->ended || each->outrun;
                                        });
        if (ended == racers.end())
            return nullptr;
        auto attempt = *ended;
        racers.erase(ended);
        if (attempt->outrun)
            continue;
        const auto& report = attempt->report;
        const bool answered =
            report.complete && report.status < first_server_error;
        const bool last = std::all_of(racers.begin(), racers.end(),
                                      [](const auto& each)
                                      {
                                          return each->outrun;
                                      });
        if (answered || last)
            return attempt;
        record_attempt(attempt->endpoint, report);
    }
}

asio::awaitable<caller_exchange::running_attempt_ptr_t>
caller_exchange::race(running_attempt_ptr_t first, milliseconds delay)
{
    const auto started_at = time_point_t::clock::now();
    std::vector<running_attempt_ptr_t> racers{first};
    m_race_timer.expires_at(started_at + delay);
    spawn(m_context.executor, run_attempt(first), "first attempt");
    bool hedged = false;
    for (;;)
    {
        if (auto decisive = decide_race(racers))
        {
            outrun_others(*decisive);
            const auto& report = decisive->report;
            if (decisive == first)
                record_latency(report.latency_s, report);
            else if (first->outrun)
            {
                // The first one would have taken longer than this.
                const std::chrono::duration<double> elapsed =
                    time_point_t::clock::now() - started_at;
                record_latency(elapsed.count(), report);
                ++m_context.counters.hedges_won;
            }
            co_return decisive;
        }
        if (!hedged && time_point_t::clock::now() >= m_race_timer.expiry())
        {
            hedged = true;
            m_race_timer.expires_at(time_point_t::max());
            if (auto second = start_hedge())
            {
                racers.push_back(second);
                spawn(m_context.executor, run_attempt(second),
                      "second attempt");
                continue; // it may have failed already
            }
        }
        co_await m_race_timer.async_wait(as_values);
    }
}

void caller_exchange::record_crash_evidence(const endpoint_ptr_t& endpoint,
                                            const attempt_report& report)
{
    if (report.connection_broken)
    {
        spdlog::warn("event=connection_broken request={} endpoint={} parts={} "
                     "status={} latency_ms={} events={}",
                     m_head.id, endpoint->entry.id, format_parts(m_head.parts),
                     report.status, std::lround(report.latency_s * 1000),
                     m_writer.event_count());
        m_context.detector.on_broken_answer(endpoint, report.answer_time <
                                                              answer_start_time
                                                          ? suspects()
                                                          : crash_suspects_t{});
        return;
    }
    if (report.complete && !m_context.view->crash_suspects.empty())
        m_context.detector.on_whole_answer(suspects());
}

void caller_exchange::record_attempt(const endpoint_ptr_t& endpoint,
                                     const attempt_report& report)
{
    const auto now = time_point_t::clock::now();
    if (report.complete || report.outcome == attempt_outcome::may_have_run ||
        report.outcome == attempt_outcome::failed)
        m_may_have_run = true;
    if (report.withheld)
        return;
    // An attempt cancelled by the caller or by the deadline is no evidence of
    // the endpoint's health.
    if (!m_disconnected && !m_deadline_passed && !report.path_failed)
    {
        m_context.directory.record_result(
            *endpoint, report.complete && report.status < first_server_error,
            now);
        record_crash_evidence(endpoint, report);
    }
    if (!report.path_failed)
        record_sample(*endpoint, report);
    if (report.complete)
        for (const auto& part : m_head.parts)
            endpoint->recent_parts.record(part.id, now);
}

asio::awaitable<bool> caller_exchange::serve()
{
    attempt_report report;
    bool quarantined = false;
    for (;;)
    {
        m_no_path = !m_context.directory.has_path(m_service);
        if (m_no_path)
            break;
        const auto endpoint = co_await wait_for_endpoint();
        if (m_disconnected)
            co_return false;
        if (!endpoint)
            break;
        // It may have been quarantined since it arrived.
        quarantined = is_quarantined();
        m_too_late = too_late();
        if (quarantined || m_too_late)
            break;
        const auto decisive = co_await attempt(endpoint);
        report = std::move(decisive->report);
        record_attempt(decisive->endpoint, report);
        if (m_disconnected || report.forward_failed)
            co_return false;
        const bool success =
            report.complete &&
            (report.status < first_server_error || m_writer.begun());
        if (success || m_deadline_passed || !may_repeat(report))
            break;
        m_writer.prepare_resume();
    }
    if (report.complete)
        co_return co_await finish(std::move(report));
    if (m_writer.begun())
    {
        m_endpoint_failed = true;
        co_return false; // a truncated response must not look complete
    }
    local_response response{m_deadline_passed ? gateway_timeout : bad_gateway,
                            "the request may have run",
                            {}};
    if (!m_may_have_run && quarantined)
        response = quarantine_response();
    else if (!m_may_have_run && m_too_late)
        response = stop_response();
    else if (!m_may_have_run && m_no_path)
    {
        ++m_context.counters.no_path;
        response = {unavailable, "no endpoint can be reached",
                    random_retry_after()};
    }
    else if (!m_may_have_run && m_capacity_wait)
        response = capacity_response(*m_capacity_wait);
    else if (!m_may_have_run)
    {
        ++m_context.counters.no_endpoint;
        response = {unavailable, "no endpoint can take the request now",
                    random_retry_after()};
    }
    co_return co_await refuse(response);
}

void caller_exchange::record_unanswered()
{
    if (m_disconnected)
        return; // counted there
    ++m_context.counters.unanswered;
    std::string_view cause = "connection_failed";
    if (m_deadline_passed)
        cause = m_deadline < m_latest_end ? "host_stops" : "time_limit";
    else if (m_endpoint_failed)
        cause = "endpoint_failed";
    log_unanswered(cause);
}

void caller_exchange::log_unanswered(std::string_view cause) const
{
    spdlog::warn("event=unanswered request={} cause={} events={} sends={} "
                 "stopping={}",
                 m_head.id, cause, m_writer.event_count(), m_tried.size(),
                 m_context.stopping);
}

asio::awaitable<bool> caller_exchange::run()
{
    const auto self = shared_from_this();
    ++m_context.counters.requests;
    ++m_context.in_flight;
    bool complete = false;
    if (const auto rejection = check_request())
        complete = co_await refuse(*rejection);
    else
    {
        start_deadline_timer();
        m_context.exchanges.insert(this);
        if (co_await reserve_tokens())
        {
            count_first_attempt(m_context.retries[m_service],
                                {m_context.bounds.retry_ratio,
                                 m_context.bounds.retry_slack,
                                 m_context.bounds.retry_window, 1},
                                time_point_t::clock::now());
            if (may_be_hedged())
                count_request(m_context.hedging[m_route->name].allowance,
                              m_context.hedge);
            complete = co_await serve();
        }
        else
            complete = !m_disconnected;
        m_context.exchanges.erase(this);
        m_deadline_timer.cancel();
        settle();
    }
    --m_context.in_flight;
    if (!complete)
        record_unanswered();
    co_return complete;
}

} // namespace rhubarbgrade
