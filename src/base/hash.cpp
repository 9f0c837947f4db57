#include <rhubarbgrade/detail/base/hash.hpp>

#include <array>       // array
#include <cstdint>     // uint64_t
#include <cstdio>      // snprintf
#include <random>      // random_device
#include <string>      // string
#include <string_view> // string_view

#include <openssl/sha.h> // SHA256

#define XXH_INLINE_ALL
#include <xxhash.h> // XXH3_64bits_withSeed, XXH3_128bits

namespace rhubarbgrade
{
namespace
{

constexpr std::size_t hex_digits_64 = 16;

std::string to_hex(std::uint64_t high, std::uint64_t low)
{
    std::array<char, 2 * hex_digits_64 + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return text.data();
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string hash_hex(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    return to_hex(hash.high64, hash.low64);
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
    std::string hex;
    constexpr std::string_view digits = "0123456789abcdef";
    for (const auto byte : digest)
    {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

std::string random_hex()
{
    std::random_device source;
    const auto random_word = [&source]
    {
        const std::uint64_t high = source();
        return high << 32U | source();
    };
    const auto high = random_word();
    return to_hex(high, random_word());
}

} // namespace rhubarbgrade
