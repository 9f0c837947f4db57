#pragma once

#include <filesystem> // path
#include <fstream>    // ifstream
#include <string>     // string
#include <vector>     // vector

#include <nlohmann/json.hpp> // json

namespace harness
{

/// Reads the events of stand-ins that may still write; see
/// standin/record.hpp. A last line without its end is left out: a reader can
/// see a part of what one call has written.
inline std::vector<nlohmann::json>
read_event_log(const std::filesystem::path& path)
{
    std::vector<nlohmann::json> events;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line) && !in.eof();)
        events.push_back(nlohmann::json::parse(line));
    return events;
}

} // namespace harness
