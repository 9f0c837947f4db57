// Case 10: another writer has left long entries among the servers. The
// processes must not end, nor exceed the memory of their machines, which the
// platform kills them for.
#include "lab.hpp"

using namespace lab;

namespace
{

constexpr int memory_mb = 110; // limits.memoryMb of atlas-doum
constexpr int odd_entries = 130;
constexpr std::size_t odd_bytes = 1000000; // valueBytes is 1,048,576
constexpr int hosts = 2;
constexpr int ends_allowed = 2; // three count, on two machines at least
constexpr long played_ms = 20000;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    ::signal(SIGPIPE, SIG_IGN);
    record log(argv[1]);
    temporary_folder folder;
    store platform(log);
    const auto run = [](int handle, const message& request, replica& self)
    {
        return send_all(handle,
                        self.head(request) + "Content-Length: 2\r\n\r\nok");
    };
    replica first(log, "i-1", run);
    replica second(log, "i-2", run);
    platform.put("config", "main", desired_state(7));
    platform.put("servers", "i-1", first.entry("app", "z1"));
    platform.put("servers", "i-2", second.entry("app", "z1"));
    if (trouble())
    {
        log.line("another writer leaves %d entries of %zu bytes", odd_entries,
                 odd_bytes);
        platform.quiet = true;
        for (int i = 0; i < odd_entries; ++i)
            platform.put(
                "servers", "odd-" + std::to_string(1000 + i),
                std::string(odd_bytes, static_cast<char>('a' + i % 26)));
        platform.quiet = false;
    }
    std::vector<std::unique_ptr<host>> fleet;
    for (int i = 0; i < hosts; ++i)
    {
        fleet.push_back(std::make_unique<host>(
            log, folder.path(), "front-" + std::to_string(i + 1), "z1",
            "127.0.0." + std::to_string(81 + i), platform.address(),
            sheet_bounds, memory_mb));
        fleet.back()->start(argv[2]);
    }
    // The platform: kills a process over the limit, starts those that have
    // ended.
    std::vector<int> ends(hosts);
    std::vector<long> most_kb(hosts);
    std::vector<long> start_at(hosts, -1);
    int answered = 0;
    long next_request = 0;
    int n = 0;
    while (log.now_ms() < played_ms)
    {
        for (int i = 0; i < hosts; ++i)
        {
            auto& each = *fleet[i];
            if (start_at[i] >= 0)
            {
                if (log.now_ms() >= start_at[i])
                {
                    each.start(argv[2]);
                    start_at[i] = -1;
                }
                continue;
            }
            const auto memory = each.memory_kb();
            most_kb[i] = std::max(most_kb[i], memory);
            if (memory > memory_mb * 1024L)
            {
                log.line("%s has %ld KB, over memoryMb", each.name().c_str(),
                         memory);
                each.signal(SIGKILL);
                ++ends[i];
                start_at[i] = log.now_ms() + 500;
            }
            else if (each.ended())
            {
                ++ends[i];
                start_at[i] = log.now_ms() + 500;
            }
        }
        if (log.now_ms() >= next_request)
        {
            next_request = log.now_ms() + 200;
            for (const auto& each : fleet)
            {
                const int handle = connect_to(each->ip(), each->front());
                if (handle < 0)
                    continue;
                reader input(handle);
                message answer;
                if (send_all(handle,
                             request_head("GET", "/look/1",
                                          "q-" + std::to_string(++n), 100) +
                                 "\r\n") &&
                    input.read(answer, clock_type::now() + milliseconds(100)) ==
                        read_end::whole &&
                    answer.status() == 200)
                    ++answered;
                ::close(handle);
            }
        }
        sleep_ms(2);
    }
    int machines = 0;
    for (int i = 0; i < hosts; ++i)
    {
        log.line("%s: %ld KB at most, %d ends", fleet[i]->name().c_str(),
                 most_kb[i], ends[i]);
        machines += ends[i] > ends_allowed ? 1 : 0;
        fleet[i]->end();
    }
    log.line("%d requests sent, %d answered with 200", n, answered);
    const bool broken = machines >= 2;
    log.line("Fault %s", broken ? "is broken: on two machines processes end by "
                                  "themselves three times"
                                : "held");
    leave(folder, broken ? 1 : answered == 0 ? 2 : 0);
}
