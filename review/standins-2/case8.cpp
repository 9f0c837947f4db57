// Case 8: the store loses one answer, that to the watch in which it would tell
// the host that reads for its zone that a server drains. Once the store has
// been sound for contactMs again, requests must not reach that server any more.
#include "lab.hpp"

using namespace lab;

namespace
{

constexpr long drain_ms = 2000;   // bounds.drainMs
constexpr long contact_ms = 3000; // bounds.contactMs
constexpr int hosts = 3;          // two in z1, one in z2

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    ::signal(SIGPIPE, SIG_IGN);
    record log(argv[1]);
    temporary_folder folder;
    store platform(log);
    std::atomic<long> watched_at{-1};
    std::atomic<long> drains_at{-1};
    std::atomic<bool> loses{false};
    std::atomic<long> lost_at{-1};
    platform.loses_answer = [&](const message& call, const json& body, int tag)
    {
        if (tag != 1 ||
            call.word(1).find("servers?watch=") == std::string::npos ||
            body["events"].empty() || !loses.exchange(false))
            return false;
        lost_at = log.now_ms();
        log.line("the store loses the answer to %s from z1: %s",
                 call.word(1).c_str(),
                 body["events"][0]["object"]["spec"].dump().c_str());
        return true;
    };
    std::mutex mutex;
    std::map<std::string, int> runs;
    int late = 0;
    long last = -1;
    const auto run = [&](int handle, const message& request, replica& self)
    {
        const auto now = log.now_ms();
        {
            std::lock_guard lock(mutex);
            ++runs[self.id()];
            if (self.id() == "i-1" && drains_at >= 0)
            {
                last = now - drains_at;
                // In touch: contactMs after the store's fault has ended.
                const bool in_touch = lost_at < 0 || now - lost_at > contact_ms;
                if (last > drain_ms && in_touch && late++ % 20 == 0)
                    log.line("%s runs at i-1, %ld ms after the acknowledgement "
                             "that it drains",
                             request.field("request-id").c_str(), last);
            }
        }
        return send_all(handle,
                        self.head(request) + "Content-Length: 2\r\n\r\nok");
    };
    replica first(log, "i-1", run);
    replica second(log, "i-2", run);
    platform.put("config", "main", desired_state(7));
    platform.put("servers", "i-1", first.entry("app", "z1"));
    platform.put("servers", "i-2", second.entry("app", "z2"));
    platform.on_call = [&](const message& call)
    {
        if (call.word(1).find("servers?watch=") != std::string::npos)
            watched_at = log.now_ms();
        return 0;
    };
    const auto z1_address = platform.further_address(1);
    const auto z2_address = platform.further_address(2);
    std::vector<std::unique_ptr<host>> fleet;
    for (int i = 0; i < hosts; ++i)
    {
        const bool in_z1 = i < 2;
        fleet.push_back(std::make_unique<host>(
            log, folder.path(), "front-" + std::to_string(i + 1),
            in_z1 ? "z1" : "z2", "127.0.0." + std::to_string(61 + i),
            in_z1 ? z1_address : z2_address, sheet_bounds));
        fleet.back()->start(argv[2]);
    }
    for (const auto& each : fleet)
        if (!each->wait_ready(10000))
            return 2;
    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
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
                    const auto id = target->name() + "-" + std::to_string(n);
                    reader input(handle);
                    message answer;
                    if (send_all(handle,
                                 request_head("GET", "/look/1", id, 1500) +
                                     "\r\n") &&
                        input.read(answer,
                                   clock_type::now() + milliseconds(2000)) ==
                            read_end::whole)
                        answered += answer.status() == 200 ? 1 : 0;
                    else
                    {
                        ::close(handle);
                        handle = -1;
                    }
                    sleep_ms(25);
                }
            });
    // A second after the hosts have begun a watch, which lasts for 8 s.
    while (log.now_ms() < 6000 || log.now_ms() - watched_at < 1000 ||
           log.now_ms() - watched_at > 1200)
    {
        if (log.now_ms() > 40000)
            return 2;
        sleep_ms(20);
    }
    loses = trouble();
    platform.put("servers", "i-1", first.entry("app", "z1", 16, "draining"));
    drains_at = log.now_ms();
    sleep_ms(11000);
    stop = true;
    for (auto& each : clients)
        each.join();
    std::lock_guard lock(mutex);
    for (const auto& [id, count] : runs)
        log.line("%s ran %d requests", id.c_str(), count);
    log.line(
        "i-1's last run was %ld ms after the acknowledgement (drainMs %ld)",
        last, drain_ms);
    log.line("%d runs at i-1 came later than drainMs after it, and later than "
             "contactMs after the lost answer",
             late);
    for (const auto& each : fleet)
        each->end();
    log.line("DRAIN %s", late > 0 ? "is broken" : "held");
    const bool could_run = answered > 100 && (!trouble() || lost_at >= 0);
    leave(folder, !could_run ? 2 : late > 0 ? 1 : 0);
}
