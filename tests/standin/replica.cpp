// Stand-in for an endpoint of rhubarbgrade_node: an engine or a plain service.
//
//   GET|POST any path   runs the request; answers with an event stream if the
//                       path contains "/stream/", else with the run's number
//   PUT  /fault         (tests) {events, gap_ms, delay_ms, break_after, shed,
//                       status, resume_status, lose_answer, limit, slots,
//                       brittle, cold_per_s}
//
// With "brittle" it names that figure in all answers. From 3 s later on it
// takes only "slots" requests at a time, and ends when it turns more than that
// figure away in a second; the end is logged as the event "fall".
//
// With "cold_per_s" it ends when it gets more requests in a second than half
// more than that figure and five; the end is logged as the event "fall", too.
//
// Each run is logged with its body, headers and the time of the monotonic
// clock, and so is a stream whose caller has left, as the event "left".

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <string>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "delay.hpp"
#include "listen.hpp"
#include "record.hpp"

DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose one");
DEFINE_string(id, "i-1", "id of this process, compared with Expect-Instance");
DEFINE_int32(threads, 100, "connections that are served at once");
DEFINE_string(record, "/dev/null", "file that runs are appended to");

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

struct faults
{
    int events = 5;   ///< in a stream
    int gap_ms = 0;   ///< before each event
    int delay_ms = 0; ///< before the response
    /// The connection breaks after this many events; 0: never.
    int break_after = 0;
    bool shed = false; ///< answers 503 without running the request
    int status = 200;
    int resume_status = 200;  ///< status of a request with Last-Event-Id
    bool lose_answer = false; ///< runs the request and breaks the connection
    std::string limit;        ///< named in responses; empty: none
    int slots = 0;            ///< requests at a time when it is brittle
    std::string brittle;      ///< named in responses; empty: none
    int cold_per_s = 0;       ///< requests that it survives; 0: all
};

long long now_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

class replica
{
public:
    void serve()
    {
        m_server.new_task_queue = []
        {
            return new httplib::ThreadPool(
                static_cast<std::size_t>(FLAGS_threads));
        };
        m_server.set_keep_alive_max_count(1000000);
        m_server.Put("/fault",
                     [this](const auto& request, auto&)
                     {
                         set_faults(json::parse(request.body));
                     });
        const auto handler = [this](const auto& request, auto& response)
        {
            handle_call(request, response);
        };
        m_server.Get("/.*", handler);
        m_server.Post("/.*", handler);
        standin::listen(m_server, FLAGS_port);
    }

private:
    void set_faults(const json& requested)
    {
        const std::lock_guard lock(m_mutex);
        m_faults = {requested.value("events", 5),
                    requested.value("gap_ms", 0),
                    requested.value("delay_ms", 0),
                    requested.value("break_after", 0),
                    requested.value("shed", false),
                    requested.value("status", 200),
                    requested.value("resume_status", 200),
                    requested.value("lose_answer", false),
                    requested.value("limit", ""),
                    requested.value("slots", 0),
                    requested.value("brittle", ""),
                    requested.value("cold_per_s", 0)};
        m_brittle_since = now_ms();
    }

    void handle_call(const httplib::Request& request,
                     httplib::Response& response)
    {
        faults active_faults;
        {
            const std::lock_guard lock(m_mutex);
            active_faults = m_faults;
        }
        response.set_header("Request-Id",
                            request.get_header_value("Request-Id"));
        if (request.has_header("Expect-Instance") &&
            request.get_header_value("Expect-Instance") != FLAGS_id)
        {
            response.status = 421;
            response.set_header("Replica-Id", FLAGS_id);
            return;
        }
        if (!active_faults.brittle.empty())
            response.set_header("Server-Brittle", active_faults.brittle);
        count_while_cold(active_faults);
        const running_request running(m_running);
        if (has_no_room(active_faults))
        {
            response.status = 503;
            response.set_header("Not-Executed", "1");
            return;
        }
        if (active_faults.shed)
        {
            response.status = 503;
            response.set_header("Not-Executed", "1");
            return;
        }
        json headers = json::object();
        for (const auto& [name, value] : request.headers)
            headers[name] = value;
        m_log.append({{"event", "run"},
                      {"replica", FLAGS_id},
                      {"id", request.get_header_value("Request-Id")},
                      {"path", request.path},
                      {"body", request.body},
                      {"at_ms", now_ms()},
                      {"headers", headers}});
        standin::delay(milliseconds(active_faults.delay_ms));
        if (active_faults.lose_answer)
        {
            response.set_content_provider(1, "text/plain",
                                          [](std::size_t, std::size_t, auto&)
                                          {
                                              return false;
                                          });
            return;
        }
        const bool resumed = request.has_header("Last-Event-Id");
        response.status =
            resumed ? active_faults.resume_status : active_faults.status;
        response.set_header("Response-Signature", "s." + FLAGS_id);
        if (!active_faults.limit.empty())
            response.set_header("Server-Limit", active_faults.limit);
        if (request.path.find("/stream/") == std::string::npos ||
            response.status != 200)
            response.set_content("run " + std::to_string(++m_runs),
                                 "text/plain");
        else
            stream(request, response, active_faults);
    }

    /// Counts a request while it is handled.
    struct running_request
    {
        explicit running_request(std::atomic<int>& with_count)
            : count(with_count)
        {
            ++count;
        }

        ~running_request()
        {
            --count;
        }

        std::atomic<int>& count;
    };

    /// Whether a request is turned away; the process ends if that happens too
    /// often.
    bool has_no_room(const faults& active_faults)
    {
        constexpr long long notice_ms = 3000;
        constexpr long long second_ms = 1000;
        const std::lock_guard lock(m_mutex);
        const auto now = now_ms();
        if (active_faults.brittle.empty() ||
            now - m_brittle_since < notice_ms ||
            m_running <= active_faults.slots)
            return false;
        m_turned_away.push_back(now);
        while (now - m_turned_away.front() >= second_ms)
            m_turned_away.pop_front();
        if (static_cast<int>(m_turned_away.size()) >
            std::stoi(active_faults.brittle))
            fall();
        return true;
    }

    void count_while_cold(const faults& active_faults)
    {
        constexpr long long second_ms = 1000;
        if (active_faults.cold_per_s == 0)
            return;
        const std::lock_guard lock(m_mutex);
        const auto now = now_ms();
        m_while_cold.push_back(now);
        while (now - m_while_cold.front() >= second_ms)
            m_while_cold.pop_front();
        if (2 * m_while_cold.size() >
            static_cast<std::size_t>(3 * active_faults.cold_per_s + 10))
            fall();
    }

    [[noreturn]] void fall()
    {
        m_log.append({{"event", "fall"},
                      {"replica", FLAGS_id},
                      {"path", "fall"},
                      {"at_ms", now_ms()}});
        std::_Exit(1);
    }

    void stream(const httplib::Request& request, httplib::Response& response,
                const faults& active_faults)
    {
        int next_event = 1;
        if (request.has_header("Last-Event-Id"))
            next_event =
                std::stoi(request.get_header_value("Last-Event-Id")) + 1;
        const int first_event = next_event;
        response.set_chunked_content_provider(
            "text/event-stream",
            [this, next_event, first_event, active_faults,
             path = request.path](std::size_t, httplib::DataSink& sink) mutable
            {
                if (next_event > active_faults.events)
                {
                    sink.done();
                    return true;
                }
                if (active_faults.break_after != 0 &&
                    next_event - first_event == active_faults.break_after)
                {
                    const std::string partial_event =
                        "id: " + std::to_string(next_event);
                    sink.write(partial_event.data(), partial_event.size());
                    return false;
                }
                standin::delay(milliseconds(active_faults.gap_ms));
                const auto event = "id: " + std::to_string(next_event) +
                                   "\ndata: piece" +
                                   std::to_string(next_event) + "\n\n";
                ++next_event;
                if (sink.write(event.data(), event.size()))
                    return true;
                m_log.append({{"event", "left"},
                              {"replica", FLAGS_id},
                              {"path", path + "/left"},
                              {"at_ms", now_ms()}});
                return false;
            });
    }

    standin::event_log m_log{FLAGS_record};
    std::mutex m_mutex;
    faults m_faults;
    std::atomic<int> m_runs{0};
    std::atomic<int> m_running{0};
    long long m_brittle_since = 0;
    std::deque<long long> m_turned_away; ///< times
    std::deque<long long> m_while_cold;  ///< times of requests
    httplib::Server m_server;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    replica().serve();
}
