// Stand-in for the platform's store: objects by kind and name, conditional
// writes, paged lists, watches, and faults that tests inject.
//
//   PUT /fault  (tests) {refuse, silent_ms, lose_answers, late_ms, hide,
//               hidden_from, compact, save, restore, cut_watches, lose_watches,
//               lost_kind, stale}; "hide" is a member that the metadata of
//               objects lacks whose names begin with "hidden_from"; "save"
//               copies all objects, "restore" goes back to that copy and begins
//               a new era, "cut_watches" names a kind whose waiting watches are
//               cut off; as many watches of "lost_kind" as "lose_watches" says
//               get no response when there are changes, and their connections
//               stay open; "stale" answers calls that allow it from the copy:
//               "all", or the "later" pages of a list; "refuse_present" is the
//               status of all calls that don't allow it
//   PUT /addresses  (tests) {ID: ADDRESS}, in place of the addresses that
//               endpoints have written; on the port "viewN", only there
//   GET /calls  (tests) {KIND: {applied, refused}}, writes of objects by kind;
//               refused: for an outdated revision
//   GET /watches  (tests) {KIND: number of watches that hosts have begun}
//   GET /cost  (tests) {tenths}: calls of hosts for objects so far, refused
//               ones included; one that allows an old response counts one
//               tenth, others ten
//
// Faults do not apply to calls with the header X-Operator; "compact" drops the
// history that watches read from. A host's call gets 400 if its target has
// characters that a URI has only when they are encoded.

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "delay.hpp"
#include "listen.hpp"

DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose one");
DEFINE_int32(views, 0, "further ports, each with its own addresses");
// Each open connection occupies a thread; a host keeps up to six.
DEFINE_int32(connections, 300, "connections that are served at once");

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t page_size = 5; // small, so that tests read several pages
/// Time for which a connection without a response is kept.
constexpr milliseconds lost_time(60000);

constexpr std::size_t page_bytes = 1'000'000;

struct change
{
    std::uint64_t revision = 0;
    std::string kind;
    json object;
    bool removed = false;
};

struct write_count
{
    int applied = 0;
    int refused = 0; ///< for an outdated revision
};

struct faults
{
    int refuse = 0;          ///< status that all calls fail with, 0: none
    int silent_ms = 0;       ///< delay of all calls
    int lose_answers = 0;    ///< number of next writes that get no response
    int lose_watches = 0;    ///< number of next watches that get no response
    std::string lost_kind;   ///< of these watches
    std::string stale;       ///< calls that are answered from the copy
    int refuse_present = 0;  ///< status of calls that don't allow old data
    int late_ms = 0;         ///< delay until such a write is applied
    std::string hide;        ///< member that metadata lack; empty: none
    std::string hidden_from; ///< beginning of the names of these objects
};

class store
{
public:
    /// A page of the objects whose names follow `after`.
    /// @param[in] from_copy  of the last copy
    json list(const std::string& kind, const std::string& after, bool from_copy)
    {
        const std::lock_guard lock(m_mutex);
        json items = json::array();
        bool has_more = false;
        std::size_t bytes = 0;
        const auto& objects = (from_copy ? m_saved.kinds : m_kinds)[kind];
        for (auto it = objects.upper_bound(after); it != objects.end(); ++it)
        {
            const auto size = it->second.dump().size();
            if (items.size() == page_size ||
                (!items.empty() && bytes + size > page_bytes))
            {
                has_more = true;
                break;
            }
            bytes += size;
            items.push_back(it->second);
        }
        return {{"items", items},
                {"hasMore", has_more},
                {"storeRevision", from_copy ? m_saved.revision : m_revision}};
    }

    /// Changes after a revision that the last copy has.
    json copied_changes(const std::string& kind, std::uint64_t since)
    {
        const std::lock_guard lock(m_mutex);
        return {{"events", changes(m_saved.history, kind, since)},
                {"storeRevision", m_saved.revision}};
    }

    /// Waits for changes after a revision and returns them, or std::nullopt if
    /// that part of the history was compacted.
    /// @param[out] cut  whether it was cut off while it waited
    std::optional<json> watch(const std::string& kind, std::uint64_t since,
                              milliseconds wait, bool& cut)
    {
        std::unique_lock lock(m_mutex);
        const auto era = m_era;
        const auto cuts = m_cuts[kind];
        json events = json::array();
        const auto collect = [&]
        {
            events = changes(m_history, kind, since);
            return !events.empty() || since < m_compacted_revision ||
                   since > m_revision || era != m_era || cuts != m_cuts[kind];
        };
        m_changed.wait_for(lock, wait, collect);
        cut = events.empty() && cuts != m_cuts[kind];
        if (since < m_compacted_revision || since > m_revision)
            return std::nullopt;
        return json{{"events", events}, {"storeRevision", m_revision}};
    }

    /// Cuts off the watches of a kind that wait.
    void cut_watches(const std::string& kind)
    {
        const std::lock_guard lock(m_mutex);
        ++m_cuts[kind];
        m_changed.notify_all();
    }

    std::optional<json> read(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_kinds[kind].find(name);
        if (found == m_kinds[kind].end())
            return std::nullopt;
        return found->second;
    }

    /// Writes the section "spec" or "status" of an object. Returns the HTTP
    /// status of the response.
    int write(const std::string& kind, const std::string& name,
              const std::string& section, const json& body, bool create)
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
        {
            ++m_calls[kind].refused;
            return 409;
        }
        ++m_calls[kind].applied;
        const auto previous = object[section];
        object[section] = body.value(section, json());
        if (!create && object[section] == previous)
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

    json calls()
    {
        const std::lock_guard lock(m_mutex);
        auto all = json::object();
        for (const auto& [kind, count] : m_calls)
            all[kind] = {{"applied", count.applied},
                         {"refused", count.refused}};
        return all;
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

    void save()
    {
        const std::lock_guard lock(m_mutex);
        m_saved = {m_revision, m_compacted_revision, m_kinds, m_history};
    }

    /// Loses all that was written since the copy; revisions are given out
    /// again.
    void restore()
    {
        const std::lock_guard lock(m_mutex);
        m_revision = m_saved.revision;
        m_compacted_revision = m_saved.compacted_revision;
        m_kinds = m_saved.kinds;
        m_history = m_saved.history;
        ++m_era;
        m_changed.notify_all();
    }

    std::uint64_t era()
    {
        const std::lock_guard lock(m_mutex);
        return m_era;
    }

    void compact()
    {
        const std::lock_guard lock(m_mutex);
        m_history.clear();
        m_compacted_revision = m_revision;
        m_changed.notify_all();
    }

private:
    static json changes(const std::deque<change>& history,
                        const std::string& kind, std::uint64_t since)
    {
        json events = json::array();
        for (const auto& entry : history)
            if (entry.kind == kind && entry.revision > since)
                events.push_back(
                    {{"object", entry.object}, {"tombstone", entry.removed}});
        return events;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::uint64_t m_compacted_revision = 0;
    std::map<std::string, int> m_cuts; ///< of watches, by kind
    std::map<std::string, std::map<std::string, json>> m_kinds;
    std::deque<change> m_history;
    std::map<std::string, write_count> m_calls; ///< by kind
    std::uint64_t m_era = 1;

    struct copy
    {
        std::uint64_t revision = 0;
        std::uint64_t compacted_revision = 0;
        std::map<std::string, std::map<std::string, json>> kinds;
        std::deque<change> history;
    };

    copy m_saved;
};

class api_server
{
public:
    explicit api_server(store& objects) : m_store(objects)
    {
        add_calls();
    }

    /// Serves on a port that the kernel chooses, in a thread of its own.
    /// @return the port
    int serve_view()
    {
        const int port = m_server.bind_to_any_port("127.0.0.1");
        std::thread(
            [this]
            {
                m_server.listen_after_bind();
            })
            .detach();
        return port;
    }

    void serve()
    {
        standin::listen(m_server, FLAGS_port);
    }

private:
    void add_calls()
    {
        m_server.new_task_queue = []
        {
            return new httplib::ThreadPool(
                static_cast<std::size_t>(FLAGS_connections));
        };
        m_server.set_keep_alive_max_count(1000000);
        m_server.set_pre_routing_handler(
            [this](const httplib::Request& request, httplib::Response& response)
            {
                return apply_faults(request, response);
            });
        m_server.set_post_routing_handler(
            [this](const httplib::Request&, httplib::Response& response)
            {
                response.set_header("Store-Era", std::to_string(m_store.era()));
            });
        m_server.Put("/fault",
                     [this](const auto& request, auto&)
                     {
                         set_faults(json::parse(request.body));
                     });
        m_server.Get("/calls",
                     [this](const auto&, auto& response)
                     {
                         send_json(response, 200, m_store.calls());
                     });
        m_server.Get("/watches",
                     [this](const auto&, auto& response)
                     {
                         const std::lock_guard lock(m_mutex);
                         send_json(response, 200, m_watches);
                     });
        m_server.Get(
            "/cost",
            [this](const auto&, auto& response)
            {
                send_json(response, 200, {{"tenths", m_tenths.load()}});
            });
        m_server.Get(R"(/api/objects/([^/]+))",
                     [this](const auto& request, auto& response)
                     {
                         list(request, response);
                     });
        m_server.Get(R"(/api/objects/([^/]+)/([^/]+))",
                     [this](const auto& request, auto& response)
                     {
                         read(request, response);
                     });
        m_server.Post(R"(/api/objects/([^/]+))",
                      [this](const auto& request, auto& response)
                      {
                          write(request, response, "spec", true);
                      });
        m_server.Put(R"(/api/objects/([^/]+)/([^/]+))",
                     [this](const auto& request, auto& response)
                     {
                         write(request, response, "spec", false);
                     });
        m_server.Put(R"(/api/objects/([^/]+)/([^/]+)/status)",
                     [this](const auto& request, auto& response)
                     {
                         write(request, response, "status", false);
                     });
        m_server.Delete(R"(/api/objects/([^/]+)/([^/]+))",
                        [this](const auto& request, auto& response)
                        {
                            if (!m_store.remove(request.matches[1].str(),
                                                request.matches[2].str()))
                                response.status = 404;
                        });
        m_server.Put("/addresses",
                     [this](const auto& request, auto&)
                     {
                         const std::lock_guard lock(m_mutex);
                         m_addresses = json::parse(request.body);
                     });
    }

    /// Replaces the address of an endpoint's entry, and hides a member of the
    /// metadata.
    void apply_view(json& object)
    {
        const std::lock_guard lock(m_mutex);
        const auto name = object["metadata"].value("name", std::string());
        if (object["spec"].is_object() && object["spec"].contains("address") &&
            m_addresses.contains(name))
            object["spec"]["address"] = m_addresses[name];
        if (name.starts_with(m_faults.hidden_from))
            object["metadata"].erase(m_faults.hide);
    }

    static constexpr auto handled = httplib::Server::HandlerResponse::Handled;
    static constexpr auto unhandled =
        httplib::Server::HandlerResponse::Unhandled;

    static bool is_hexadecimal(char digit)
    {
        return std::isxdigit(static_cast<unsigned char>(digit)) != 0;
    }

    /// Whether a request target has only characters that a URI may have, and
    /// each "%" begins an encoded byte.
    static bool is_valid(std::string_view target)
    {
        constexpr std::string_view allowed = "-._~:/?@!$&'()*+,;=";
        for (std::size_t i = 0; i < target.size(); ++i)
        {
            const auto next = static_cast<unsigned char>(target[i]);
            if (next == '%')
            {
                if (i + 2 >= target.size() || !is_hexadecimal(target[i + 1]) ||
                    !is_hexadecimal(target[i + 2]))
                    return false;
                i += 2;
            }
            else if (next > 0x7e ||
                     (std::isalnum(next) == 0 &&
                      allowed.find(target[i]) == std::string_view::npos))
                return false;
        }
        return true;
    }

    // Delays or refuses a call before it is routed.
    httplib::Server::HandlerResponse
    apply_faults(const httplib::Request& request, httplib::Response& response)
    {
        if (request.path == "/fault" || request.has_header("X-Operator"))
            return unhandled;
        if (request.path.starts_with("/api/objects/"))
            m_tenths += request.has_param("serializable") ? 1 : 10;
        faults active_faults;
        {
            const std::lock_guard lock(m_mutex);
            active_faults = m_faults;
        }
        if (active_faults.silent_ms != 0)
            standin::delay(milliseconds(active_faults.silent_ms));
        if (!is_valid(request.target))
        {
            response.status = 400;
            return handled;
        }
        const int status = active_faults.refuse_present != 0 &&
                                   !request.has_param("serializable")
                               ? active_faults.refuse_present
                               : active_faults.refuse;
        if (status == 0)
            return unhandled;
        response.status = status;
        return handled;
    }

    void set_faults(const json& requested)
    {
        if (requested.value("compact", false))
            m_store.compact();
        if (requested.value("save", false))
            m_store.save();
        if (requested.value("restore", false))
            m_store.restore();
        if (requested.contains("cut_watches"))
            m_store.cut_watches(requested["cut_watches"]);
        const std::lock_guard lock(m_mutex);
        m_faults = {requested.value("refuse", 0),
                    requested.value("silent_ms", 0),
                    requested.value("lose_answers", 0),
                    requested.value("lose_watches", 0),
                    requested.value("lost_kind", ""),
                    requested.value("stale", ""),
                    requested.value("refuse_present", 0),
                    requested.value("late_ms", 0),
                    requested.value("hide", ""),
                    requested.value("hidden_from", "")};
    }

    void list(const httplib::Request& request, httplib::Response& response)
    {
        const auto kind = request.matches[1].str();
        const bool from_copy = is_stale(request.has_param("after")) &&
                               request.has_param("serializable");
        if (!request.has_param("watch"))
        {
            auto page =
                m_store.list(kind, request.get_param_value("after"), from_copy);
            for (auto& each : page["items"])
                apply_view(each);
            send_json(response, 200, page);
            return;
        }
        const auto since = std::stoull(request.get_param_value("watch"));
        const milliseconds wait(std::stoi(request.get_param_value("waitMs")));
        if (from_copy)
            return send_json(response, 200,
                             m_store.copied_changes(kind, since));
        bool cut = false;
        constexpr milliseconds waiting(1000);
        if (wait >= waiting)
            count_watch(kind);
        auto found = m_store.watch(kind, since, wait, cut);
        if (wait >= waiting && found && !(*found)["events"].empty() &&
            consume_lost_watch(kind))
            standin::delay(lost_time);
        if (cut)
            return break_off(response);
        if (!found)
        {
            response.status = 410;
            return;
        }
        for (auto& each : (*found)["events"])
            apply_view(each["object"]);
        send_json(response, 200, *found);
    }

    void read(const httplib::Request& request, httplib::Response& response)
    {
        const auto found =
            m_store.read(request.matches[1].str(), request.matches[2].str());
        if (found)
            send_json(response, 200, *found);
        else
            response.status = 404;
    }

    void write(const httplib::Request& request, httplib::Response& response,
               const std::string& section, bool create)
    {
        const auto kind = request.matches[1].str();
        const auto body = json::parse(request.body);
        const auto name =
            create ? body.at("metadata").at("name").get<std::string>()
                   : request.matches[2].str();
        int late_ms = 0;
        if (!request.has_header("X-Operator") && consume_lost_answer(late_ms))
        {
            standin::delay(milliseconds(late_ms));
            m_store.write(kind, name, section, body, create);
            return break_off(response);
        }
        const auto status = m_store.write(kind, name, section, body, create);
        const auto object = m_store.read(kind, name);
        send_json(response, status, object.value_or(json()));
    }

    bool is_stale(bool later_page)
    {
        const std::lock_guard lock(m_mutex);
        return m_faults.stale == "all" ||
               (m_faults.stale == "later" && later_page);
    }

    void count_watch(const std::string& kind)
    {
        const std::lock_guard lock(m_mutex);
        m_watches[kind] = m_watches.value(kind, 0) + 1;
    }

    // Whether to lose the response to a watch; counts it off if so.
    bool consume_lost_watch(const std::string& kind)
    {
        const std::lock_guard lock(m_mutex);
        return m_faults.lost_kind == kind && m_faults.lose_watches > 0 &&
               m_faults.lose_watches-- > 0;
    }

    // Whether to lose the response of this write; counts it off if so.
    bool consume_lost_answer(int& late_ms)
    {
        const std::lock_guard lock(m_mutex);
        late_ms = m_faults.late_ms;
        return m_faults.lose_answers > 0 && m_faults.lose_answers-- > 0;
    }

    /// Closes the connection in place of an answer.
    static void break_off(httplib::Response& response)
    {
        response.status = 0;
        response.set_content_provider(1, "text/plain",
                                      [](std::size_t, std::size_t, auto&)
                                      {
                                          return false;
                                      });
    }

    static void send_json(httplib::Response& response, int status,
                          const json& body)
    {
        response.status = status;
        response.set_content(body.dump(), "application/json");
    }

    store& m_store;
    std::atomic<std::int64_t> m_tenths = 0; ///< of charged calls
    std::mutex m_mutex;
    faults m_faults;
    json m_addresses = json::object(); ///< by the name of the entry
    json m_watches = json::object();   ///< that have begun, by kind
    httplib::Server m_server;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    store objects;
    std::list<api_server> views;
    for (int i = 1; i <= FLAGS_views; ++i)
        std::cout << "view" << i << " "
                  << views.emplace_back(objects).serve_view() << std::endl;
    api_server(objects).serve();
}
