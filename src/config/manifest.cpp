#include <rhubarbgrade/detail/config/manifest.hpp>

#include <string>      // string
#include <string_view> // string_view

#include <nlohmann/json.hpp> // json

namespace rhubarbgrade
{

using nlohmann::json;

std::string part_name(std::string_view digest)
{
    return "configuration-parts/" + std::string(digest);
}

result<manifest> parse_manifest(std::string_view text)
{
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return failure(errc::malformed, "parse_manifest");
    manifest parsed;
    try
    {
        parsed.generation = document.at("generation");
        parsed.author = document.at("author");
        parsed.id = document.at("id");
        for (const auto& part : document.at("parts"))
            parsed.parts.push_back({part.at("file"), part.at("digest")});
    }
    catch (const json::exception& failed)
    {
        return failure(errc::malformed, "parse_manifest", {}, failed.what());
    }
    return parsed;
}

std::string to_text(const manifest& document)
{
    json parts = json::array();
    for (const auto& part : document.parts)
        parts.push_back({{"file", part.file}, {"digest", part.digest}});
    return json{{"generation", document.generation},
                {"author", document.author},
                {"id", document.id},
                {"parts", parts}}
        .dump();
}

} // namespace rhubarbgrade
