#include <rhubarbgrade/detail/endpoint/slot_lease.hpp>

#include <chrono>  // steady_clock
#include <string>  // string
#include <utility> // exchange, move

#include <rhubarbgrade/detail/endpoint/endpoint_table.hpp> // endpoint_table

namespace rhubarbgrade
{

slot_lease::slot_lease(endpoint_table& table, std::string endpoint,
                       std::string address, std::string version,
                       std::string service)
    : m_table(&table),
      m_endpoint(std::move(endpoint)),
      m_address(std::move(address)),
      m_version(std::move(version)),
      m_service(std::move(service)),
      m_acquired_at(std::chrono::steady_clock::now())
{
}

slot_lease::~slot_lease()
{
    if (m_table != nullptr)
        m_table->release(m_endpoint, m_service, m_acquired_at);
}

slot_lease::slot_lease(slot_lease&& other) noexcept
    : m_table(std::exchange(other.m_table, nullptr)),
      m_endpoint(std::move(other.m_endpoint)),
      m_address(std::move(other.m_address)),
      m_version(std::move(other.m_version)),
      m_service(std::move(other.m_service)),
      m_acquired_at(other.m_acquired_at)
{
}

slot_lease& slot_lease::operator=(slot_lease&& other) noexcept
{
    std::swap(m_table, other.m_table);
    std::swap(m_endpoint, other.m_endpoint);
    std::swap(m_address, other.m_address);
    std::swap(m_version, other.m_version);
    std::swap(m_service, other.m_service);
    std::swap(m_acquired_at, other.m_acquired_at);
    return *this;
}

} // namespace rhubarbgrade
