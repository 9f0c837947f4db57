// The log of the stand-ins' events, as the integration tests read it.

#include <filesystem>
#include <fstream>
#include <string>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "../integration/event_log.hpp"

// Guards against a test that fails because it reads a part of a line that a
// stand-in is just writing.
TEST_CASE("an event that is not yet written to its end is not read",
          "[event-log]")
{
    const auto path = std::filesystem::temp_directory_path() /
                      ("rhubarbgrade-events-" + std::to_string(::getpid()));
    const std::string whole = R"({"path":"/read/x","n":1})";
    for (std::size_t written = 0; written <= whole.size(); ++written)
    {
        std::ofstream(path) << whole << '\n' << whole.substr(0, written);
        CAPTURE(written);
        CHECK(harness::read_event_log(path).size() == 1);
    }
    std::ofstream(path) << whole << '\n' << whole << '\n';
    CHECK(harness::read_event_log(path).size() == 2);
    std::filesystem::remove(path);
}
