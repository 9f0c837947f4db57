// A soak of planned work: signals, restarts, configurations and endpoints that
// leave, in series and overlapping, while clients use open connections until
// the hosts have closed them. Judged by the records of clients and endpoints.
//
// A schedule follows from its seed. From the environment:
//   RHUBARBGRADE_SOAK_SEED     seed
//   RHUBARBGRADE_SOAK_SECONDS  length of the schedule
//   RHUBARBGRADE_SOAK_SCALE    4 hosts, 2 endpoints (and 4) and 32 clients each

#include <csignal>

#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

#include <catch2/catch.hpp>

#include "installation.hpp"
#include "soak_clients.hpp"

using harness::installation;
using harness::json;
using harness::monotonic_ms;
using harness::soak_clients;
using harness::soak_offer;
using harness::soak_request;
using harness::wait_until;

namespace
{

constexpr long long drain_ms = 2000;        // bounds.drainMs
constexpr long long config_apply_ms = 2000; // bounds.configApplyMs
constexpr long long contact_ms = 3000;      // bounds.contactMs
constexpr long long fault_ms = 1000;        // of the store, each
constexpr long long loss_slack_ms = 200;    // bounds.lossSlackMs
constexpr long long ms_per_second = 1000;
constexpr long long plain_deadline_ms = 3000;
constexpr long long plain_limit_ms = 2500; // the shortest time-out of a route
constexpr long long stream_limit_ms = 10000;
constexpr int stream_events = 8;

long long from_environment(const char* name, long long otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::atoll(text);
}

/// A process of a host, from its start to its end.
struct host_process
{
    std::string host;
    long long spawned_at = 0;
    long long ready_at = 0;
    long long stopped_at = 0; ///< the first SIGTERM
    long long exited_at = 0;
    int status = -1;
    bool listed_early = false; ///< clients come before it is ready
    std::vector<std::pair<long long, int>> graces; ///< written, in seconds
    std::vector<std::pair<long long, long long>> freezes;
    std::vector<std::string> events; ///< what was done to it

    /// The grace periods that may be in force since the first SIGTERM.
    std::pair<long long, long long> grace_ms() const
    {
        constexpr long long reread_ms = 2500; // it reads the file every 2 s
        long long least = 0;
        long long most = 0;
        for (std::size_t i = 0; i < graces.size(); ++i)
        {
            if (i + 1 < graces.size() &&
                graces[i + 1].first < stopped_at - reread_ms)
                continue;
            const auto value = graces[i].second * ms_per_second;
            least = least == 0 ? value : std::min(least, value);
            most = std::max(most, value);
        }
        return {least, most};
    }

    long long frozen_ms(long long from, long long until) const
    {
        long long sum = 0;
        for (const auto& [begin, end] : freezes)
            sum += std::max(0LL, std::min(until, end) - std::max(from, begin));
        return sum;
    }
};

struct endpoint
{
    std::string id;
    std::string service;
    long long left_at = 0; ///< the store has acknowledged its leaving
};

/// What happens besides the planned work.
struct disturbances
{
    bool late_hosts = false;  ///< hosts are held up
    bool lossy_store = false; ///< responses to watches are lost, and lists that
                              ///< allow old data get pages of different age
};

/// Plays a schedule of planned work.
class planned_work
{
public:
    planned_work(std::uint64_t seed, int scale, long long duration_ms,
                 const disturbances& besides)
        : m_seed(seed),
          m_random(seed),
          m_scale(scale),
          m_duration_ms(duration_ms),
          m_besides(besides)
    {
        constexpr int hosts_each = 4;
        constexpr int clients_each = 32;
        constexpr int endpoints_each = 2;
        constexpr int least_endpoints = 4;
        m_host_count = hosts_each * scale;
        publish(false);
        for (int i = 0; i < least_endpoints + endpoints_each * scale; ++i)
            add_endpoint(i % 2 == 0 ? "desk" : "pool");
        for (int i = 0; i < m_host_count; ++i)
            spawn(i);
        REQUIRE(wait_until(
            [this]
            {
                watch_hosts();
                for (const auto& each : m_processes)
                    if (each.ready_at == 0)
                        return false;
                return true;
            },
            60000));
        m_offer.keys = {"k2"};
        m_offer.prefixes = {"/read/", "/read/",   "/read/",
                            "/read/", "/book/",   "/book/",
                            "/book/", "/stream/", "/stream/resumed/"};
        m_clients.emplace(seed, clients_each * scale, plain_deadline_ms,
                          stream_limit_ms);
    }

    void play()
    {
        m_started_at = monotonic_ms();
        offer();
        schedule();
        wait_until(
            [this]
            {
                watch_hosts();
                run_due();
                return monotonic_ms() >= m_started_at + m_duration_ms;
            },
            static_cast<int>(m_duration_ms) + 60000);
        end();
    }

    /// Judges the records. Returns what broke a rule, one text each.
    std::vector<std::string> judge();

    std::string summary() const
    {
        return m_summary.str();
    }

private:
    int draw(int least, int most)
    {
        return std::uniform_int_distribution(least, most)(m_random);
    }

    bool chance(int percent)
    {
        constexpr int all = 100;
        return draw(1, all) <= percent;
    }

    void at(long long time, std::function<void()> action)
    {
        m_agenda.emplace(time, std::move(action));
    }

    void run_due()
    {
        while (!m_agenda.empty() && m_agenda.begin()->first <= monotonic_ms())
        {
            const auto action = m_agenda.begin()->second;
            m_agenda.erase(m_agenda.begin());
            action();
        }
    }

    /// Draws the times and kinds of what is done.
    void schedule()
    {
        constexpr int mean_gap = 900;
        constexpr int kinds = 12;
        const int most_gap =
            std::max(60, static_cast<int>(2 * mean_gap / std::sqrt(m_scale)));
        for (long long time = m_started_at + ms_per_second;
             time < m_started_at + m_duration_ms; time += draw(30, most_gap))
        {
            const int kind = draw(0, kinds - 1);
            const int host = draw(0, m_host_count - 1);
            if (kind < 4)
                at(time,
                   [this, host]
                   {
                       stop(host);
                   });
            else if (kind == 4)
                add_series(time, host);
            else if (kind == 5)
                at(time,
                   [this, host]
                   {
                       change_bounds(host);
                   });
            else if (kind < 9)
                at(time,
                   [this]
                   {
                       publish(true);
                   });
            else
                at(time,
                   [this]
                   {
                       replace_endpoint();
                   });
        }
        if (m_besides.late_hosts)
            add_freezes();
    }

    /// Several hosts at once, or one after the other.
    void add_series(long long time, int first)
    {
        constexpr int longest_step = 1500;
        const int count = draw(2, std::max(2, m_host_count / 2));
        const int step = chance(50) ? 0 : draw(100, longest_step);
        for (int i = 0; i < count; ++i)
            at(time + i * static_cast<long long>(step),
               [this, host = (first + i) % m_host_count]
               {
                   stop(host);
               });
    }

    void add_freezes()
    {
        constexpr int longest = 300;
        constexpr int most_gap = 700;
        for (long long time = m_started_at + ms_per_second;
             time < m_started_at + m_duration_ms; time += draw(50, most_gap))
            at(time,
               [this, host = draw(0, m_host_count - 1),
                length = draw(20, longest)]
               {
                   freeze(host, length);
               });
    }

    void freeze(int host, int length)
    {
        auto& process = m_processes[m_current[host]];
        if (process.exited_at != 0 || process.ready_at == 0)
            return;
        const auto now = monotonic_ms();
        if (!process.freezes.empty() && process.freezes.back().second >= now)
            return;
        m_site.host(process.host).signal(SIGSTOP);
        // Until it goes on, it counts as frozen for good.
        process.freezes.emplace_back(now,
                                     std::numeric_limits<long long>::max());
        ++m_freeze_count;
        at(now + length,
           [this, index = m_current[host]]
           {
               auto& frozen = m_processes[index];
               m_site.host(frozen.host).signal(SIGCONT);
               frozen.freezes.back().second = monotonic_ms();
           });
    }

    /// A host keeps some connections to each of the stand-ins.
    static int connections_of(int scale)
    {
        constexpr int least = 80;
        constexpr int each = 20;
        return least + each * scale;
    }

    static std::string bounds_of(int grace_s)
    {
        return "graceS = " + std::to_string(grace_s);
    }

    int draw_grace()
    {
        constexpr std::array graces{4, 6, 8};
        return graces.at(static_cast<std::size_t>(
            draw(0, static_cast<int>(graces.size()) - 1)));
    }

    void spawn(int host)
    {
        constexpr int quick_stop_percent = 30;
        constexpr int quick_stop_ms = 400;
        constexpr int early_change_percent = 20;
        const auto name = "h" + std::to_string(host + 1);
        const int grace = draw_grace();
        host_process process;
        process.host = name;
        process.listed_early = chance(50);
        process.spawned_at = monotonic_ms();
        process.graces.emplace_back(process.spawned_at, grace);
        m_site.spawn_host(name, bounds_of(grace));
        m_current[host] = m_processes.size();
        m_processes.push_back(process);
        if (m_started_at == 0)
            return;
        offer();
        if (chance(quick_stop_percent))
        {
            ++m_quick_stops;
            at(monotonic_ms() + (chance(50) ? 0 : draw(0, quick_stop_ms)),
               [this, host]
               {
                   stop(host);
               });
        }
        if (chance(early_change_percent))
            at(monotonic_ms() + (chance(50) ? 0 : draw(0, 1500)),
               [this, host]
               {
                   change_bounds(host);
               });
    }

    /// Sends SIGTERM, and with some chance SIGHUP or SIGTERM around it.
    void stop(int host)
    {
        constexpr int second_percent = 25;
        constexpr int change_percent = 30;
        auto& process = m_processes[m_current[host]];
        if (process.stopped_at != 0)
            return;
        if (chance(change_percent))
            change_bounds(host);
        const auto signal = [this, host, index = m_current[host]]
        {
            auto& stopped = m_processes[index];
            if (stopped.stopped_at != 0)
                return;
            stopped.stopped_at = monotonic_ms();
            stopped.events.push_back("SIGTERM");
            m_site.host(stopped.host).signal(SIGTERM);
            ++m_stops;
        };
        if (chance(50))
            signal();
        else
            at(monotonic_ms() + draw(1, 600), signal);
        if (chance(second_percent))
            at(monotonic_ms() + draw(1, 4000),
               [this, index = m_current[host]]
               {
                   auto& stopped = m_processes[index];
                   if (stopped.stopped_at == 0 || stopped.exited_at != 0)
                       return;
                   ++m_second_terms;
                   m_site.host(stopped.host).signal(SIGTERM);
               });
        if (chance(change_percent))
            at(monotonic_ms() + draw(1, 5000),
               [this, host]
               {
                   change_bounds(host);
               });
    }

    void change_bounds(int host)
    {
        auto& process = m_processes[m_current[host]];
        if (process.exited_at != 0)
            return;
        const int grace = draw_grace();
        process.graces.emplace_back(monotonic_ms(), grace);
        m_site.write_settings(process.host, bounds_of(grace));
        m_site.host(process.host).signal(SIGHUP);
        ++m_changes;
    }

    /// Notes which hosts are ready or gone, and starts those again whose time
    /// has come.
    void watch_hosts()
    {
        constexpr long long check_ms = 100;
        constexpr long long listed_ms = 2300; // the balancer is late
        constexpr int restart_ms = 1500;
        const auto now = monotonic_ms();
        bool changed = false;
        for (int host = 0; host < static_cast<int>(m_current.size()); ++host)
        {
            const auto index = m_current[host];
            auto& process = m_processes[index];
            if (process.exited_at != 0)
                continue;
            if (!m_site.host(process.host).running())
            {
                process.exited_at = now;
                process.status = m_site.host(process.host).wait_exit();
                changed = true;
                if (!m_ending)
                    at(now + draw(0, restart_ms),
                       [this, host]
                       {
                           if (!m_ending)
                               spawn(host);
                       });
                continue;
            }
            if (process.ready_at == 0 && process.stopped_at == 0 &&
                now >= m_checked[host] + check_ms)
            {
                m_checked[host] = now;
                if (m_site.ready(process.host))
                {
                    process.ready_at = now;
                    changed = true;
                }
            }
            if (process.stopped_at != 0 &&
                now >= process.stopped_at + listed_ms &&
                m_unlisted.insert(index).second)
                changed = true;
        }
        if (changed && m_clients)
            offer();
    }

    void offer()
    {
        m_offer.doors.clear();
        for (const auto& [host, index] : m_current)
        {
            const auto& process = m_processes[index];
            if (process.exited_at == 0 && m_unlisted.count(index) == 0 &&
                (process.ready_at != 0 || process.listed_early))
                m_offer.doors.push_back({static_cast<int>(index),
                                         m_site.host(process.host).port()});
        }
        m_clients->set_offer(m_offer);
    }

    json route(const std::string& prefix, const char* kind,
               const std::string& service, int attempts, int timeout) const
    {
        return {{"name", prefix},
                {"hostname", "a.example"},
                {"pathPrefix", prefix},
                {"kind", kind},
                {"timeoutMs", timeout},
                {"targetLatencyMs", 800},
                {"service", service},
                {"maxAttempts", attempts},
                {"resumable", prefix == "/stream/resumed/"}};
    }

    int draw_of(std::initializer_list<int> values)
    {
        return *(values.begin() + draw(0, static_cast<int>(values.size()) - 1));
    }

    /// Lets the store lose the responses to the next watches of a kind, and
    /// answer later pages of lists from a copy that is made now.
    void lose_responses(const std::string& kind)
    {
        constexpr int lossy_percent = 60;
        constexpr int stale_percent = 50;
        if (!m_besides.lossy_store || !chance(lossy_percent))
            return;
        m_site.set_store_fault(
            {{"save", true},
             {"lose_watches", draw(1, 2)},
             {"lost_kind", kind},
             {"stale", chance(stale_percent) ? "later" : ""}});
        m_lossy_until.push_back(monotonic_ms() + fault_ms);
        at(m_lossy_until.back(),
           [this]
           {
               // A later fault goes on.
               if (monotonic_ms() >= m_lossy_until.back())
                   m_site.set_store_fault(json::object());
           });
    }

    /// Publishes a configuration; later ones have more routes and tenants.
    void publish(bool may_add)
    {
        constexpr int quick_percent = 40;
        constexpr int add_percent = 30;
        m_version += draw(1, 3);
        if (may_add && chance(add_percent) && m_added_routes < 20)
            ++m_added_routes;
        if (may_add && chance(add_percent))
            m_has_tenant = true;
        json routes{
            route("/read/", "idempotent", "desk", draw_of({1, 2}),
                  draw_of({2500, 3000, 4000})),
            route("/book/", "non_idempotent", "desk", 1,
                  draw_of({2500, 3000, 4000})),
            route("/stream/", "stream", "pool", 1, draw_of({10000, 12000})),
            route("/stream/resumed/", "stream", "pool", 2,
                  draw_of({10000, 12000}))};
        for (int i = 1; i <= m_added_routes; ++i)
            routes.push_back(route("/more" + std::to_string(i) + "/",
                                   "idempotent", "desk", 2, 3000));
        json tenants{{{"name", "clerks"},
                      {"apiKeys", {"k1"}},
                      {"prepaid", harness::prepaid_tokens}},
                     {{"name", "others"}, {"apiKeys", {"k2"}}}};
        if (m_has_tenant)
            tenants.push_back({{"name", "third"}, {"apiKeys", {"k3"}}});
        if (may_add)
            lose_responses("config");
        m_site.publish_configuration(
            m_version, {{"routes", routes},
                        {"tenants", tenants},
                        {"limits",
                         {{"maxHeaderBytes", draw_of({4096, 8192})},
                          {"maxBodyBytes", draw_of({20000, 30000})},
                          {"headerTimeoutMs", draw_of({3000, 5000})},
                          {"idleTimeoutMs", draw_of({15000, 20000})}}}});
        if (!may_add)
            return;
        ++m_versions;
        // Used once it must be in force.
        const auto apply_ms =
            m_besides.lossy_store ? contact_ms + fault_ms : config_apply_ms;
        at(monotonic_ms() + apply_ms,
           [this, routes = m_added_routes, tenant = m_has_tenant]
           {
               while (m_offered_routes < routes)
                   m_offer.prefixes.push_back(
                       "/more" + std::to_string(++m_offered_routes) + "/");
               if (tenant && m_offer.keys.size() == 1)
                   m_offer.keys.emplace_back("k3");
               offer();
           });
        if (chance(quick_percent))
            at(monotonic_ms() + draw(1, 300),
               [this]
               {
                   publish(true);
               });
    }

    void add_endpoint(const std::string& service)
    {
        constexpr int slots = 64;
        endpoint added{"i-" + std::to_string(++m_endpoint_count), service, 0};
        // It gets requests as soon as it is listed.
        m_site.spawn_replica(
            added.id, {"--threads=" + std::to_string(connections_of(m_scale))});
        m_site.set_replica_fault(added.id,
                                 {{"delay_ms", draw_of({5, 20, 60, 200, 1000})},
                                  {"gap_ms", draw_of({10, 30, 100, 300, 1000})},
                                  {"events", stream_events}});
        m_site.list_replica(added.id, service, "ready", "v1", slots);
        m_endpoints.push_back(added);
    }

    /// Adds an endpoint and lets another one leave; some without notice.
    void replace_endpoint()
    {
        constexpr int slots = 64;
        constexpr int unannounced_percent = 25;
        constexpr long long process_ms = 14000; // longer than any request
        const auto chosen = static_cast<std::size_t>(
            draw(0, static_cast<int>(m_endpoints.size()) - 1));
        if (m_endpoints[chosen].left_at != 0)
            return;
        add_endpoint(m_endpoints[chosen].service);
        auto& leaving = m_endpoints[chosen];
        const bool announced = !chance(unannounced_percent);
        lose_responses("servers");
        if (announced)
            m_site.list_replica(leaving.id, leaving.service, "draining", "v1",
                                slots);
        else
            m_site.remove_object("servers", leaving.id);
        leaving.left_at = monotonic_ms();
        ++m_leavings;
        if (announced)
            at(leaving.left_at + draw(2500, 5000),
               [this, id = leaving.id]
               {
                   m_site.remove_object("servers", id);
               });
        at(leaving.left_at + process_ms,
           [this, id = leaving.id]
           {
               m_site.kill_replica(id);
           });
    }

    /// Stops all hosts while the clients go on, and then the clients.
    void end()
    {
        constexpr int deadline_ms = 30000;
        m_ending = true;
        for (auto& process : m_processes)
            if (process.stopped_at == 0 && process.exited_at == 0)
            {
                process.stopped_at = monotonic_ms();
                m_site.host(process.host).signal(SIGTERM);
            }
        wait_until(
            [this]
            {
                watch_hosts();
                run_due();
                for (const auto& process : m_processes)
                    if (process.exited_at == 0)
                        return false;
                return true;
            },
            deadline_ms);
        m_clients->stop();
    }

    void judge_request(const soak_request& request,
                       const std::vector<json>& runs);
    void judge_answer(const soak_request& request,
                      const std::vector<json>& runs);
    void judge_unanswered(const soak_request& request,
                          const std::vector<json>& runs);
    void judge_closings();
    void judge_processes();
    void judge_endpoints(const json& run);
    void fail(const std::string& kind, const std::string& text);
    void fail(const std::string& kind, const soak_request& request,
              const std::vector<json>& runs);
    std::string describe(const soak_request& request,
                         const std::vector<json>& runs) const;
    std::string log_lines(const host_process& process,
                          const std::string& id) const;

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    int m_scale;
    long long m_duration_ms;
    disturbances m_besides;
    std::vector<long long> m_lossy_until; ///< ends of the store's faults
    int m_host_count = 0;
    long long m_started_at = 0;
    bool m_ending = false;
    int m_version = 1;
    int m_added_routes = 0;
    int m_offered_routes = 0;
    bool m_has_tenant = false;
    int m_endpoint_count = 0;
    int m_stops = 0;
    int m_second_terms = 0;
    int m_quick_stops = 0;
    int m_changes = 0;
    int m_versions = 0;
    int m_leavings = 0;
    int m_freeze_count = 0;
    installation m_site{
        json::object(),
        0,
        {"--connections=" + std::to_string(200 + connections_of(m_scale))}};
    std::vector<endpoint> m_endpoints;
    std::vector<host_process> m_processes;
    std::map<int, std::size_t> m_current; ///< process of each host
    std::map<int, long long> m_checked;
    std::set<std::size_t> m_unlisted; ///< processes
    std::multimap<long long, std::function<void()>> m_agenda;
    soak_offer m_offer;
    std::optional<soak_clients> m_clients;
    std::map<std::string, int> m_tally;
    std::vector<std::string> m_failures;
    std::ostringstream m_summary;
};

bool may_have_run(int status)
{
    return status != 408 && status != 421 && status != 429 && status != 503;
}

std::string whole_stream()
{
    std::string text;
    for (int i = 1; i <= stream_events; ++i)
        text += "id: " + std::to_string(i) + "\ndata: piece" +
                std::to_string(i) + "\n\n";
    return text;
}

std::string planned_work::log_lines(const host_process& process,
                                    const std::string& id) const
{
    constexpr std::size_t most = 12;
    std::deque<std::string> lines;
    std::istringstream in(m_site.log_text(process.host));
    for (std::string line; std::getline(in, line);)
    {
        if (line.find(id) == std::string::npos &&
            line.find("event=input_discarded") == std::string::npos &&
            line.find("event=drained") == std::string::npos &&
            line.find("event=traffic_ended") == std::string::npos)
            continue;
        lines.push_back(line);
        // Those about the request stay.
        if (lines.size() > most && lines.front().find(id) == std::string::npos)
            lines.pop_front();
    }
    std::string text;
    for (const auto& line : lines)
        text += "    " + line + "\n";
    return text;
}

std::string planned_work::describe(const soak_request& request,
                                   const std::vector<json>& runs) const
{
    const auto& process =
        m_processes[static_cast<std::size_t>(request.instance)];
    std::ostringstream text;
    const auto relative = [this](long long time)
    {
        return time == 0 ? -1 : time - m_started_at;
    };
    text << "seed " << m_seed << " request " << request.id << " "
         << request.path << " client " << name_of(request.pace)
         << (request.second_of_pair ? " (second of two)" : "")
         << (request.on_kept_connection ? " on a kept connection" : "")
         << "\n  host " << process.host << ", ms since the start of the play:"
         << " begun " << relative(request.begun_at) << " sent "
         << relative(request.sent_at) << " answered "
         << relative(request.answered_at) << " ended "
         << relative(request.ended_at) << (request.reset ? " (reset)" : "")
         << " open until " << relative(request.open_until)
         << (request.given_up ? " (given up)" : "") << "; host spawned "
         << relative(process.spawned_at) << " ready "
         << relative(process.ready_at) << " SIGTERM "
         << relative(process.stopped_at) << " exit "
         << relative(process.exited_at) << " grace " << process.grace_ms().first
         << ".." << process.grace_ms().second << "\n";
    if (request.answer)
        text << "  answer " << request.answer->status << " id "
             << request.answer->header("request-id") << " signature "
             << request.answer->header("response-signature") << " connection "
             << request.answer->header("connection") << " body bytes "
             << request.answer->body.size()
             << (request.answer->complete ? " (whole)" : " (a part)") << "\n";
    for (const auto& run : runs)
        text << "  ran at " << run["replica"] << " "
             << relative(run["at_ms"].get<long long>()) << "\n";
    text << log_lines(process, request.id);
    return text.str();
}

void planned_work::fail(const std::string& kind, const std::string& text)
{
    ++m_tally["FAILED " + kind];
    m_failures.push_back(kind + ": " + text);
}

void planned_work::fail(const std::string& kind, const soak_request& request,
                        const std::vector<json>& runs)
{
    constexpr int most_described = 3;
    const auto name = kind + " [" + name_of(request.pace) + "]";
    fail(name, m_tally["FAILED " + name] < most_described
                   ? describe(request, runs)
                   : request.id);
}

void planned_work::judge_answer(const soak_request& request,
                                const std::vector<json>& runs)
{
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    const auto& answer = *request.answer;
    ++m_tally["status " + std::to_string(answer.status)];
    if (answer.header("request-id") != request.id)
        fail("answer of another request", request, runs);
    if (answer.status == unavailable && answer.header("retry-after").empty())
        fail("refusal without Retry-After", request, runs);
    if (!may_have_run(answer.status) && !runs.empty())
        fail("refused and ran", request, runs);
    constexpr int first_failure = 400;
    constexpr int first_fault = 500;
    if (answer.status >= first_failure && answer.status < first_fault &&
        may_have_run(answer.status))
        fail("denied", request, runs);
    if (answer.status != ok)
        return;
    bool signed_by_run = false;
    for (const auto& run : runs)
        signed_by_run =
            signed_by_run || answer.header("response-signature") ==
                                 "s." + run["replica"].get<std::string>();
    const bool whole = request.path.starts_with("/stream/")
                           ? answer.body == whole_stream()
                           : answer.body.starts_with("run ");
    if (!signed_by_run || !whole)
        fail("wrong answer", request, runs);
}

void planned_work::judge_unanswered(const soak_request& request,
                                    const std::vector<json>& runs)
{
    const bool ran = !runs.empty();
    constexpr long long exempt_after_stop_ms = 3000;
    const auto& process =
        m_processes[static_cast<std::size_t>(request.instance)];
    const bool stream = request.path.starts_with("/stream/");
    const auto limit = stream ? stream_limit_ms : plain_limit_ms;
    if (request.given_up)
    {
        fail("held past its limit", request, runs);
        return;
    }
    if ((ran || request.answer) &&
        request.ended_at - std::max(request.begun_at, request.due_from) >=
            limit)
    {
        constexpr int most_described = 3;
        if (m_tally["unanswered at the time limit"]++ < most_described)
            std::cout << "unanswered at the time limit: "
                      << describe(request, runs);
        return;
    }
    if (ran && stream && process.stopped_at != 0 &&
        request.sent_at <= process.stopped_at + exempt_after_stop_ms &&
        request.ended_at >=
            process.stopped_at + process.grace_ms().first * 5 / 6)
    {
        ++m_tally["streams broken off at the end of the grace period"];
        return;
    }
    // Nothing can follow a part of an answer, which is judged by itself.
    if (!ran && request.before != nullptr && request.before->answer &&
        !request.before->answer->complete)
    {
        ++m_tally["behind an answer that was broken off"];
        return;
    }
    const bool begun = request.answer.has_value();
    const auto waited = request.open_until - request.sent_at;
    const auto slack =
        loss_slack_ms + process.frozen_ms(request.sent_at, request.open_until);
    if (!ran && !begun && waited <= slack)
    {
        ++m_tally["crossed"];
        return;
    }
    const bool late_in_stop =
        stream && process.stopped_at != 0 &&
        request.ended_at >= process.stopped_at + process.grace_ms().first / 2;
    std::string kind = ran ? "ran, no answer" : "no answer";
    if (begun)
        kind = late_in_stop ? "stream cut before the last sixth"
                            : "cut in the answer";
    fail(kind, request, runs);
}

void planned_work::judge_request(const soak_request& request,
                                 const std::vector<json>& runs)
{
    if (request.path.starts_with("/book/") && runs.size() > 1)
        fail("ran twice", request, runs);
    for (const auto& run : runs)
        if (run["body"] != request.body || run["path"] != request.path)
            fail("ran changed", request, runs);
    if (request.sent_at == 0)
    {
        ++m_tally["not sent whole"];
        if (!runs.empty())
            fail("ran before it was whole", request, runs);
    }
    if (request.answered_at != 0)
        judge_answer(request, runs);
    else if (request.sent_at != 0)
        judge_unanswered(request, runs);
}

/// A client that is told that its connection stays open may use it at once.
void planned_work::judge_closings()
{
    for (const auto& closing : m_clients->closings())
    {
        const auto& process =
            m_processes[static_cast<std::size_t>(closing.instance)];
        if (process.stopped_at != 0 &&
            closing.ended_at >=
                process.stopped_at + process.grace_ms().first * 5 / 6)
            continue;
        std::ostringstream text;
        text << "seed " << m_seed << " after request " << closing.last_id
             << " host " << process.host << " answered "
             << closing.answered_at - m_started_at << " closed "
             << closing.ended_at - m_started_at << " SIGTERM "
             << process.stopped_at - m_started_at << "\n";
        fail("closed though kept open", text.str());
    }
}

void planned_work::judge_processes()
{
    for (const auto& process : m_processes)
    {
        const auto most =
            process.grace_ms().second +
            process.frozen_ms(process.stopped_at, process.exited_at);
        if (process.exited_at != 0 && process.status == 0 &&
            process.stopped_at != 0 &&
            process.exited_at - process.stopped_at <= most)
            continue;
        std::ostringstream text;
        text << "seed " << m_seed << " host " << process.host << " spawned "
             << process.spawned_at - m_started_at << " ready "
             << process.ready_at - m_started_at << " SIGTERM "
             << process.stopped_at - m_started_at << " exit "
             << process.exited_at - m_started_at << " status " << process.status
             << " grace " << most << "\n"
             << log_lines(process, "event=stop");
        fail("host did not end in order", text.str());
    }
}

void planned_work::judge_endpoints(const json& run)
{
    const auto run_at = run["at_ms"].get<long long>();
    // The response that tells of it may be lost.
    const auto bound_ms =
        m_besides.lossy_store ? fault_ms + contact_ms : drain_ms;
    for (const auto& each : m_endpoints)
        if (each.id == run["replica"] && each.left_at != 0 &&
            run_at > each.left_at + bound_ms)
            fail("reached an endpoint that had left",
                 "seed " + std::to_string(m_seed) + " " + each.id + " left " +
                     std::to_string(each.left_at - m_started_at) + " run " +
                     std::to_string(run["at_ms"].get<long long>() -
                                    m_started_at) +
                     " " + run["path"].get<std::string>());
}

std::vector<std::string> planned_work::judge()
{
    std::unordered_map<std::string, std::vector<json>> runs;
    for (auto& event : harness::read_event_log(m_site.event_file()))
        if (event["event"] == "run")
        {
            judge_endpoints(event);
            runs[event["id"].get<std::string>()].push_back(std::move(event));
        }
    std::size_t found = 0;
    const std::vector<json> none;
    for (const auto& request : m_clients->requests())
    {
        const auto its_runs = runs.find(request.id);
        found += its_runs == runs.end() ? 0 : 1;
        judge_request(request,
                      its_runs == runs.end() ? none : its_runs->second);
    }
    if (found != runs.size())
        fail("ran unasked", std::to_string(runs.size() - found) + " ids");
    if (m_clients->counts().unasked_bytes != 0)
        fail("unasked bytes",
             std::to_string(m_clients->counts().unasked_bytes));
    judge_closings();
    judge_processes();
    m_summary << "soak seed=" << m_seed << " hosts=" << m_host_count
              << " endpoints=" << m_endpoints.size()
              << " processes_of_hosts=" << m_processes.size()
              << " requests=" << m_clients->requests().size()
              << " stops=" << m_stops << " second=" << m_second_terms
              << " at_start=" << m_quick_stops << " changes=" << m_changes
              << " versions=" << m_versions << " leavings=" << m_leavings
              << " freezes=" << m_freeze_count
              << " store_faults=" << m_lossy_until.size()
              << " no_listener=" << m_clients->counts().no_listener
              << " closed_idle=" << m_clients->counts().closed_idle;
    for (const auto& [name, count] : m_tally)
        m_summary << "; " << name << ": " << count;
    return m_failures;
}

void soak(const disturbances& besides, long long seconds)
{
    constexpr long long ci_seed = 20261206;
    const auto seed = from_environment("RHUBARBGRADE_SOAK_SEED", ci_seed);
    planned_work work(
        static_cast<std::uint64_t>(seed),
        static_cast<int>(from_environment("RHUBARBGRADE_SOAK_SCALE", 1)),
        from_environment("RHUBARBGRADE_SOAK_SECONDS", seconds) * ms_per_second,
        besides);
    work.play();
    const auto failures = work.judge();
    for (const auto& failure : failures)
        std::cout << failure << "\n";
    std::cout << work.summary() << std::endl;
    CHECK(failures.empty());
}

} // namespace

TEST_CASE("two requests that come along with each other are both answered",
          "[pair]")
{
    installation site;
    site.start_replica("i-1", "desk");
    site.set_replica_fault("i-1", {{"delay_ms", 50}});
    site.start_host("h1");
    harness::raw_connection connection(site.host("h1").port());
    const auto request = [](const std::string& path)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " +
               installation::next_id() +
               "\r\nAuthorization: Token k2\r\nContent-Length: 4\r\n"
               "Deadline-Ms: 3000\r\n\r\nbody";
    };
    connection.send(request("/read/first") + request("/read/second"));
    int answers = 0;
    wait_until(
        [&]
        {
            connection.proceed(POLLOUT);
            const auto answer = harness::read_answer(connection.input(), false);
            if (answer && answer->complete)
            {
                connection.input().erase(0, answer->size);
                ++answers;
            }
            return answers == 2;
        },
        5000);
    CHECK(answers == 2);
    CHECK(site.runs("/read/first").size() == 1);
    CHECK(site.runs("/read/second").size() == 1);
}

TEST_CASE("planned work in series and overlapping loses no request", "[soak]")
{
    constexpr long long seconds = 45;
    soak({}, seconds);
}

TEST_CASE("planned work loses no request at hosts that are late, apart from "
          "the time for which they were held up",
          "[late]")
{
    constexpr long long seconds = 15;
    soak({.late_hosts = true}, seconds);
}

TEST_CASE("planned work loses no request while the store loses responses to "
          "watches and has old copies",
          "[lossy]")
{
    constexpr long long seconds = 20;
    soak({.lossy_store = true}, seconds);
}
