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
#include <rhubarbgrade/detail/caller/activity.hpp>         // activity
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

/// An issued key may be used for so long; claims on it are kept as long.
constexpr std::uint64_t key_lifetime_ms = 24ULL * 3600 * 1000;

/// Bytes of a first answer that are kept for a repeat of its key.
constexpr std::size_t kept_answer_limit = 64U << 10U;

constexpr std::array<std::string_view, 10> not_forwarded{
    "connection", "keep-alive",   "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",      "transfer-encoding",  "upgrade",
    "host",       "authorization"};

bool forwarded(std::string_view name)
{
    std::string lower(name);
    for (auto& letter : lower)
        letter = static_cast<char>(std::tolower(letter));
    const bool own = lower == "content-length" || lower == "remote_addr" ||
                     lower == "remote_port" || lower == "local_addr" ||
                     lower == "local_port" || lower == "x-request-id";
    return !own && std::find(not_forwarded.begin(), not_forwarded.end(),
                             lower) == not_forwarded.end();
}

const service* find_service(const routing_snapshot& routing,
                            const std::string& path)
{
    const service* best = nullptr;
    for (const auto& [name, object] : routing.objects->services)
    {
        const bool fits =
            object.kind == service_kind::plain && path.starts_with(object.path);
        if (fits && (best == nullptr || object.path.size() > best->path.size()))
            best = &object;
    }
    return best;
}

/// The ledger that issued a key, if a router issued it.
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

bool expired(const std::string& key)
{
    const auto tail = key.rfind('.');
    const auto begin = key.rfind('.', tail - 1) + 1;
    const auto issued =
        std::strtoull(key.substr(begin, tail - begin).c_str(), nullptr, 10);
    return wall_milliseconds() > issued + key_lifetime_ms;
}

/// One call on its way.
class plain_call
{
public:
    plain_call(traffic& shared, const httplib::Request& request,
               httplib::Response& response)
        : m_shared(shared),
          m_request(request),
          m_response(response),
          m_id("r-" + random_hex()),
          m_key(request.get_header_value("Idempotency-Key")),
          m_begin(steady_clock::now())
    {
    }

    void serve()
    {
        const auto routing = m_shared.control.snapshot();
        const auto who = authenticate(*routing, m_request);
        if (!who)
            return refuse(who.error(), run_state::no);
        m_customer = *who;
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
        if (!hold_price())
            return drop_claim();
        run();
    }

private:
    void refuse(const error& what, run_state ran)
    {
        m_shared.log->info("event=refused request={} customer={} {}", m_id,
                           m_customer, what.message());
        write_problem(m_response, what, ran, m_id);
        note_served(false);
    }

    /// Claims the key; answers the caller itself if it can't be had.
    bool claim()
    {
        m_issuer = issuer_of(m_key);
        if (m_issuer && expired(m_key))
        {
            refuse({errc::key_expired, "claim", "caller", {}}, run_state::no);
            return false;
        }
        m_claim_name = hash_hex(m_customer + "\n" + m_key);
        const auto answer =
            m_issuer ? m_shared.control.claim({*m_issuer, m_claim_name, m_id})
                     : m_shared.claims.claim(m_claim_name, m_id);
        m_claimed = answer.status == claim_status::claimed;
        if (answer.status == claim_status::answered &&
            !answer.content_type.empty())
            repeat(answer);
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

    void repeat(const claim_answer& answer)
    {
        m_response.status = answer.answer_status;
        m_response.set_header("Idempotency-Replayed", "true");
        m_response.set_content(answer.body, answer.content_type);
        note_served(true);
    }

    void drop_claim()
    {
        if (!m_claimed)
            return;
        if (m_issuer)
            m_shared.control.drop_claim(*m_issuer, m_claim_name);
        else
            m_shared.claims.drop(m_claim_name, m_id);
    }

    bool hold_price()
    {
        if (m_service.tokens_per_call == 0)
            return true;
        const auto held = m_shared.control.reserve_tokens(
            m_id, m_customer, m_service.tokens_per_call);
        if (!held)
            refuse(held.error(), run_state::no);
        return held.has_value();
    }

    void free_price()
    {
        if (m_service.tokens_per_call > 0)
            m_shared.control.release_request(m_id);
    }

    void run()
    {
        const auto deadline = m_begin + m_service.timeout;
        m_version =
            m_shared.endpoints.pick_version(m_service.name, m_service.path);
        {
            const std::lock_guard lock(m_shared.mutex);
            note_request(m_shared.retries);
        }
        for (int attempts = 1;; ++attempts)
        {
            const auto wait = std::min(
                deadline, steady_clock::now() + m_shared.config.queue_limit);
            auto lease = m_shared.endpoints.acquire(
                {m_service.name, m_version, m_priority, wait, m_excluded});
            const auto problem =
                lease ? assign(*lease) : std::optional(lease.error());
            if (problem)
            {
                free_price();
                drop_claim();
                return refuse(*problem, run_state::no);
            }
            const auto end = send_to(*lease);
            if (!end)
                return;
            m_excluded.insert(lease->endpoint());
            if (!try_again(*end, attempts, deadline))
                return give_up(*end, lease->endpoint());
        }
    }

    bool try_again(attempt_end end, int attempts, time_point_t deadline)
    {
        const std::lock_guard lock(m_shared.mutex);
        return may_retry(m_shared.retries, end, m_repeatable, attempts,
                         steady_clock::now(), deadline);
    }

    std::optional<error> assign(const slot_lease& lease)
    {
        if (m_service.tokens_per_call == 0)
            return std::nullopt;
        const auto done =
            m_shared.control.assign_endpoint(m_id, lease.endpoint());
        return done ? std::nullopt : std::optional(done.error());
    }

    /// Sends the request once.
    /// @return nothing if the caller has its answer
    std::optional<attempt_end> send_to(const slot_lease& lease)
    {
        engine_call call;
        call.address = lease.address();
        call.progress_timeout = m_service.timeout;
        auto client = make_client(call, m_service.timeout);
        httplib::Request out;
        out.method = m_request.method;
        out.path = m_request.target;
        out.body = m_request.body;
        for (const auto& [name, value] : m_request.headers)
            if (forwarded(name))
                out.headers.emplace(name, value);
        out.headers.emplace("X-Request-Id", m_id);
        out.headers.emplace("X-Customer", m_customer);
        httplib::Response answer;
        auto problem = httplib::Error::Success;
        const bool sent = client.send(out, answer, problem);
        const bool good = sent && answer.status < 500;
        m_shared.endpoints.record_result(lease.endpoint(), good);
        note_sample(lease.version(), good);
        if (!sent)
            return classify_error(problem);
        if (!good && m_repeatable)
            return attempt_end::failed;
        deliver(answer, lease.endpoint());
        return std::nullopt;
    }

    void deliver(const httplib::Response& answer, const std::string& endpoint)
    {
        const auto type = answer.get_header_value("Content-Type");
        if (m_service.tokens_per_call > 0)
            static_cast<void>(m_shared.control.settle_request(
                m_id, m_service.tokens_per_call));
        if (m_claimed)
            keep_answer(answer, type);
        m_response.status = answer.status;
        for (const auto& [name, value] : answer.headers)
            if (forwarded(name) && name != "Content-Type")
                m_response.set_header(name, value);
        m_response.set_content(answer.body, type.empty() ? "text/plain" : type);
        m_shared.log->info("event=served request={} customer={} peer={} "
                           "status={}",
                           m_id, m_customer, endpoint, answer.status);
        note_served(answer.status < 500);
    }

    void keep_answer(const httplib::Response& answer, const std::string& type)
    {
        const bool fits = answer.body.size() <= kept_answer_limit;
        const auto kept_type = !fits          ? std::string()
                               : type.empty() ? "text/plain"
                                              : type;
        const auto body = fits ? answer.body : std::string();
        if (m_issuer)
            m_shared.control.answer(
                *m_issuer, {m_claim_name, answer.status, kept_type, body});
        else
            m_shared.claims.answer(
                m_claim_name, m_id,
                {claim_status::answered, answer.status, kept_type, body});
    }

    void give_up(attempt_end end, const std::string& endpoint)
    {
        const bool certain =
            end == attempt_end::not_sent || end == attempt_end::refused;
        free_price();
        if (certain)
            drop_claim();
        if (certain)
            return refuse({errc::connect_failed, "send", endpoint, {}},
                          run_state::no);
        if (end == attempt_end::failed)
            return refuse({errc::endpoint_failed, "send", endpoint, {}},
                          run_state::yes);
        refuse({errc::outcome_unknown, "send", endpoint, {}},
               run_state::unknown);
    }

    void note_sample(const std::string& version, bool good)
    {
        const auto routing = m_shared.control.snapshot();
        const auto split = routing->splits.find(m_service.name);
        if (split == routing->splits.end() || split->second.move.empty())
            return;
        const double latency =
            good ? std::chrono::duration<double>(steady_clock::now() - m_begin)
                       .count()
                 : -1;
        m_shared.control.note({split->second.move, m_service.path,
                               version == split->second.to, good, latency});
    }

    void note_served(bool good)
    {
        const auto labels = "service=\"" + m_service.name + "\"";
        const double time =
            std::chrono::duration<double>(steady_clock::now() - m_begin)
                .count();
        m_shared.measures.count("rhubarbgrade_requests_total", labels);
        if (good)
            m_shared.measures.observe("rhubarbgrade_answer_seconds", labels,
                                      time);
        else
            m_shared.measures.count("rhubarbgrade_failures_total", labels);
        m_shared.objectives.note(
            *m_shared.control.snapshot()->objects,
            {m_customer, m_service.name, good, good ? time : -1, -1},
            std::chrono::system_clock::now());
    }

    traffic& m_shared;
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
    time_point_t m_begin;
    int m_priority = 5;
    bool m_repeatable = false;
    bool m_claimed = false;
};

} // namespace

void serve_plain(traffic& shared, const httplib::Request& request,
                 httplib::Response& response)
{
    const activity served(shared.active);
    plain_call(shared, request, response).serve();
}

} // namespace rhubarbgrade
