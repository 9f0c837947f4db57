#pragma once

#include <map>         // map
#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/types.hpp>      // generation_t
#include <rhubarbgrade/detail/config/manifest.hpp> // manifest
#include <rhubarbgrade/detail/config/objects.hpp>  // object_set

namespace rhubarbgrade
{

/// @brief The configuration in force and the one being fetched.
///
/// The generation in force never falls. Runs on the control thread only.
class configuration_store
{
public:
    configuration_store();

    generation_t generation() const
    {
        return m_generation;
    }

    /// @brief The objects in force.
    const std::shared_ptr<const object_set>& objects() const
    {
        return m_objects;
    }

    /// @brief Text of the manifest in force, empty before the first.
    const std::string& manifest_text() const
    {
        return m_manifest_text;
    }

    /// @brief The text of a part in force, or null.
    const std::string* part(std::string_view digest) const;

    /// @brief Takes a manifest of a higher generation as the next one.
    /// @return digests of its parts that are not here yet
    std::vector<std::string> offer(std::string_view text);

    /// @brief Takes the text of a part; a text that does not match its digest
    ///        is ignored.
    void offer_part(const std::string& digest, std::string text);

    /// @brief Puts the offered manifest in force once all its parts are here.
    /// @return whether the generation rose
    bool try_apply();

private:
    struct parsed_part
    {
        std::string text;
        object_set objects;
    };

    std::vector<std::string> missing_parts() const;

    generation_t m_generation = 0;
    std::string m_manifest_text;
    std::shared_ptr<const object_set> m_objects;
    manifest m_next;
    std::string m_next_text;
    std::map<std::string, parsed_part, std::less<>> m_parts;
};

} // namespace rhubarbgrade
