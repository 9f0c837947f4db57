// Stand-in for the platform's store, as PROTOCOL.md describes it: objects by
// kind and name, one revision counter, conditional writes, lists in pages,
// watches. It is sound: it loses, delays and refuses nothing.
//
// usage: store PORT

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
};

struct answer
{
    int status = 200;
    json body = json::object();
};

std::mutex mutex;
std::condition_variable changed;
std::uint64_t revision = 100;
std::map<std::string, std::map<std::string, json>> kinds;
std::vector<change> history;

void record(const std::string& kind, const json& object, bool removed)
{
    history.push_back({revision, kind, object, removed});
    changed.notify_all();
}

/// Members of an entry that count as a change of it.
json content(const std::string& kind, json spec)
{
    if (kind == "servers" && spec.is_object())
        spec.erase("sequence");
    return spec;
}

answer list(const std::string& kind, const std::string& after)
{
    const std::lock_guard lock(mutex);
    json items = json::array();
    bool more = false;
    std::size_t bytes = 0;
    const auto& objects = kinds[kind];
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
            {{"items", items}, {"hasMore", more}, {"storeRevision", revision}}};
}

answer watch(const std::string& kind, std::uint64_t since, int wait_ms)
{
    std::unique_lock lock(mutex);
    json events = json::array();
    const auto collect = [&]
    {
        events = json::array();
        for (const auto& each : history)
            if (each.kind == kind && each.revision > since)
                events.push_back(
                    {{"object", each.object}, {"tombstone", each.removed}});
        return !events.empty();
    };
    changed.wait_for(lock, std::chrono::milliseconds(wait_ms), collect);
    return {200, {{"events", events}, {"storeRevision", revision}}};
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

answer handle(const net::message& request)
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
    const std::string prefix = "/api/objects/";
    if (!target.starts_with(prefix))
        return {404, json::object()};
    target.erase(0, prefix.size());
    std::vector<std::string> path;
    for (std::size_t at = 0; at != std::string::npos;)
    {
        const auto end = target.find('/', at);
        path.push_back(decode(target.substr(
            at, end == std::string::npos ? end : end - at)));
        at = end == std::string::npos ? end : end + 1;
    }
    const auto body = request.body.empty()
                          ? json::object()
                          : json::parse(request.body, nullptr, false);
    if (method == "GET" && path.size() == 1)
        return query.contains("watch")
                   ? watch(path[0], std::stoull(query["watch"]),
                           query.contains("waitMs") ? std::stoi(query["waitMs"])
                                                    : 0)
                   : list(path[0], query["after"]);
    if (method == "GET")
    {
        const std::lock_guard lock(mutex);
        const auto found = kinds[path[0]].find(path[1]);
        if (found == kinds[path[0]].end())
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

void serve(int connection)
{
    net::reader in(connection);
    for (;;)
    {
        const auto request = in.read(false);
        if (!request.complete)
            break;
        const auto reply = handle(request);
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

int main(int, char** arguments)
{
    int port = std::atoi(arguments[1]);
    const int acceptor = net::listen_on(port);
    if (acceptor < 0)
        return 1;
    std::printf("listening %d\n", port);
    std::fflush(stdout);
    for (;;)
    {
        const int connection = ::accept(acceptor, nullptr, nullptr);
        if (connection >= 0)
            std::thread(serve, connection).detach();
    }
}
