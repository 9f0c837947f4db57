#include <rhubarbgrade/detail/config/check.hpp>

#include <algorithm> // any_of
#include <map>       // map
#include <string>    // string
#include <utility>   // move

namespace rhubarbgrade
{
namespace
{

class checker
{
public:
    checker(const object_set& set, problems_t& problems)
        : m_set(set), m_problems(problems)
    {
    }

    void run()
    {
        for (const auto& [name, object] : m_set.customers)
            check_customer(object);
        for (const auto& [name, object] : m_set.services)
            check_service(object);
        for (const auto& [name, object] : m_set.versions)
            check_reference(m_set.services, object.service, "service",
                            object.where);
        for (const auto& [name, object] : m_set.endpoints)
            check_endpoint(object);
        for (const auto& [name, object] : m_set.moves)
            check_move(object);
        for (const auto& [name, object] : m_set.objectives)
            check_objective(object);
    }

private:
    void report(errc code, const source_location& where, std::string text)
    {
        m_problems.push_back({code, where, std::move(text)});
    }

    template <typename T>
    bool check_reference(const object_set::by_name_t<T>& objects,
                         const std::string& name, const std::string& kind,
                         const source_location& where)
    {
        if (find(objects, name) != nullptr)
            return true;
        report(errc::unknown_reference, where,
               "no " + kind + " is named \"" + name + "\"");
        return false;
    }

    void check_unique(std::map<std::string, std::string>& owners,
                      const std::string& value, const std::string& owner,
                      const std::string& subject, const source_location& where)
    {
        const auto [found, inserted] = owners.emplace(value, owner);
        if (!inserted && found->second != owner)
            report(errc::clash, where,
                   subject + " already belongs to \"" + found->second + "\"");
    }

    void check_customer(const customer& object)
    {
        for (const auto& key : object.key_sha256)
            check_unique(m_keys, key, object.name, "a key", object.where);
    }

    void check_service(const service& object)
    {
        const bool plain = object.kind == service_kind::plain;
        check_unique(m_models_and_paths, plain ? object.path : object.model,
                     object.name, plain ? "the path" : "the model",
                     object.where);
        if (object.default_max_tokens > object.most_max_tokens)
            report(errc::clash, object.where,
                   "default_max_tokens is above most_max_tokens");
        check_version(object, object.version, "version", object.where);
    }

    void check_version(const service& owner, const std::string& name,
                       const std::string& role, const source_location& where)
    {
        if (!check_reference(m_set.versions, name, "version", where))
            return;
        if (find(m_set.versions, name)->service != owner.name)
            report(errc::clash, where,
                   role + " \"" + name + "\" is not a version of \"" +
                       owner.name + "\"");
        const bool has_endpoint =
            std::any_of(m_set.endpoints.begin(), m_set.endpoints.end(),
                        [&](const auto& entry)
                        {
                            return entry.second.version == name;
                        });
        if (!has_endpoint)
            report(errc::clash, where,
                   "version \"" + name + "\" has no endpoint");
    }

    void check_endpoint(const endpoint& object)
    {
        check_reference(m_set.versions, object.version, "version",
                        object.where);
        check_unique(m_addresses, object.address, object.name, "the address",
                     object.where);
    }

    void check_move(const move& object)
    {
        if (object.start >= object.deadline)
            report(errc::clash, object.where, "start is not before deadline");
        if (object.from == object.to)
            report(errc::clash, object.where, "from and to are the same");
        if (!check_reference(m_set.services, object.service, "service",
                             object.where))
            return;
        const auto& owner = *find(m_set.services, object.service);
        check_version(owner, object.from, "from", object.where);
        check_version(owner, object.to, "to", object.where);
        if (owner.version != object.from && owner.version != object.to)
            report(errc::clash, object.where,
                   "service \"" + owner.name + "\" runs \"" + owner.version +
                       "\", which is neither from nor to of the move");
        check_overlap(object);
    }

    void check_overlap(const move& object)
    {
        for (const auto& [name, other] : m_set.moves)
        {
            const bool same_service =
                name < object.name && other.service == object.service;
            if (same_service && other.start < object.deadline &&
                object.start < other.deadline)
                report(errc::clash, object.where,
                       "overlaps in time with move \"" + name +
                           "\" of the same service");
        }
    }

    void check_objective(const objective& object)
    {
        check_reference(m_set.services, object.service, "service",
                        object.where);
        if (!object.customer.empty())
            check_reference(m_set.customers, object.customer, "customer",
                            object.where);
    }

    const object_set& m_set;
    problems_t& m_problems;
    std::map<std::string, std::string> m_keys, m_models_and_paths, m_addresses;
};

} // namespace

void check(const object_set& set, problems_t& problems)
{
    checker(set, problems).run();
}

void check_change(const object_set& before, const object_set& after,
                  problems_t& problems)
{
    for (const auto& [name, object] : before.customers)
    {
        const auto* const changed = find(after.customers, name);
        if (changed == nullptr && object.prepaid_tokens > 0)
            problems.push_back(
                {errc::clash, object.where,
                 "customer \"" + name +
                     "\" has prepaid tokens and can't be removed"});
        if (changed != nullptr &&
            changed->prepaid_tokens < object.prepaid_tokens)
            problems.push_back({errc::clash, changed->where,
                                "prepaid_tokens of \"" + name +
                                    "\" can't be lowered from " +
                                    std::to_string(object.prepaid_tokens)});
    }
}

} // namespace rhubarbgrade
