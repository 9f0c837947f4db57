// Case 6: a server of a service with a name of 24 characters leaves in order;
// seven seconds later another one drains. Requests must not reach that one
// later than drainMs after the store has acknowledged its state.
#include "lab.hpp"

using namespace lab;

namespace
{

const std::string service = "completions-registry-app";
constexpr long drain_ms = 2000; // bounds.drainMs
constexpr int hosts = 2;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    ::signal(SIGPIPE, SIG_IGN);
    record log(argv[1]);
    temporary_folder folder;
    store platform(log);
    std::mutex mutex;
    std::map<std::string, long> last_run;
    std::map<std::string, int> runs;
    std::atomic<long> drains_at{-1};
    int late = 0;
    const auto run = [&](int handle, const message& request, replica& self)
    {
        const auto now = log.now_ms();
        {
            std::lock_guard lock(mutex);
            last_run[self.id()] = now;
            ++runs[self.id()];
            if (self.id() == "i-2" && drains_at >= 0 &&
                now - drains_at > drain_ms)
            {
                if (late++ % 50 == 0)
                    log.line("%s runs at i-2, %ld ms after the acknowledgement "
                             "that it drains",
                             request.field("request-id").c_str(),
                             now - drains_at);
            }
        }
        return send_all(handle,
                        self.head(request) + "Content-Length: 2\r\n\r\nok");
    };
    std::vector<std::unique_ptr<replica>> servers;
    for (int i = 1; i <= 4; ++i)
        servers.push_back(
            std::make_unique<replica>(log, "i-" + std::to_string(i), run));
    auto state = desired_state(7);
    for (auto& route : state["routes"])
        if (route["service"] == "app")
            route["service"] = service;
    state["services"][1]["name"] = service;
    platform.put("config", "main", state);
    for (const auto& each : servers)
        platform.put("servers", each->id(), each->entry(service, "z1"));
    std::vector<std::unique_ptr<host>> fleet;
    for (int i = 0; i < hosts; ++i)
    {
        fleet.push_back(std::make_unique<host>(
            log, folder.path(), "front-" + std::to_string(i + 1), "z1",
            "127.0.0." + std::to_string(41 + i), platform.address(),
            sheet_bounds));
        fleet.back()->start(argv[2]);
    }
    for (const auto& each : fleet)
        if (!each->wait_ready(10000))
            return 2;
    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
    std::atomic<int> others{0};
    std::vector<std::thread> clients;
    for (const auto& each : fleet)
        clients.emplace_back(
            [&, target = each.get()]
            {
                int handle = -1;
                for (int n = 1; !stop; ++n)
                {
                    if (handle < 0)
                        handle = connect_to(target->ip(), target->front());
                    reader input(handle);
                    message answer;
                    const auto id = target->name() + "-" + std::to_string(n);
                    if (send_all(handle,
                                 request_head("GET", "/look/1", id, 1500) +
                                     "\r\n") &&
                        input.read(answer,
                                   clock_type::now() + milliseconds(2000)) ==
                            read_end::whole)
                        (answer.status() == 200 ? answered : others)++;
                    else
                    {
                        ::close(handle);
                        handle = -1;
                        ++others;
                    }
                    sleep_ms(20);
                }
            });
    sleep_ms(4000);
    if (trouble())
    {
        platform.put("servers", "i-1",
                     servers[0]->entry(service, "z1", 16, "draining"));
        sleep_ms(3000);
        platform.remove("servers", "i-1");
        servers[0]->end();
        log.line("i-1 has left");
        sleep_ms(4000);
    }
    platform.put("servers", "i-2",
                 servers[1]->entry(service, "z1", 16, "draining"));
    drains_at = log.now_ms();
    sleep_ms(8000);
    stop = true;
    for (auto& each : clients)
        each.join();
    std::lock_guard lock(mutex);
    for (const auto& [id, count] : runs)
        log.line("%s ran %d requests", id.c_str(), count);
    log.line("%d requests got 200, %d another end", answered.load(),
             others.load());
    log.line("i-2's last run was %ld ms after the acknowledgement (drainMs "
             "%ld); %d runs came later than that",
             last_run["i-2"] - drains_at.load(), drain_ms, late);
    for (const auto& each : fleet)
        each->copy_lines("critical");
    fleet.clear();
    log.line("%s", late > 0 ? "DRAIN is broken" : "DRAIN held");
    leave(folder, answered < 100 ? 2 : late > 0 ? 1 : 0);
}
