#pragma once

#include <fstream> // ofstream
#include <mutex>   // mutex, lock_guard
#include <string>  // string

#include <nlohmann/json.hpp> // json

namespace standin
{

/// @brief Append-only file of a stand-in's events, one JSON object per line.
///
/// Thread-safe; each event is flushed at once, so it survives a crash of the
/// process.
class event_log
{
public:
    explicit event_log(const std::string& path) : m_out(path, std::ios::app)
    {
    }

    void append(const nlohmann::json& event)
    {
        const std::lock_guard lock(m_mutex);
        // In one call, as other processes may append to the same file.
        m_out << event.dump() + '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

} // namespace standin
