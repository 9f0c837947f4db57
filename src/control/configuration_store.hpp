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

/// @brief The configuration in force and the next one while its parts are
///        being fetched.
///
/// A manifest lists the digests of the parts that make up a configuration. The
/// generation in force never decreases. Used on the control thread only.
class configuration_store
{
public:
    configuration_store();

    /// @brief Generation in force, 0 before the first.
    generation_t generation() const
    {
        return m_generation;
    }

    /// @brief Objects of all parts in force; never null.
    const std::shared_ptr<const object_set>& objects() const
    {
        return m_objects;
    }

    /// @brief Text of the manifest in force, empty before the first one.
    const std::string& manifest_text() const
    {
        return m_manifest_text;
    }

    /// @brief Text of a part that is in force or already fetched, or null.
    const std::string* part(std::string_view digest) const;

    /// @brief Makes a manifest the next one if it can be parsed and its
    ///        generation is above that of the current next one.
    /// @return digests of the next manifest's parts that are still missing;
    ///         empty if @a text can't be parsed or is not newer than the
    ///         configuration in force
    std::vector<std::string> offer(std::string_view text);

    /// @brief Stores the text of a part; ignored if its SHA-256 is not
    ///        @a digest.
    void offer_part(const std::string& digest, std::string text);

    /// @brief Puts the next manifest in force if all its parts are stored, and
    ///        drops parts that it does not list.
    /// @return whether the generation in force rose
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
    manifest m_next_manifest;
    std::string m_next_manifest_text;
    std::map<std::string, parsed_part, std::less<>> m_parts; ///< by digest
};

} // namespace rhubarbgrade
