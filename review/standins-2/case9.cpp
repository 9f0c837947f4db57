// Case 9: the host that reads for its zone is killed and starts again. Of the
// list of servers, which it reads as one that may be old, the store returns the
// first page as it is and the second one as it was some seconds ago, before a
// server drained. Requests must not reach that server any more.
#include "lab.hpp"

using namespace lab;

namespace
{

constexpr long drain_ms = 2000;     // bounds.drainMs
constexpr long contact_ms = 3000;   // bounds.contactMs
constexpr long staleness_ms = 3000; // of the second page
constexpr int hosts = 2;
constexpr int other_servers = 500; // of another service, on the first page

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    ::signal(SIGPIPE, SIG_IGN);
    record log(argv[1]);
    temporary_folder folder;
    store platform(log);
    platform.page_size = 500;
    std::atomic<bool> drains{false};
    std::atomic<int> stale_pages{0};
    platform.staleness = [&](const message& call)
    {
        const auto target = call.word(1);
        if (!trouble() || !drains ||
            target.find("/servers?after=") == std::string::npos)
            return 0L;
        ++stale_pages;
        log.line("the store answers %s with data that are %ld ms old",
                 target.c_str(), staleness_ms);
        return staleness_ms;
    };
    std::atomic<int> reader_index{-1};
    std::atomic<long> drains_at{-1};
    std::atomic<long> killed_at{-1};
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::map<std::string, long> last;
    std::map<std::string, int> late; // by the host that took the request
    std::map<std::string, long> touched_at;
    const auto run = [&](int handle, const message& request, replica& self)
    {
        const auto now = log.now_ms();
        {
            std::lock_guard lock(mutex);
            ++runs[self.id()];
            if (self.id() == "i-5" && drains_at >= 0)
            {
                const auto id = request.field("request-id");
                const auto by = id.substr(0, id.rfind('-'));
                last[by] = now - drains_at;
                const bool in_touch = touched_at.count(by) == 0 ||
                                      now - touched_at[by] > contact_ms;
                if (last[by] > drain_ms && in_touch && late[by]++ % 20 == 0)
                    log.line("%s runs at i-5, %ld ms after the acknowledgement "
                             "that it drains",
                             id.c_str(), last[by]);
            }
        }
        return send_all(handle,
                        self.head(request) + "Content-Length: 2\r\n\r\nok");
    };
    std::vector<std::unique_ptr<replica>> servers;
    for (int i = 1; i <= 5; ++i)
        servers.push_back(
            std::make_unique<replica>(log, "i-" + std::to_string(i), run));
    platform.put("config", "main", desired_state(7));
    // Servers of the other service, which gets no requests: they fill a page.
    platform.quiet = true;
    for (int i = 0; i < other_servers; ++i)
    {
        auto entry = servers[0]->entry("pool", "z1");
        entry["address"] = "127.0.2.1:" + std::to_string(10000 + i);
        platform.put("servers", "a-" + std::to_string(1000 + i), entry);
    }
    platform.quiet = false;
    for (const auto& each : servers)
        platform.put("servers", each->id(), each->entry("app", "z1"));
    std::vector<std::unique_ptr<host>> fleet;
    for (int i = 0; i < hosts; ++i)
    {
        fleet.push_back(std::make_unique<host>(
            log, folder.path(), "front-" + std::to_string(i + 1), "z1",
            "127.0.0." + std::to_string(71 + i), platform.further_address(i),
            sheet_bounds));
        fleet.back()->start(argv[2]);
    }
    platform.loses_answer = [&](const message& call, const json&, int tag)
    {
        if (call.word(1).find("servers?watch=") != std::string::npos)
            reader_index = tag;
        return false;
    };
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
                    if (handle >= 0 &&
                        send_all(handle,
                                 request_head("GET", "/look/1", id, 1500) +
                                     "\r\n") &&
                        input.read(answer,
                                   clock_type::now() + milliseconds(2000)) ==
                            read_end::whole)
                        answered += answer.status() == 200 ? 1 : 0;
                    else if (handle >= 0)
                    {
                        ::close(handle);
                        handle = -1;
                    }
                    sleep_ms(25);
                }
            });
    sleep_ms(3000);
    // Something in the list changes, so that a watch is answered and tells who
    // reads.
    platform.put("servers", "i-1", servers[0]->entry("app", "z1", 17));
    sleep_ms(1500);
    if (reader_index < 0)
        return 2;
    auto& reading = *fleet[static_cast<std::size_t>(reader_index.load())];
    log.line("%s reads for its zone", reading.name().c_str());
    platform.put("servers", "i-5",
                 servers[4]->entry("app", "z1", 16, "draining"));
    drains_at = log.now_ms();
    drains = true;
    sleep_ms(500);
    {
        std::lock_guard lock(mutex);
        touched_at[reading.name()] = log.now_ms() + 1000;
    }
    reading.signal(SIGKILL);
    sleep_ms(300);
    {
        std::lock_guard lock(mutex);
        touched_at[reading.name()] = log.now_ms();
    }
    reading.start(argv[2]);
    if (!reading.wait_ready(10000))
        return 2;
    sleep_ms(10000);
    stop = true;
    for (auto& each : clients)
        each.join();
    std::lock_guard lock(mutex);
    int sum = 0;
    for (const auto& each : fleet)
    {
        log.line("%s: last run at i-5 %ld ms after the acknowledgement "
                 "(drainMs %ld); %d later than that, in touch",
                 each->name().c_str(), last[each->name()], drain_ms,
                 late[each->name()]);
        sum += late[each->name()];
    }
    for (const auto& each : fleet)
        each->end();
    log.line("DRAIN %s", sum > 0 ? "is broken" : "held");
    leave(folder, answered < 100 || (trouble() && stale_pages == 0) ? 2
                  : sum > 0                                         ? 1
                                                                    : 0);
}
