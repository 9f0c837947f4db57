#pragma once

#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view

namespace rhubarbgrade
{

/// @brief Hashes @a text to 64 bits (xxHash3), the same on every host.
/// @param[in] text  bytes to hash
/// @param[in] seed  varies the hash
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// @brief The hash of @a text as 32 hexadecimal digits (xxHash3, 128 bits).
std::string hash_hex(std::string_view text);

/// @brief SHA-256 of @a text as 64 hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// @brief A random string of 32 hexadecimal digits, from the system's
///        random source.
std::string random_hex();

} // namespace rhubarbgrade
