#pragma once

#include <fstream> // ofstream
#include <mutex>   // mutex, lock_guard
#include <string>  // string

#include <nlohmann/json.hpp> // json

namespace standin
{

/// @brief An append-only record of what a stand-in did, one JSON line an event.
class record
{
public:
    explicit record(const std::string& path) : m_out(path, std::ios::app)
    {
    }

    void append(const nlohmann::json& event)
    {
        const std::lock_guard lock(m_mutex);
        m_out << event.dump() << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

} // namespace standin
