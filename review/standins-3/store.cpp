// Stand-in for the platform's store, as PROTOCOL.md describes it: objects by
// kind and name, one revision counter, conditional writes, lists in pages,
// watches. It is sound, but for what is asked for below.
//
// usage: store PORT [OLD_MS [PORT...]]
//   OLD_MS  calls with "serializable" get data that are so old (0)
//   PORT    further ports; a host that has one of its own can lose answers
//
// PUT /lose/PORT/KIND: the next response with changes to a watch of that kind
// at that port is lost; its connection stays open and returns nothing further.

#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.hpp"

using nlohmann::json;

namespace
{

constexpr std::size_t page_items = 500;
constexpr std::size_t page_bytes = 1'000'000;

struct change
{
    std::uint64_t revision;
    std::string kind;
    json object;
    bool removed;
    long long at;
};

struct answer
{
    int status = 200;
    json body = json::object();
    bool lost = false;
};

std::mutex mutex;
std::condition_variable changed;
std::uint64_t revision = 100;
std::map<std::string, std::map<std::string, json>> kinds;
std::vector<change> history;
int old_ms = 0;
std::map<int, std::string> to_lose; ///< kind by port

void record(const std::string& kind, const json& object, bool removed)
{
    history.push_back({revision, kind, object, removed, net::now_ms()});
    changed.notify_all();
}

/// Members of an entry that count as a change of it.
json content(const std::string& kind, json spec)
{
    if (kind == "servers" && spec.is_object())
        spec.erase("sequence");
    return spec;
}

/// The store as it was old_ms ago.
struct copy
{
    std::map<std::string, std::map<std::string, json>> kinds;
    std::uint64_t revision = 100;
};

copy old_copy()
{
    copy old;
    for (const auto& each : history)
    {
        if (each.at > net::now_ms() - old_ms)
            break;
        old.revision = each.revision;
        const auto name = each.object["metadata"]["name"].get<std::string>();
        if (each.removed)
            old.kinds[each.kind].erase(name);
        else
            old.kinds[each.kind][name] = each.object;
    }
    return old;
}

answer list(const std::string& kind, const std::string& after, bool old)
{
    const std::lock_guard lock(mutex);
    const auto present = old ? old_copy() : copy{kinds, revision};
    json items = json::array();
    bool more = false;
    std::size_t bytes = 0;
    const auto found = present.kinds.find(kind);
    const auto objects = found == present.kinds.end()
                             ? std::map<std::string, json>()
                             : found->second;
    for (auto at = objects.upper_bound(after); at != objects.end(); ++at)
    {
        const auto size = at->second.dump().size();
        if (!items.empty() &&
            (items.size() == page_items || bytes + size > page_bytes))
        {
            more = true;
            break;
        }
        bytes += size;
        items.push_back(at->second);
    }
    return {200,
            {{"items", items},
             {"hasMore", more},
             {"storeRevision", present.revision}}};
}

answer watch(const std::string& kind, std::uint64_t since, int wait_ms,
             bool old, int port)
{
    std::unique_lock lock(mutex);
    json events = json::array();
    const auto collect = [&]
    {
        events = json::array();
        const auto by = net::now_ms() - (old ? old_ms : 0);
        for (const auto& each : history)
            if (each.kind == kind && each.revision > since && each.at <= by)
                events.push_back(
                    {{"object", each.object}, {"tombstone", each.removed}});
        return !events.empty();
    };
    changed.wait_for(lock, std::chrono::milliseconds(wait_ms), collect);
    answer reply{200,
                 {{"events", events},
                  {"storeRevision", old ? old_copy().revision : revision}}};
    if (!old && !events.empty() && to_lose[port] == kind)
    {
        to_lose.erase(port);
        reply.lost = true;
    }
    return reply;
}

answer create(const std::string& kind, const json& body)
{
    const std::lock_guard lock(mutex);
    const auto name = body.at("metadata").at("name").get<std::string>();
    auto& objects = kinds[kind];
    if (objects.contains(name))
        return {409, objects[name]};
    ++revision;
    objects[name] = {{"metadata",
                      {{"name", name},
                       {"revision", revision},
                       {"created", revision},
                       {"finalizers", json::array()},
                       {"deleting", false}}},
                     {"spec", body.value("spec", json())},
                     {"status", nullptr}};
    record(kind, objects[name], false);
    return {201, objects[name]};
}

answer replace(const std::string& kind, const std::string& name,
               const std::string& section, const json& body)
{
    const std::lock_guard lock(mutex);
    auto& objects = kinds[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return {404, json::object()};
    auto& object = found->second;
    const auto meta = body.value("metadata", json::object());
    if (meta.contains("revision") &&
        meta["revision"] != object["metadata"]["revision"])
        return {409, object};
    const auto next = body.value(section, json());
    const bool same = content(kind, next) == content(kind, object[section]);
    object[section] = next;
    if (!same)
    {
        object["metadata"]["revision"] = ++revision;
        record(kind, object, false);
    }
    return {200, object};
}

answer remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(mutex);
    auto& objects = kinds[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return {404, json::object()};
    ++revision;
    const auto object = found->second;
    objects.erase(found);
    record(kind, object, true);
    return {200, object};
}

std::string decode(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size())
        {
            decoded += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            decoded += text[i];
    return decoded;
}

answer handle(const net::message& request, int port)
{
    const auto& line = request.first_line;
    const auto space = line.find(' ');
    const auto method = line.substr(0, space);
    auto target = line.substr(space + 1, line.rfind(' ') - space - 1);
    std::map<std::string, std::string> query;
    if (const auto mark = target.find('?'); mark != std::string::npos)
    {
        auto rest = target.substr(mark + 1);
        target.resize(mark);
        while (!rest.empty())
        {
            const auto end = rest.find('&');
            const auto part = rest.substr(0, end);
            rest = end == std::string::npos ? "" : rest.substr(end + 1);
            const auto equals = part.find('=');
            query[part.substr(0, equals)] = decode(part.substr(equals + 1));
        }
    }
    if (target.starts_with("/lose/"))
    {
        const std::lock_guard lock(mutex);
        to_lose[std::stoi(target.substr(6))] =
            target.substr(target.rfind('/') + 1);
        return {};
    }
    const std::string prefix = "/api/objects/";
    const bool old = query["serializable"] == "1" && old_ms != 0;
    if (!target.starts_with(prefix))
        return {404, json::object()};
    target.erase(0, prefix.size());
    std::vector<std::string> path;
    for (std::size_t at = 0; at != std::string::npos;)
    {
        const auto end = target.find('/', at);
        path.push_back(decode(
            target.substr(at, end == std::string::npos ? end : end - at)));
        at = end == std::string::npos ? end : end + 1;
    }
    const auto body = request.body.empty()
                          ? json::object()
                          : json::parse(request.body, nullptr, false);
    if (method == "GET" && path.size() == 1)
        return query.contains("watch")
                   ? watch(path[0], std::stoull(query["watch"]),
                           query.contains("waitMs") ? std::stoi(query["waitMs"])
                                                    : 0,
                           old, port)
                   : list(path[0], query["after"], old);
    if (method == "GET")
    {
        const std::lock_guard lock(mutex);
        auto present = old ? old_copy().kinds[path[0]] : kinds[path[0]];
        const auto found = present.find(path[1]);
        if (found == present.end())
            return {404, json::object()};
        return {200, found->second};
    }
    if (method == "POST")
        return create(path[0], body);
    if (method == "PUT")
        return replace(path[0], path[1], path.size() > 2 ? "status" : "spec",
                       body);
    if (method == "DELETE")
        return remove(path[0], path[1]);
    return {400, json::object()};
}

void serve(int connection, int port)
{
    net::reader in(connection);
    for (;;)
    {
        const auto request = in.read(false);
        if (!request.complete)
            break;
        const auto reply = handle(request, port);
        if (reply.lost)
        {
            std::printf("lost %lld\n", net::now_ms());
            std::fflush(stdout);
            while (in.read(false).complete)
                ;
            break;
        }
        const auto body = reply.body.dump();
        // Watches that end by themselves come 4 ms later than the change.
        std::this_thread::sleep_for(std::chrono::milliseconds(4));
        const bool ends = request.field("connection") == "close";
        if (!net::send_all(connection,
                           "HTTP/1.1 " + std::to_string(reply.status) +
                               " X\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(body.size()) +
                               (ends ? "\r\nConnection: close" : "") +
                               "\r\n\r\n" + body) ||
            ends)
            break;
    }
    ::close(connection);
}

} // namespace

int main(int count, char** arguments)
{
    old_ms = count > 2 ? std::atoi(arguments[2]) : 0;
    std::vector<std::thread> acceptors;
    for (int i = 1; i < count; ++i)
    {
        if (i == 2)
            continue;
        int port = std::atoi(arguments[i]);
        const int acceptor = net::listen_on(port);
        if (acceptor < 0)
            return 1;
        acceptors.emplace_back(
            [acceptor, port]
            {
                for (;;)
                {
                    const int connection = ::accept(acceptor, nullptr, nullptr);
                    if (connection >= 0)
                        std::thread(serve, connection, port).detach();
                }
            });
    }
    for (auto& each : acceptors)
        each.join();
}
