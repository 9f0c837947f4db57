#include "configuration_store.hpp"

#include <memory>      // make_shared
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move
#include <vector>      // vector

#include <rhubarbgrade/detail/base/hash.hpp>   // sha256_hex
#include <rhubarbgrade/detail/config/load.hpp> // load_file

namespace rhubarbgrade
{
namespace
{

void merge_objects(object_set& merged, const object_set& part)
{
    merged.customers.insert(part.customers.begin(), part.customers.end());
    merged.services.insert(part.services.begin(), part.services.end());
    merged.versions.insert(part.versions.begin(), part.versions.end());
    merged.endpoints.insert(part.endpoints.begin(), part.endpoints.end());
    merged.moves.insert(part.moves.begin(), part.moves.end());
    merged.objectives.insert(part.objectives.begin(), part.objectives.end());
}

} // namespace

configuration_store::configuration_store()
    : m_objects(std::make_shared<const object_set>())
{
}

const std::string* configuration_store::part(std::string_view digest) const
{
    const auto found = m_parts.find(digest);
    return found == m_parts.end() ? nullptr : &found->second.text;
}

std::vector<std::string> configuration_store::missing_parts() const
{
    std::vector<std::string> missing;
    for (const auto& part : m_next_manifest.parts)
        if (!m_parts.contains(part.digest))
            missing.push_back(part.digest);
    return missing;
}

std::vector<std::string> configuration_store::offer(std::string_view text)
{
    auto parsed = parse_manifest(text);
    if (!parsed || parsed->generation <= m_generation)
        return {};
    if (parsed->generation > m_next_manifest.generation)
    {
        m_next_manifest = std::move(*parsed);
        m_next_manifest_text = text;
    }
    return missing_parts();
}

void configuration_store::offer_part(const std::string& digest,
                                     std::string text)
{
    if (m_parts.contains(digest) || sha256_hex(text) != digest)
        return;
    problems_t faults;
    parsed_part part{std::move(text), {}};
    load_file(digest, part.text, part.objects, faults);
    m_parts.emplace(digest, std::move(part));
}

bool configuration_store::try_apply()
{
    const bool ready =
        m_next_manifest.generation > m_generation && missing_parts().empty();
    if (!ready)
        return false;
    auto objects = std::make_shared<object_set>();
    std::map<std::string, parsed_part, std::less<>> next_parts;
    for (const auto& part : m_next_manifest.parts)
    {
        const auto found = m_parts.find(part.digest);
        if (found == m_parts.end())
            continue;
        merge_objects(*objects, found->second.objects);
        next_parts.emplace(part.digest, std::move(found->second));
        m_parts.erase(found);
    }
    m_parts = std::move(next_parts);
    m_objects = std::move(objects);
    m_generation = m_next_manifest.generation;
    m_manifest_text = m_next_manifest_text;
    return true;
}

} // namespace rhubarbgrade
