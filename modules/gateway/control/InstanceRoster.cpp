#include "gateway/control/InstanceRoster.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace cuminrail {

namespace {

using Json = nlohmann::json;

/** An instance is an array of so many elements; its failure domain is an index. */
constexpr std::size_t elementsPerInstance = 5;

RegisteredInstance decodeInstance(const Json &json, const std::vector<std::string> &domains)
{
    if (json.size() != elementsPerInstance)
        throw std::invalid_argument("an instance has another number of elements");
    return {InstanceId(json.at(0).get<std::string>()), json.at(3).get<std::string>(),
            json.at(4).get<std::string>(), domains.at(json.at(1).get<std::size_t>()),
            json.at(2).get<std::uint32_t>()};
}

} // namespace

std::string encodeRoster(InstanceRoster roster)
{
    std::sort(roster.instances.begin(), roster.instances.end(),
              [](const auto &one, const auto &other) { return one.instance < other.instance; });
    std::map<std::string, std::size_t> domains;
    for (const RegisteredInstance &each : roster.instances)
        domains.emplace(each.failureDomain, 0);
    Json names = Json::array();
    for (auto &[name, index] : domains) {
        index = names.size();
        names.push_back(name);
    }
    Json instances = Json::array();
    for (const RegisteredInstance &each : roster.instances)
        instances.push_back({each.instance.text(), domains.at(each.failureDomain), each.milliCores,
                             each.address, each.links});
    return Json{{"secret", roster.secret}, {"domains", names}, {"instances", instances}}.dump();
}

std::optional<InstanceRoster> decodeRoster(const std::string &text, Reason *lastReason)
{
    try {
        const Json json = Json::parse(text);
        InstanceRoster roster;
        roster.secret = json.at("secret").get<std::string>();
        const auto domains = json.at("domains").get<std::vector<std::string>>();
        for (const Json &each : json.at("instances"))
            roster.instances.push_back(decodeInstance(each, domains));
        return roster;
    } catch (const std::exception &error) {
        fail(lastReason, "roster", error.what());
        return std::nullopt;
    }
}

} // namespace cuminrail
