// Stand-in for an endpoint on the users' platform, engine and plain service.
//
//   any path            runs the request; a path with "/stream/" is answered by
//                       events, the others by their run's number
//   PUT  /fault         (tests) {events, gap_ms, delay_ms, break_after, shed,
//                       status, lose_answer}
//
// The record keeps each run with the headers that came.

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "delay.hpp"
#include "listen.hpp"
#include "record.hpp"

DEFINE_int32(port, 0, "port to listen on, 0 for one from the kernel");
DEFINE_string(id, "i-1", "id of this start");
DEFINE_string(record, "/dev/null", "file for the record of runs");

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

struct faults
{
    int events = 5;      ///< of a stream
    int gap_ms = 0;      ///< between two events
    int delay_ms = 0;    ///< before an answer
    int break_after = 0; ///< events after which the stream breaks, 0: never
    bool shed = false;   ///< refuses without running
    int status = 200;
    int resume_status = 200;  ///< of a stream that is to go on
    bool lose_answer = false; ///< runs, and breaks before an answer
};

class replica
{
public:
    void serve()
    {
        m_server.new_task_queue = []
        {
            return new httplib::ThreadPool(100);
        };
        m_server.set_keep_alive_max_count(1000000);
        m_server.Put("/fault",
                     [this](const auto& request, auto&)
                     {
                         set_faults(json::parse(request.body));
                     });
        const auto run = [this](const auto& request, auto& answer)
        {
            answer_call(request, answer);
        };
        m_server.Get("/.*", run);
        m_server.Post("/.*", run);
        standin::listen(m_server, FLAGS_port);
    }

private:
    void set_faults(const json& wanted)
    {
        const std::lock_guard lock(m_mutex);
        m_faults = {wanted.value("events", 5),
                    wanted.value("gap_ms", 0),
                    wanted.value("delay_ms", 0),
                    wanted.value("break_after", 0),
                    wanted.value("shed", false),
                    wanted.value("status", 200),
                    wanted.value("resume_status", 200),
                    wanted.value("lose_answer", false)};
    }

    void answer_call(const httplib::Request& request, httplib::Response& answer)
    {
        faults now;
        {
            const std::lock_guard lock(m_mutex);
            now = m_faults;
        }
        answer.set_header("Request-Id", request.get_header_value("Request-Id"));
        if (request.has_header("Expect-Instance") &&
            request.get_header_value("Expect-Instance") != FLAGS_id)
        {
            answer.status = 421;
            answer.set_header("Replica-Id", FLAGS_id);
            return;
        }
        if (now.shed)
        {
            answer.status = 503;
            answer.set_header("Not-Executed", "1");
            return;
        }
        json headers = json::object();
        for (const auto& [name, value] : request.headers)
            headers[name] = value;
        m_record.append({{"event", "run"},
                         {"replica", FLAGS_id},
                         {"id", request.get_header_value("Request-Id")},
                         {"path", request.path},
                         {"body", request.body},
                         {"headers", headers}});
        standin::delay(milliseconds(now.delay_ms));
        if (now.lose_answer)
        {
            answer.set_content_provider(1, "text/plain",
                                        [](std::size_t, std::size_t, auto&)
                                        {
                                            return false;
                                        });
            return;
        }
        const bool resumed = request.has_header("Last-Event-Id");
        answer.status = resumed ? now.resume_status : now.status;
        answer.set_header("Response-Signature", "s." + FLAGS_id);
        if (request.path.find("/stream/") == std::string::npos ||
            answer.status != 200)
            answer.set_content("run " + std::to_string(++m_runs), "text/plain");
        else
            stream(request, answer, now);
    }

    static void stream(const httplib::Request& request,
                       httplib::Response& answer, const faults& now)
    {
        int next = 1;
        if (request.has_header("Last-Event-Id"))
            next = std::stoi(request.get_header_value("Last-Event-Id")) + 1;
        const int first = next;
        answer.set_chunked_content_provider(
            "text/event-stream",
            [next, first, now](std::size_t, httplib::DataSink& sink) mutable
            {
                if (next > now.events)
                {
                    sink.done();
                    return true;
                }
                if (now.break_after != 0 && next - first == now.break_after)
                {
                    const std::string part = "id: " + std::to_string(next);
                    sink.write(part.data(), part.size());
                    return false;
                }
                standin::delay(milliseconds(now.gap_ms));
                const auto event = "id: " + std::to_string(next) +
                                   "\ndata: piece" + std::to_string(next) +
                                   "\n\n";
                ++next;
                return sink.write(event.data(), event.size());
            });
    }

    standin::record m_record{FLAGS_record};
    std::mutex m_mutex;
    faults m_faults;
    std::atomic<int> m_runs{0};
    httplib::Server m_server;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    replica().serve();
}
