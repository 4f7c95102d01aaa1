#include "platform/client/Replies.h"

namespace cuminrail::detail {

namespace {

using Json = nlohmann::json;

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int preconditionFailed = 412;
constexpr int tooManyRequests = 429;

Reason statusReason(const PlatformAnswer &answer)
{
    if (!answer.isWhole())
        return answer.lastReason;
    return {"status", std::to_string(answer.status)};
}

StoreObject toObject(const Json &json)
{
    StoreObject object;
    object.path = json.at("path").get<std::string>();
    object.value = json.value("value", std::string());
    object.version = json.at("version").get<ObjectVersion>();
    object.removed = json.value("removed", false);
    return object;
}

/** One object, or a list of them, with the store's revision. */
void readObjects(const Json &body, StoreReply &reply)
{
    if (body.contains("objects")) {
        reply.version = body.at("revision").get<ObjectVersion>();
        for (const Json &entry : body.at("objects"))
            reply.objects.push_back(toObject(entry));
        return;
    }
    reply.objects.push_back(toObject(body));
    reply.version = body.value("revision", reply.objects.front().version);
}

} // namespace

std::optional<Json> successBody(const PlatformAnswer &answer)
{
    if (!answer.isSuccess())
        return std::nullopt;
    Json body = Json::parse(answer.body, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    return body;
}

OrderReply toOrderReply(const PlatformAnswer &answer)
{
    if (answer.isSuccess())
        return {OrderStatus::Accepted, {}};
    const bool isRefusal = answer.status == badRequest || answer.status == notFound
        || answer.status == conflict || answer.status == tooManyRequests;
    if (isRefusal)
        return {OrderStatus::Refused, statusReason(answer)};
    if (!answer.isWhole() && answer.verdict == Verdict::NotRun)
        return {OrderStatus::NotSent, answer.lastReason};
    return {OrderStatus::Unknown, statusReason(answer)};
}

StoreReply toWriteReply(const PlatformAnswer &answer)
{
    StoreReply reply;
    reply.lastReason = statusReason(answer);
    const Json body = Json::parse(answer.body, nullptr, false);
    const bool hasVersion =
        body.is_object() && body.contains("version") && body["version"].is_number_unsigned();
    if (answer.isSuccess() && hasVersion) {
        reply.status = StoreStatus::Ok;
        reply.version = body["version"].get<ObjectVersion>();
        reply.lastReason = {};
    } else if (answer.status == preconditionFailed) {
        reply.status = StoreStatus::Conflict;
        reply.version = hasVersion ? body["version"].get<ObjectVersion>() : 0;
    } else if (answer.status == notFound) {
        reply.status = StoreStatus::NotFound;
    } else if (answer.status == tooManyRequests
               || (!answer.isWhole() && answer.verdict == Verdict::NotRun)) {
        reply.status = StoreStatus::Unavailable;
    }
    return reply;
}

StoreReply toReadReply(const PlatformAnswer &answer)
{
    StoreReply reply;
    reply.status = answer.status == notFound ? StoreStatus::NotFound : StoreStatus::Unavailable;
    reply.lastReason = statusReason(answer);
    const auto body = successBody(answer);
    if (!body)
        return reply;
    try {
        readObjects(*body, reply);
        reply.status = StoreStatus::Ok;
        reply.lastReason = {};
    } catch (const Json::exception &error) {
        reply = StoreReply{StoreStatus::Unavailable, 0, {}, {"answer", error.what()}};
    }
    return reply;
}

} // namespace cuminrail::detail
