// Stand-in for the platform's store: objects by kind and name, conditional
// writes, lists in pages, watches, and the troubles that tests ask for.
//
//   PUT /fault  (tests) {refuse, silent_ms, lose_answers, late_ms, compact}
// Calls with the header X-Operator meet no fault.

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "delay.hpp"
#include "listen.hpp"

DEFINE_int32(port, 0, "port to listen on, 0 for one from the kernel");

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t page_size = 5; // small, so that tests meet pages

struct change
{
    std::uint64_t revision = 0;
    std::string kind;
    json object;
    bool removed = false;
};

struct faults
{
    int refuse = 0;       ///< status of all answers, 0 for none
    int silent_ms = 0;    ///< answers only after this time
    int lose_answers = 0; ///< writes that are done and not answered
    int late_ms = 0;      ///< lost writes are done this much later
};

class store
{
public:
    json list(const std::string& kind, const std::string& after)
    {
        const std::lock_guard lock(m_mutex);
        json items = json::array();
        bool more = false;
        for (const auto& [name, object] : m_kinds[kind])
        {
            if (name <= after)
                continue;
            if (items.size() == page_size)
            {
                more = true;
                break;
            }
            items.push_back(object);
        }
        return {
            {"items", items}, {"hasMore", more}, {"storeRevision", m_revision}};
    }

    /// The changes since a revision; nothing if that history is gone.
    std::optional<json> watch(const std::string& kind, std::uint64_t since,
                              milliseconds wait)
    {
        std::unique_lock lock(m_mutex);
        json events = json::array();
        const auto collect = [&]
        {
            events = json::array();
            for (const auto& each : m_history)
                if (each.kind == kind && each.revision > since)
                    events.push_back(
                        {{"object", each.object}, {"tombstone", each.removed}});
            return !events.empty() || since < m_oldest;
        };
        m_changed.wait_for(lock, wait, collect);
        if (since < m_oldest)
            return std::nullopt;
        return json{{"events", events}, {"storeRevision", m_revision}};
    }

    std::optional<json> read(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_kinds[kind].find(name);
        if (found == m_kinds[kind].end())
            return std::nullopt;
        return found->second;
    }

    /// Writes the part "spec" or "status"; gives the status of the answer.
    int write(const std::string& kind, const std::string& name,
              const std::string& part, const json& body, bool create)
    {
        const std::lock_guard lock(m_mutex);
        auto& objects = m_kinds[kind];
        const auto found = objects.find(name);
        if (create && found != objects.end())
            return 409;
        if (!create && found == objects.end())
            return 404;
        json object = create ? json{{"spec", nullptr}, {"status", nullptr}}
                             : found->second;
        const auto meta = body.value("metadata", json::object());
        if (!create && meta.contains("revision") &&
            meta["revision"] != object["metadata"]["revision"])
            return 409;
        const auto before = object[part];
        object[part] = body.value(part, json());
        if (!create && object[part] == before)
            return 200;
        ++m_revision;
        if (create)
            object["metadata"] = {{"name", name}, {"created", m_revision}};
        object["metadata"]["revision"] = m_revision;
        objects[name] = object;
        m_history.push_back({m_revision, kind, object, false});
        m_changed.notify_all();
        return create ? 201 : 200;
    }

    bool remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_kinds[kind].find(name);
        if (found == m_kinds[kind].end())
            return false;
        m_history.push_back({++m_revision, kind, found->second, true});
        m_kinds[kind].erase(found);
        m_changed.notify_all();
        return true;
    }

    void compact()
    {
        const std::lock_guard lock(m_mutex);
        m_history.clear();
        m_oldest = m_revision;
        m_changed.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::uint64_t m_oldest = 0;
    std::map<std::string, std::map<std::string, json>> m_kinds;
    std::deque<change> m_history;
};

class front
{
public:
    void serve()
    {
        m_server.new_task_queue = []
        {
            return new httplib::ThreadPool(100);
        };
        m_server.set_keep_alive_max_count(1000000);
        m_server.set_pre_routing_handler(
            [this](const httplib::Request& request, httplib::Response& answer)
            {
                return before(request, answer);
            });
        m_server.Put("/fault",
                     [this](const auto& request, auto&)
                     {
                         set_faults(json::parse(request.body));
                     });
        m_server.Get(R"(/api/objects/([^/]+))",
                     [this](const auto& request, auto& answer)
                     {
                         list(request, answer);
                     });
        m_server.Get(R"(/api/objects/([^/]+)/([^/]+))",
                     [this](const auto& request, auto& answer)
                     {
                         read(request, answer);
                     });
        m_server.Post(R"(/api/objects/([^/]+))",
                      [this](const auto& request, auto& answer)
                      {
                          write(request, answer, "spec", true);
                      });
        m_server.Put(R"(/api/objects/([^/]+)/([^/]+))",
                     [this](const auto& request, auto& answer)
                     {
                         write(request, answer, "spec", false);
                     });
        m_server.Put(R"(/api/objects/([^/]+)/([^/]+)/status)",
                     [this](const auto& request, auto& answer)
                     {
                         write(request, answer, "status", false);
                     });
        m_server.Delete(R"(/api/objects/([^/]+)/([^/]+))",
                        [this](const auto& request, auto& answer)
                        {
                            if (!m_store.remove(request.matches[1].str(),
                                                request.matches[2].str()))
                                answer.status = 404;
                        });
        standin::listen(m_server, FLAGS_port);
    }

private:
    static constexpr auto handled = httplib::Server::HandlerResponse::Handled;
    static constexpr auto unhandled =
        httplib::Server::HandlerResponse::Unhandled;

    httplib::Server::HandlerResponse before(const httplib::Request& request,
                                            httplib::Response& answer)
    {
        if (request.path == "/fault" || request.has_header("X-Operator"))
            return unhandled;
        faults now;
        {
            const std::lock_guard lock(m_mutex);
            now = m_faults;
        }
        if (now.silent_ms != 0)
            standin::delay(milliseconds(now.silent_ms));
        if (now.refuse == 0)
            return unhandled;
        answer.status = now.refuse;
        return handled;
    }

    void set_faults(const json& wanted)
    {
        if (wanted.value("compact", false))
            m_store.compact();
        const std::lock_guard lock(m_mutex);
        m_faults = {wanted.value("refuse", 0), wanted.value("silent_ms", 0),
                    wanted.value("lose_answers", 0),
                    wanted.value("late_ms", 0)};
    }

    void list(const httplib::Request& request, httplib::Response& answer)
    {
        const auto kind = request.matches[1].str();
        if (!request.has_param("watch"))
        {
            reply(answer, 200,
                  m_store.list(kind, request.get_param_value("after")));
            return;
        }
        const auto found = m_store.watch(
            kind, std::stoull(request.get_param_value("watch")),
            milliseconds(std::stoi(request.get_param_value("waitMs"))));
        if (found)
            reply(answer, 200, *found);
        else
            answer.status = 410;
    }

    void read(const httplib::Request& request, httplib::Response& answer)
    {
        const auto found =
            m_store.read(request.matches[1].str(), request.matches[2].str());
        if (found)
            reply(answer, 200, *found);
        else
            answer.status = 404;
    }

    void write(const httplib::Request& request, httplib::Response& answer,
               const std::string& part, bool create)
    {
        const auto kind = request.matches[1].str();
        const auto body = json::parse(request.body);
        const auto name =
            create ? body.at("metadata").at("name").get<std::string>()
                   : request.matches[2].str();
        int late_ms = 0;
        if (!request.has_header("X-Operator") && loses(late_ms))
        {
            standin::delay(milliseconds(late_ms));
            m_store.write(kind, name, part, body, create);
            answer.status = 0;
            answer.set_content_provider(1, "text/plain",
                                        [](std::size_t, std::size_t, auto&)
                                        {
                                            return false;
                                        });
            return;
        }
        const auto status = m_store.write(kind, name, part, body, create);
        const auto object = m_store.read(kind, name);
        reply(answer, status, object.value_or(json()));
    }

    bool loses(int& late_ms)
    {
        const std::lock_guard lock(m_mutex);
        late_ms = m_faults.late_ms;
        return m_faults.lose_answers > 0 && m_faults.lose_answers-- > 0;
    }

    static void reply(httplib::Response& answer, int status, const json& body)
    {
        answer.status = status;
        answer.set_content(body.dump(), "application/json");
    }

    store m_store;
    std::mutex m_mutex;
    faults m_faults;
    httplib::Server m_server;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    front().serve();
}
