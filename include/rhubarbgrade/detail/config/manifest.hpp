#pragma once

#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/error.hpp> // result
#include <rhubarbgrade/detail/base/types.hpp> // generation_t

namespace rhubarbgrade
{

/// @brief A file of a published configuration, stored under the digest of its
///        text.
struct manifest_part
{
    std::string file;   ///< file name
    std::string digest; ///< SHA-256, hexadecimal
};

/// @brief The list of files of a published configuration, which takes effect as
///        a whole.
struct manifest
{
    generation_t generation = 0;
    std::string author;
    std::string id; ///< random; distinguishes publications of the same files
    std::vector<manifest_part> parts;
};

/// @brief Name of the platform object that holds the manifest.
constexpr const char* manifest_name = "configuration";

/// @brief Name of the platform object that holds the file with this digest.
std::string part_name(std::string_view digest);

/// @brief Parses the JSON text of a manifest.
/// @return the manifest, or @ref errc::malformed
result<manifest> parse_manifest(std::string_view text);

/// @brief Encodes a manifest as JSON text.
std::string to_text(const manifest& document);

} // namespace rhubarbgrade
