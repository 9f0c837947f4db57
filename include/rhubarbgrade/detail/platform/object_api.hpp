#pragma once

#include <cstdint>     // uint64_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/error.hpp> // result
#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

struct listed_host;

/// @brief An object of the platform with the version of its value.
struct stored_object
{
    std::uint64_t version = 0;
    std::string value;
};

/// @brief A client of the platform's Object API and host list.
///
/// Calls block. An error of @ref errc::platform_unreachable leaves it open
/// whether a write took effect: read the object again. One instance serves one
/// thread at a time.
class object_api
{
public:
    /// @param[in] address  "ip:port" of the platform
    /// @param[in] timeout  for one call
    object_api(const std::string& address, milliseconds timeout);
    ~object_api();
    object_api(const object_api&) = delete;
    object_api& operator=(const object_api&) = delete;

    /// @brief Reads an object; @ref errc::absent if there is none.
    result<stored_object> read(const std::string& name);

    /// @brief Creates an object; @ref errc::conflict if there is one.
    /// @return its version
    result<std::uint64_t> create(const std::string& name,
                                 std::string_view value);

    /// @brief Replaces a value of a known version.
    /// @param[in] name     the object
    /// @param[in] value    the new value
    /// @param[in] version  the version to be replaced, 0 to create
    /// @return the new version, or @ref errc::conflict
    result<std::uint64_t> update(const std::string& name,
                                 std::string_view value, std::uint64_t version);

    /// @brief Names of the objects that begin with @a prefix.
    result<std::vector<std::string>> list(const std::string& prefix);

    /// @brief Waits for a version above one.
    /// @return the object, or @ref errc::absent if nothing changed in time
    result<stored_object> watch(const std::string& name, std::uint64_t above,
                                milliseconds wait);

    /// @brief Reads the host list.
    result<std::vector<listed_host>> hosts();

private:
    class connection;
    std::unique_ptr<connection> m_connection;
};

} // namespace rhubarbgrade
