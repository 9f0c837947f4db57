#pragma once

#include <fstream> // ifstream
#include <string>  // getline, stol, string, to_string

#include <sys/types.h> // pid_t

#include <catch2/catch.hpp> // FAIL

namespace harness
{

/// The most memory that a process has had in its life, in kB.
inline long peak_memory_kb(pid_t pid)
{
    const std::string name = "VmHWM:";
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(name))
            return std::stol(line.substr(name.size()));
    FAIL("no peak memory of process " << pid);
    return 0;
}

} // namespace harness
