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
    manifest read;
    try
    {
        read.generation = document.at("generation");
        read.author = document.at("author");
        read.id = document.at("id");
        for (const auto& part : document.at("parts"))
            read.parts.push_back({part.at("file"), part.at("digest")});
    }
    catch (const json::exception& problem)
    {
        return failure(errc::malformed, "parse_manifest", {}, problem.what());
    }
    return read;
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
