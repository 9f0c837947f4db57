#pragma once

#include <string> // string

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

class endpoint_table;

/// @brief Holds one slot, which permits one request in flight at an endpoint,
///        and releases it on destruction.
class slot_lease
{
public:
    slot_lease(endpoint_table& table, std::string endpoint, std::string address,
               std::string version, std::string service);
    ~slot_lease();
    slot_lease(slot_lease&& other) noexcept;
    slot_lease& operator=(slot_lease&& other) noexcept;

    const std::string& endpoint() const
    {
        return m_endpoint;
    }

    const std::string& address() const
    {
        return m_address;
    }

    const std::string& version() const
    {
        return m_version;
    }

private:
    endpoint_table* m_table;
    std::string m_endpoint;
    std::string m_address;
    std::string m_version;
    std::string m_service;
    time_point_t m_acquired_at;
};

} // namespace rhubarbgrade
