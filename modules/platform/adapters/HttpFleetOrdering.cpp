#include "platform/adapters/HttpFleetOrdering.h"

#include "platform/client/Replies.h"

namespace cuminrail {

namespace {

using Json = nlohmann::json;

std::string fleetTarget(const FailureDomainId &domain, CostClass costClass)
{
    return "/fleet/" + percentEncoded(domain.text()) + "/"
        + std::string(costClassNames.name(costClass));
}

PlatformCall targetCall(const FleetTarget &target, const std::string &address)
{
    PlatformCall call;
    call.kind = PlatformCallKind::Fleet;
    call.address = address;
    call.method = "PUT";
    call.target = fleetTarget(target.domain, target.costClass);
    call.body =
        Json{
            {"count", target.count},
            {"fence", target.fence},
            {"client_token", target.clientToken},
        }
            .dump();
    call.notAfter = target.notAfter;
    return call;
}

PlatformCall readCall(PlatformCallKind kind, const std::string &address, std::string target)
{
    PlatformCall call;
    call.kind = kind;
    call.address = address;
    call.target = std::move(target);
    return call;
}

FleetStatus toStatus(const FailureDomainId &domain, CostClass costClass, const Json &body)
{
    FleetStatus status;
    status.target.domain = domain;
    status.target.costClass = costClass;
    status.target.count = body.at("count").get<std::uint32_t>();
    status.target.fence = body.at("fence").get<FenceNumber>();
    status.target.clientToken = body.at("client_token").get<std::string>();
    status.running = body.at("running").get<std::uint32_t>();
    return status;
}

std::vector<ListedInstance> toList(const Json &body)
{
    std::vector<ListedInstance> list;
    for (const Json &entry : body.at("instances")) {
        ListedInstance instance;
        instance.name = entry.at("name").get<std::string>();
        instance.address = entry.at("address").get<std::string>();
        instance.domain = FailureDomainId(entry.at("domain").get<std::string>());
        instance.leaving = entry.value("leaving", false);
        instance.isOwn = entry.value("is_own", false);
        list.push_back(std::move(instance));
    }
    return list;
}

/** Reads a body by a function that throws on a wrong shape; nothing on any failure. */
template<typename Read>
auto readBody(const PlatformAnswer &answer, const Read &read)
    -> std::optional<decltype(read(Json()))>
{
    const auto body = detail::successBody(answer);
    if (!body)
        return std::nullopt;
    try {
        return read(*body);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace

FleetOrdering makeHttpFleetOrdering(PlatformClient &client, const std::string &address)
{
    FleetOrdering fleet;
    fleet.setTarget = [&client, address](const FleetTarget &target,
                                         std::function<void(const OrderReply &)> done) {
        client.call(targetCall(target, address),
                    [done = std::move(done)](const PlatformAnswer &answer) {
                        done(detail::toOrderReply(answer));
                    });
    };
    fleet.readTarget = [&client,
                        address](const FailureDomainId &domain, CostClass costClass,
                                 std::function<void(const std::optional<FleetStatus> &)> done) {
        client.call(readCall(PlatformCallKind::Fleet, address, fleetTarget(domain, costClass)),
                    [domain, costClass, done = std::move(done)](const PlatformAnswer &answer) {
                        done(readBody(answer, [&](const Json &body) {
                            return toStatus(domain, costClass, body);
                        }));
                    });
    };
    fleet.listInstances =
        [&client,
         address](std::function<void(const std::optional<std::vector<ListedInstance>> &)> done) {
            client.call(readCall(PlatformCallKind::Instances, address, "/instances"),
                        [done = std::move(done)](const PlatformAnswer &answer) {
                            done(readBody(answer, toList));
                        });
        };
    return fleet;
}

} // namespace cuminrail
