#pragma once

#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/error.hpp> // result
#include <rhubarbgrade/detail/base/types.hpp> // generation_t

namespace rhubarbgrade
{

/// @brief A file of a published set, stored under the digest of its text.
struct manifest_part
{
    std::string file;
    std::string digest; ///< SHA-256, hexadecimal
};

/// @brief A published set: one generation, in force whole or not at all.
struct manifest
{
    generation_t generation = 0;
    std::string author;
    std::string id; ///< random: tells two sets of the same files apart
    std::vector<manifest_part> parts;
};

/// @brief Name of the platform object that holds the manifest.
constexpr const char* manifest_name = "configuration";

/// @brief Name of the platform object that holds a part.
std::string part_name(std::string_view digest);

/// @brief Reads a manifest from its JSON text.
result<manifest> parse_manifest(std::string_view text);

/// @brief Writes a manifest as JSON text.
std::string to_text(const manifest& document);

} // namespace rhubarbgrade
