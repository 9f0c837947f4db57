// Case 7: clients that read slowly (nothing for 4.5 s, within a limit of 15 s)
// while the machine gets a SIGHUP. Their answers must reach them whole.
#include "lab.hpp"

using namespace lab;

namespace
{

constexpr int clients_count = 8;
constexpr int events = 70;       // of a counter-query, mean
constexpr long limit_ms = 15000; // of the client and of the route
constexpr long pause_ms = 4500;  // for which a slow client reads nothing
constexpr int receive_buffer = 4096;

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(80, 'x') +
           "\n\n";
}

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
    std::set<std::string> made; // answers that the server has made and sent
    std::string whole;
    for (int i = 1; i <= events; ++i)
        whole += event(i);
    replica server(
        log, "i-1",
        [&](int handle, const message& request, replica& self)
        {
            const auto id = request.field("request-id");
            log.line("i-1 runs %s", id.c_str());
            if (!send_all(
                    handle,
                    self.head(request) +
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n"))
                return false;
            for (int i = 1; i <= events; ++i)
            {
                const auto bytes = event(i);
                char size[32];
                std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
                if (!send_all(handle, size + bytes + "\r\n"))
                    return false;
                sleep_ms(15);
            }
            if (!send_all(handle, "0\r\n\r\n"))
                return false;
            std::lock_guard lock(mutex);
            made.insert(id);
            log.line("i-1 has sent the whole answer of %s", id.c_str());
            return true;
        });
    platform.put("config", "main", desired_state(7));
    platform.put("servers", "i-1", server.entry("pool", "z1", 128));
    host front(log, folder.path(), "front-1", "z1", "127.0.0.51",
               platform.address(), sheet_bounds);
    front.start(argv[2]);
    if (!front.wait_ready(10000))
        return 2;
    sleep_ms(4000); // more than contactMs
    std::atomic<int> complete{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    front.signal(SIGHUP);
    for (int i = 1; i <= clients_count; ++i)
        clients.emplace_back(
            [&, i]
            {
                const auto id = "q-" + std::to_string(i);
                const int handle =
                    connect_to(front.ip(), front.front(), receive_buffer);
                sleep_ms(200);
                const auto until = clock_type::now() + milliseconds(limit_ms);
                const auto sent_at = log.now_ms();
                log.line("%s is sent", id.c_str());
                if (!send_all(handle,
                              request_head(
                                  "POST", "/query/1", id, limit_ms,
                                  "Model: m\r\nToken-Usage: "
                                  "100,280\r\nPrefix-Hash: a" +
                                      std::to_string(i) +
                                      ":100\r\nContent-Length: 4\r\n\r\nbody")))
                    return;
                reader input(handle);
                input.fill(until); // the first bytes
                if (trouble())
                    sleep_ms(pause_ms);
                message answer;
                const auto end = input.read(answer, until);
                const bool is_complete = end == read_end::whole &&
                                         answer.status() == 200 &&
                                         answer.body == whole;
                std::lock_guard lock(mutex);
                const bool is_lost =
                    !is_complete && end != read_end::timed_out &&
                    end != read_end::whole && made.count(id) != 0;
                complete += is_complete ? 1 : 0;
                lost += is_lost ? 1 : 0;
                log.line("%s: %s after %ld ms, %zu of %zu bytes of the body",
                         id.c_str(),
                         is_complete ? "whole answer"
                         : end == read_end::timed_out
                             ? "no whole answer in time"
                             : "the channel has ended without the whole answer",
                         log.now_ms() - sent_at, answer.body.size(),
                         whole.size());
                ::close(handle);
            });
    for (auto& each : clients)
        each.join();
    log.line("%d whole answers, %d lost; %s", complete.load(), lost.load(),
             lost > 3 ? "LOST is broken" : "LOST held");
    const int status = lost > 3 ? 1 : complete == clients_count ? 0 : 2;
    front.end();
    leave(folder, status);
}
