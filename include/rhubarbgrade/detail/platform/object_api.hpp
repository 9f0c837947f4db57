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

/// @brief An object of the platform: its value and the value's version.
struct stored_object
{
    std::uint64_t version = 0;
    std::string value;
};

/// @brief Client of the platform's Object API and host list.
///
/// Calls block. After @ref errc::platform_unreachable it is unknown whether a
/// write took effect; the object must be read again to find out. Not
/// thread-safe.
class object_api
{
public:
    /// @param[in] address  "ip:port" of the platform
    /// @param[in] timeout  limit for one call
    object_api(const std::string& address, milliseconds timeout);
    ~object_api();
    object_api(const object_api&) = delete;
    object_api& operator=(const object_api&) = delete;

    /// @brief Reads an object; @ref errc::absent if it does not exist.
    result<stored_object> read(const std::string& name);

    /// @brief Creates an object; @ref errc::conflict if it exists.
    /// @return the version of the object
    result<std::uint64_t> create(const std::string& name,
                                 std::string_view value);

    /// @brief Replaces the value of an object if its version is as expected.
    /// @param[in] name     name of the object
    /// @param[in] value    the new value
    /// @param[in] version  the expected version, 0 to create the object
    /// @return the new version, or @ref errc::conflict
    result<std::uint64_t> update(const std::string& name,
                                 std::string_view value, std::uint64_t version);

    /// @brief Lists the names of all objects that begin with @a prefix.
    result<std::vector<std::string>> list(const std::string& prefix);

    /// @brief Waits until the version of an object is higher than @a above.
    /// @param[in] name   name of the object
    /// @param[in] above  the last known version
    /// @param[in] wait   maximum time to wait
    /// @return the object, or @ref errc::absent if it did not change in time
    result<stored_object> watch(const std::string& name, std::uint64_t above,
                                milliseconds wait);

    /// @brief Reads the host list.
    result<std::vector<listed_host>> hosts();

private:
    class connection;
    std::unique_ptr<connection> m_connection;
};

} // namespace rhubarbgrade
