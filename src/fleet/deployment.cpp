#include <rhubarbgrade/detail/fleet/deployment.hpp>

#include <cstddef>     // size_t
#include <string>      // string
#include <string_view> // string_view

namespace rhubarbgrade
{

void build_indexes(deployment& configuration)
{
    configuration.route_index.clear();
    configuration.key_index.clear();
    for (std::size_t i = 0; i < configuration.routes.size(); ++i)
    {
        const auto& rule = configuration.routes[i];
        configuration.route_index[rule.host][rule.path_prefix] = i;
    }
    for (std::size_t i = 0; i < configuration.customers.size(); ++i)
        for (const auto& key : configuration.customers[i].keys)
            configuration.key_index[key] = i;
}

const route* find_route(const deployment& configuration, std::string_view host,
                        std::string_view path)
{
    const auto prefixes = configuration.route_index.find(std::string(host));
    if (prefixes == configuration.route_index.end())
        return nullptr;
    auto slash = path.rfind('/');
    while (slash != std::string_view::npos)
    {
        const auto found =
            prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != prefixes->second.end())
            return &configuration.routes[found->second];
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const payer* find_customer(const deployment& configuration,
                           std::string_view key)
{
    const auto found = configuration.key_index.find(std::string(key));
    if (found == configuration.key_index.end())
        return nullptr;
    return &configuration.customers[found->second];
}

} // namespace rhubarbgrade
