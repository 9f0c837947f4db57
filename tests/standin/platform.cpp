// Stand-in for the platform: the Object API and the host list.
//
//   GET    /objects/NAME              200 value, ETag: version | 404
//   PUT    /objects/NAME  If-Match: V | If-None-Match: *
//                                     200 {version} | 412 {version}
//   GET    /list?prefix=P             200 [{name, version}]
//   GET    /watch/NAME?above=V&wait_ms=W   200 value | 204 unchanged
//   GET    /hosts                     200 [{name, zone, rpc, state}]
//   PUT    /hosts                     (tests) replaces the host list
//   PUT    /fault {mode, slow_ms}     (tests) delays calls and sets the mode:
//     pass          no fault
//     down          all calls fail with status 503
//     drop_answers  writes of objects take effect, but fail with status 504
//   GET    /stats                     (tests) numbers of calls and bytes

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <string>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "listen.hpp"
#include "record.hpp"

DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose one");
DEFINE_string(record, "/dev/null", "file that writes are appended to");

using nlohmann::json;

namespace
{

struct object
{
    std::uint64_t version = 0;
    std::string value;
};

struct platform_state
{
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, object> objects;
    std::uint64_t next_version = 1;
    std::string hosts = "[]";
    std::string fault_mode = "pass";
    int slow_ms = 0;
    std::atomic<std::uint64_t> reads{0}, writes{0}, watches{0}, waiting{0};
    std::atomic<std::uint64_t> bytes_in{0}, bytes_out{0};
};

// Delays one call, as a slow network or disk would; other calls go on.
void delay_call(std::chrono::milliseconds time)
{
    std::mutex mutex;
    std::condition_variable never_notified;
    std::unique_lock lock(mutex);
    never_notified.wait_for(lock, time,
                            []
                            {
                                return false;
                            });
}

void put_object(platform_state& state, standin::event_log& log,
                const httplib::Request& request, httplib::Response& response)
{
    const std::string name = request.matches[1];
    std::unique_lock lock(state.mutex);
    const auto found = state.objects.find(name);
    const std::uint64_t current =
        found == state.objects.end() ? 0 : found->second.version;
    const bool create = request.get_header_value("If-None-Match") == "*";
    const auto if_match = request.get_header_value("If-Match");
    const bool precondition_holds =
        create ? current == 0 : if_match == std::to_string(current);
    if (!precondition_holds || request.body.size() > (1U << 20U))
    {
        response.status = precondition_holds ? 413 : 412;
        response.set_content(json{{"version", current}}.dump(),
                             "application/json");
        return;
    }
    const auto version = state.next_version++;
    state.objects[name] = {version, request.body};
    log.append({{"event", "put"}, {"name", name}, {"version", version}});
    state.changed.notify_all();
    response.set_content(json{{"version", version}}.dump(), "application/json");
}

void send_object(httplib::Response& response, const object& found)
{
    response.set_header("ETag", std::to_string(found.version));
    response.set_content(found.value, "application/octet-stream");
}

void watch(platform_state& state, const httplib::Request& request,
           httplib::Response& response)
{
    const std::string name = request.matches[1];
    const auto above = std::stoull(request.get_param_value("above"));
    const auto wait = std::stoi(request.get_param_value("wait_ms"));
    std::unique_lock lock(state.mutex);
    state.waiting++;
    const bool changed =
        state.changed.wait_for(lock, std::chrono::milliseconds(wait),
                               [&]
                               {
                                   return state.objects[name].version > above;
                               });
    state.waiting--;
    if (!changed || state.fault_mode == "down")
    {
        response.status = changed ? 503 : 204;
        return;
    }
    send_object(response, state.objects[name]);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    platform_state state;
    standin::event_log log(FLAGS_record);
    httplib::Server server;
    server.new_task_queue = []
    {
        return new httplib::ThreadPool(400);
    };
    server.set_keep_alive_max_count(1000000);
    server.set_pre_routing_handler(
        [&](const httplib::Request& request, httplib::Response& response)
        {
            const bool is_test_call =
                request.path == "/fault" || request.path == "/stats" ||
                (request.path == "/hosts" && request.method == "PUT");
            if (is_test_call)
                return httplib::Server::HandlerResponse::Unhandled;
            std::string fault_mode;
            int delay_ms = 0;
            {
                const std::lock_guard lock(state.mutex);
                fault_mode = state.fault_mode;
                delay_ms = state.slow_ms;
            }
            if (delay_ms > 0)
                delay_call(std::chrono::milliseconds(delay_ms));
            if (fault_mode != "down")
                return httplib::Server::HandlerResponse::Unhandled;
            response.status = 503;
            return httplib::Server::HandlerResponse::Handled;
        });
    server.set_post_routing_handler(
        [&](const httplib::Request& request, httplib::Response& response)
        {
            state.bytes_in += request.body.size();
            state.bytes_out += response.body.size();
            const std::lock_guard lock(state.mutex);
            if (state.fault_mode == "drop_answers" && request.method == "PUT" &&
                request.path.starts_with("/objects/"))
            {
                response.status = 504;
                response.body.clear();
            }
        });
    server.Get(R"(/objects/(.+))",
               [&](const httplib::Request& request, httplib::Response& response)
               {
                   state.reads++;
                   const std::lock_guard lock(state.mutex);
                   const auto found = state.objects.find(request.matches[1]);
                   if (found == state.objects.end() ||
                       found->second.version == 0)
                       response.status = 404;
                   else
                       send_object(response, found->second);
               });
    server.Put(R"(/objects/(.+))",
               [&](const httplib::Request& request, httplib::Response& response)
               {
                   state.writes++;
                   put_object(state, log, request, response);
               });
    server.Get("/list",
               [&](const httplib::Request& request, httplib::Response& response)
               {
                   state.reads++;
                   const auto prefix = request.get_param_value("prefix");
                   json names = json::array();
                   const std::lock_guard lock(state.mutex);
                   for (const auto& [name, value] : state.objects)
                       if (name.starts_with(prefix) && value.version > 0)
                           names.push_back(
                               {{"name", name}, {"version", value.version}});
                   response.set_content(names.dump(), "application/json");
               });
    server.Get(R"(/watch/(.+))",
               [&](const httplib::Request& request, httplib::Response& response)
               {
                   state.watches++;
                   watch(state, request, response);
               });
    server.Get("/hosts",
               [&](const httplib::Request&, httplib::Response& response)
               {
                   state.reads++;
                   const std::lock_guard lock(state.mutex);
                   response.set_content(state.hosts, "application/json");
               });
    server.Put("/hosts",
               [&](const httplib::Request& request, httplib::Response&)
               {
                   const std::lock_guard lock(state.mutex);
                   state.hosts = request.body;
               });
    server.Put("/fault",
               [&](const httplib::Request& request, httplib::Response&)
               {
                   const auto requested = json::parse(request.body);
                   const std::lock_guard lock(state.mutex);
                   state.fault_mode = requested.value("mode", "pass");
                   state.slow_ms = requested.value("slow_ms", 0);
                   state.changed.notify_all();
               });
    server.Get("/stats",
               [&](const httplib::Request&, httplib::Response& response)
               {
                   const json counts{{"reads", state.reads.load()},
                                     {"writes", state.writes.load()},
                                     {"watches", state.watches.load()},
                                     {"waiting", state.waiting.load()},
                                     {"bytes_in", state.bytes_in.load()},
                                     {"bytes_out", state.bytes_out.load()}};
                   response.set_content(counts.dump(), "application/json");
               });
    standin::listen(server, FLAGS_port);
}
