// Stand-in for a model engine with continuous batching.
//
//   POST   /v1/chat/completions, /v1/completions   (X-Request-Id: stream ID)
//   GET    /v1/streams/ID         replays the stream from its start
//   GET    /v1/streams/ID/usage   200 {state, usage} | 404
//   DELETE /v1/streams/ID         cancels; 200 {state, usage} | 404
//   GET    /load                  200 {running, draining}
//   PUT    /fault                 (tests) {fail, slow_factor, draining}
//
// A step generates one token for each running stream and takes step_us. With
// more streams than the capacity, the step time grows with the cube of the
// load, so that the throughput of an overloaded engine collapses.
//
// A POST with the id of an existing stream attaches to it and is logged as
// "duplicate".

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "listen.hpp"
#include "record.hpp"

DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose one");
DEFINE_string(record, "/dev/null",
              "file that started and ended runs are appended to");
DEFINE_string(name, "engine", "engine name in that file");
DEFINE_int32(step_us, 2000, "time of one batch step, microseconds");
DEFINE_int32(capacity, 16, "streams in a batch above which steps take longer");
DEFINE_string(crash_on, "", "exit when a request body contains this text");
DEFINE_double(fail, 0, "share of requests answered with status 500");
DEFINE_double(slow_factor, 1, "factor applied to the step time");
DEFINE_int32(fail_above, 0,
             "fail requests while this many streams run, 0: never");
DEFINE_string(fail_route, "", "fail only requests whose X-Route is this one");

using nlohmann::json;
using std::chrono::steady_clock;

namespace
{

struct generation
{
    std::string id;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0;
    std::uint64_t generated = 0;
    bool cancelled = false;

    bool finished() const
    {
        return cancelled || generated >= max_tokens;
    }

    json usage() const
    {
        return {{"prompt_tokens", prompt_tokens},
                {"completion_tokens", generated},
                {"total_tokens", prompt_tokens + generated}};
    }
};

class engine
{
public:
    explicit engine(standin::event_log& log)
        : m_log(log),
          m_slowdown(FLAGS_slow_factor),
          m_failure_share(FLAGS_fail),
          m_step_thread(
              [this](const std::stop_token& stop)
              {
                  run_steps(stop);
              })
    {
    }

    std::shared_ptr<generation> start(const std::string& id,
                                      std::uint64_t prompt_length,
                                      std::uint64_t max_tokens,
                                      const std::string& customer)
    {
        const std::lock_guard lock(m_mutex);
        auto& entry = m_streams[id];
        if (entry == nullptr)
        {
            entry = std::make_shared<generation>();
            entry->id = id;
            entry->prompt_tokens = prompt_length;
            entry->max_tokens = max_tokens;
            m_running++;
            m_log.append({{"event", "start"},
                          {"engine", FLAGS_name},
                          {"customer", customer},
                          {"id", id}});
        }
        else
            m_log.append({{"event", "duplicate"}, {"id", id}});
        m_changed.notify_all();
        return entry;
    }

    std::shared_ptr<generation> find(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_streams.find(id);
        return found == m_streams.end() ? nullptr : found->second;
    }

    // Does nothing if the stream has ended.
    void cancel(generation& stream)
    {
        const std::lock_guard lock(m_mutex);
        if (!stream.finished())
            finish(stream, "cancel");
        m_changed.notify_all();
    }

    // Waits until the stream has more than `seen` tokens or has ended; returns
    // a copy of its state.
    generation wait(const generation& stream, std::uint64_t seen)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock,
                       [&]
                       {
                           return stream.generated > seen || stream.finished();
                       });
        return stream;
    }

    int running() const
    {
        return m_running;
    }

    void set_faults(double fail, double slowdown)
    {
        m_failure_share = fail;
        m_slowdown = slowdown;
    }

    // Decides whether to fail a request; failures are spread evenly over the
    // requests that count towards the share.
    bool should_fail(const std::string& route)
    {
        if (!FLAGS_fail_route.empty() && route != FLAGS_fail_route)
            return false;
        if (FLAGS_fail_above > 0 && m_running >= FLAGS_fail_above)
            return true;
        const auto count = static_cast<double>(++m_request_count);
        const double share = m_failure_share;
        return std::floor(count * share) > std::floor((count - 1) * share);
    }

private:
    // Ends a stream with the event "finish" or "cancel"; call with m_mutex
    // held.
    void finish(generation& stream, const char* event_name)
    {
        stream.cancelled = std::string(event_name) == "cancel";
        m_running--;
        m_log.append({{"event", event_name},
                      {"engine", FLAGS_name},
                      {"id", stream.id},
                      {"tokens", stream.prompt_tokens + stream.generated}});
    }

    void run_steps(const std::stop_token& stop)
    {
        std::unique_lock lock(m_mutex);
        while (!stop.stop_requested())
        {
            const double load = static_cast<double>(m_running) / FLAGS_capacity;
            const double factor = load > 1 ? load * load * load : 1;
            const std::chrono::duration<double, std::micro> step_time(
                FLAGS_step_us * factor * m_slowdown);
            const auto step_end = steady_clock::now() + step_time;
            m_never_notified.wait_until(lock, step_end,
                                        []
                                        {
                                            return false;
                                        });
            for (auto& [id, stream] : m_streams)
            {
                if (stream->finished())
                    continue;
                stream->generated++;
                if (stream->generated >= stream->max_tokens)
                    finish(*stream, "finish");
            }
            m_changed.notify_all();
        }
    }

    standin::event_log& m_log;
    std::mutex m_mutex;
    std::condition_variable m_changed, m_never_notified;
    std::map<std::string, std::shared_ptr<generation>> m_streams;
    std::atomic<int> m_running{0};
    std::atomic<std::uint64_t> m_request_count{0};
    std::atomic<double> m_slowdown, m_failure_share;
    std::jthread m_step_thread;
};

std::string token_event(std::uint64_t index)
{
    const json chunk{
        {"object", "chat.completion.chunk"},
        {"choices",
         {{{"index", 0},
           {"delta", {{"content", "t" + std::to_string(index) + " "}}}}}}};
    return "data: " + chunk.dump() + "\n\n";
}

void stream_to(engine& runner, const std::shared_ptr<generation>& stream,
               httplib::Response& response)
{
    response.set_chunked_content_provider(
        "text/event-stream",
        [&runner, stream,
         sent = std::uint64_t{0}](std::size_t, httplib::DataSink& sink) mutable
        {
            const auto snapshot = runner.wait(*stream, sent);
            std::string text;
            while (sent < snapshot.generated)
                text += token_event(sent++);
            if (snapshot.finished())
            {
                const json final_chunk{
                    {"choices",
                     {{{"index", 0},
                       {"delta", json::object()},
                       {"finish_reason",
                        snapshot.cancelled ? "cancel" : "stop"}}}},
                    {"usage", snapshot.usage()}};
                text += "data: " + final_chunk.dump() + "\n\ndata: [DONE]\n\n";
            }
            if (!sink.write(text.data(), text.size()))
                return false;
            if (snapshot.finished())
                sink.done();
            return true;
        });
}

void complete(engine& runner, const httplib::Request& request,
              httplib::Response& response)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded())
    {
        response.status = 400;
        return;
    }
    if (!FLAGS_crash_on.empty() &&
        request.body.find(FLAGS_crash_on) != std::string::npos)
        std::_Exit(3);
    if (runner.should_fail(request.get_header_value("X-Route")))
    {
        response.status = 500;
        return;
    }
    const auto id = request.get_header_value("X-Request-Id");
    const auto estimated_tokens =
        std::max<std::size_t>(1, request.body.size() / 8);
    const auto stream =
        runner.start(id, estimated_tokens, body.value("max_tokens", 16),
                     request.get_header_value("X-Customer"));
    if (body.value("stream", false))
        return stream_to(runner, stream, response);
    std::uint64_t seen = 0;
    generation snapshot;
    while (!(snapshot = runner.wait(*stream, seen)).finished())
        seen = snapshot.generated;
    std::string text;
    for (std::uint64_t i = 0; i < snapshot.generated; ++i)
        text += "t" + std::to_string(i) + " ";
    const json answer{
        {"id", id},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", text}}},
           {"finish_reason", "stop"}}}},
        {"usage", snapshot.usage()}};
    response.set_content(answer.dump(), "application/json");
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    standin::event_log log(FLAGS_record);
    engine runner(log);
    std::atomic<bool> draining{false};
    httplib::Server server;
    server.new_task_queue = []
    {
        return new httplib::ThreadPool(600);
    };
    server.set_keep_alive_max_count(1000000);
    const auto handle_completion =
        [&](const httplib::Request& request, httplib::Response& response)
    {
        complete(runner, request, response);
    };
    server.Post("/v1/chat/completions", handle_completion);
    server.Post("/v1/completions", handle_completion);
    const auto with_stream = [&](const httplib::Request& request,
                                 httplib::Response& response, auto&& handle)
    {
        const auto stream = runner.find(request.matches[1]);
        if (stream == nullptr)
            response.status = 404;
        else
            handle(stream);
    };
    const auto send_state = [&](httplib::Response& response,
                                const std::shared_ptr<generation>& stream)
    {
        const json state{{"state", stream->finished() ? "ended" : "running"},
                         {"usage", stream->usage()}};
        response.set_content(state.dump(), "application/json");
    };
    server.Get(R"(/v1/streams/([^/]+))",
               [&](const httplib::Request& request, httplib::Response& response)
               {
                   with_stream(request, response,
                               [&](const auto& stream)
                               {
                                   stream_to(runner, stream, response);
                               });
               });
    server.Get(R"(/v1/streams/([^/]+)/usage)",
               [&](const httplib::Request& request, httplib::Response& response)
               {
                   with_stream(request, response,
                               [&](const auto& stream)
                               {
                                   send_state(response, stream);
                               });
               });
    server.Delete(
        R"(/v1/streams/([^/]+))",
        [&](const httplib::Request& request, httplib::Response& response)
        {
            with_stream(request, response,
                        [&](const auto& stream)
                        {
                            runner.cancel(*stream);
                            send_state(response, stream);
                        });
        });
    server.Get("/load",
               [&](const httplib::Request&, httplib::Response& response)
               {
                   const json load{{"running", runner.running()},
                                   {"draining", draining.load()}};
                   response.set_content(load.dump(), "application/json");
               });
    server.Put("/fault",
               [&](const httplib::Request& request, httplib::Response&)
               {
                   const auto requested = json::parse(request.body);
                   runner.set_faults(requested.value("fail", 0.0),
                                     requested.value("slow_factor", 1.0));
                   draining = requested.value("draining", false);
               });
    standin::listen(server, FLAGS_port);
}
