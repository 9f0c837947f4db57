// Stand-in for a model engine with continuous batching.
//
//   POST   /v1/chat/completions, /v1/completions   (X-Request-Id names it)
//   GET    /v1/streams/ID         the stream of ID again, from its start
//   GET    /v1/streams/ID/usage   200 {state, usage} | 404
//   DELETE /v1/streams/ID         cancels; 200 {state, usage} | 404
//   GET    /load                  200 {running, waiting, draining}
//   PUT    /fault                 (tests) {fail, slow_factor, draining}
//
// All running streams advance by one token a step. A step takes step_us, more
// once the batch is larger than its capacity: the engine then collapses.

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

DEFINE_int32(port, 0, "port to listen on, 0 for one from the kernel");
DEFINE_string(record, "/dev/null", "file for the record of runs");
DEFINE_string(name, "engine", "name in the record");
DEFINE_int32(step_us, 2000, "time of one batch step, microseconds");
DEFINE_int32(capacity, 16, "streams that a batch carries without slowing");
DEFINE_string(crash_on, "", "a prompt with this text ends the process");
DEFINE_double(fail, 0, "share of requests answered with 500");
DEFINE_double(slow_factor, 1, "factor on the time of a step");
DEFINE_int32(fail_above, 0, "fail requests above this many running, 0: never");
DEFINE_string(fail_route, "", "fail requests of this route only");

using nlohmann::json;
using std::chrono::steady_clock;

namespace
{

struct generation
{
    std::string id;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t wanted = 0;
    std::uint64_t done = 0;
    bool cancelled = false;

    bool finished() const
    {
        return cancelled || done >= wanted;
    }

    json usage() const
    {
        return {{"prompt_tokens", prompt_tokens},
                {"completion_tokens", done},
                {"total_tokens", prompt_tokens + done}};
    }
};

class engine
{
public:
    explicit engine(standin::record& log)
        : m_log(log),
          m_slow(FLAGS_slow_factor),
          m_fail(FLAGS_fail),
          m_stepper(
              [this](const std::stop_token& stop)
              {
                  step(stop);
              })
    {
    }

    std::shared_ptr<generation> start(const std::string& id,
                                      std::uint64_t prompt,
                                      std::uint64_t wanted,
                                      const std::string& customer)
    {
        const std::lock_guard lock(m_mutex);
        auto& entry = m_streams[id];
        if (entry == nullptr)
        {
            entry = std::make_shared<generation>();
            entry->id = id;
            entry->prompt_tokens = prompt;
            entry->wanted = wanted;
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

    void cancel(generation& stream)
    {
        const std::lock_guard lock(m_mutex);
        if (!stream.finished())
            finish(stream, "cancel");
        m_changed.notify_all();
    }

    // Waits until the stream has more than `seen` tokens or has ended.
    generation wait(const generation& stream, std::uint64_t seen)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock,
                       [&]
                       {
                           return stream.done > seen || stream.finished();
                       });
        return stream;
    }

    int running() const
    {
        return m_running;
    }

    void fault(double fail, double slow)
    {
        m_fail = fail;
        m_slow = slow;
    }

    bool fails(const std::string& route)
    {
        if (!FLAGS_fail_route.empty() && route != FLAGS_fail_route)
            return false;
        if (FLAGS_fail_above > 0 && m_running >= FLAGS_fail_above)
            return true;
        const auto count = static_cast<double>(++m_asked);
        const double share = m_fail;
        return std::floor(count * share) > std::floor((count - 1) * share);
    }

private:
    void finish(generation& stream, const char* how)
    {
        stream.cancelled = std::string(how) == "cancel";
        m_running--;
        m_log.append({{"event", how},
                      {"engine", FLAGS_name},
                      {"id", stream.id},
                      {"tokens", stream.prompt_tokens + stream.done}});
    }

    void step(const std::stop_token& stop)
    {
        std::unique_lock lock(m_mutex);
        while (!stop.stop_requested())
        {
            const double load = static_cast<double>(m_running) / FLAGS_capacity;
            const double factor = load > 1 ? load * load * load : 1;
            const std::chrono::duration<double, std::micro> time(
                FLAGS_step_us * factor * m_slow);
            const auto next = steady_clock::now() + time;
            m_never.wait_until(lock, next,
                               []
                               {
                                   return false;
                               });
            for (auto& [id, stream] : m_streams)
            {
                if (stream->finished())
                    continue;
                stream->done++;
                if (stream->done >= stream->wanted)
                    finish(*stream, "finish");
            }
            m_changed.notify_all();
        }
    }

    standin::record& m_log;
    std::mutex m_mutex;
    std::condition_variable m_changed, m_never;
    std::map<std::string, std::shared_ptr<generation>> m_streams;
    std::atomic<int> m_running{0};
    std::atomic<std::uint64_t> m_asked{0};
    std::atomic<double> m_slow, m_fail;
    std::jthread m_stepper;
};

std::string event(std::uint64_t index)
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
            const auto now = runner.wait(*stream, sent);
            std::string text;
            while (sent < now.done)
                text += event(sent++);
            if (now.finished())
            {
                const json last{
                    {"choices",
                     {{{"index", 0},
                       {"delta", json::object()},
                       {"finish_reason", now.cancelled ? "cancel" : "stop"}}}},
                    {"usage", now.usage()}};
                text += "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
            }
            if (!sink.write(text.data(), text.size()))
                return false;
            if (now.finished())
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
    if (runner.fails(request.get_header_value("X-Route")))
    {
        response.status = 500;
        return;
    }
    const auto id = request.get_header_value("X-Request-Id");
    const auto words = std::max<std::size_t>(1, request.body.size() / 8);
    const auto stream = runner.start(id, words, body.value("max_tokens", 16),
                                     request.get_header_value("X-Customer"));
    if (body.value("stream", false))
        return stream_to(runner, stream, response);
    std::uint64_t seen = 0;
    generation now;
    while (!(now = runner.wait(*stream, seen)).finished())
        seen = now.done;
    std::string text;
    for (std::uint64_t i = 0; i < now.done; ++i)
        text += "t" + std::to_string(i) + " ";
    const json answer{
        {"id", id},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", text}}},
           {"finish_reason", "stop"}}}},
        {"usage", now.usage()}};
    response.set_content(answer.dump(), "application/json");
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    standin::record log(FLAGS_record);
    engine runner(log);
    std::atomic<bool> draining{false};
    httplib::Server server;
    server.new_task_queue = []
    {
        return new httplib::ThreadPool(600);
    };
    server.set_keep_alive_max_count(1000000);
    const auto chat =
        [&](const httplib::Request& request, httplib::Response& response)
    {
        complete(runner, request, response);
    };
    server.Post("/v1/chat/completions", chat);
    server.Post("/v1/completions", chat);
    const auto with_stream = [&](const httplib::Request& request,
                                 httplib::Response& response, auto&& handle)
    {
        const auto stream = runner.find(request.matches[1]);
        if (stream == nullptr)
            response.status = 404;
        else
            handle(stream);
    };
    const auto tell = [&](httplib::Response& response,
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
                                   tell(response, stream);
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
                            tell(response, stream);
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
                   const auto wanted = json::parse(request.body);
                   runner.fault(wanted.value("fail", 0.0),
                                wanted.value("slow_factor", 1.0));
                   draining = wanted.value("draining", false);
               });
    standin::listen(server, FLAGS_port);
}
