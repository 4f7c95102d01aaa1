#include "core/events/EventCatalogue.h"
#include "gateway/Gateway.h"
#include "gateway/request/RequestRelay.h"

namespace cuminrail {

void Gateway::setUpCarriage()
{
    RequestCarriage::Hooks hooks;
    hooks.refusal = [this] { return carriageRefusal(); };
    hooks.onRequest = [this](const std::shared_ptr<CarriedExchange> &exchange) {
        noteExchangeActivity();
        std::make_shared<RequestRelay>(context_, exchange)->start();
    };
    hooks.onOutOfOrder = [this](const Reason &reason) { reportOutOfOrder(reason); };
    context_.carriage = std::make_unique<RequestCarriage>(
        RequestCarriage::Environment{environment_.io, environment_.clock, environment_.random,
                                     environment_.events, linkTraffic_},
        settings_, std::move(hooks));
    fabric_.onOpen = [this](const std::string &secret) { context_.carriage->open(secret); };
}

std::string Gateway::carriageRefusal() const
{
    if (context_.path.isCut())
        return "no upstream can be reached from here either";
    return isReady() ? std::string() : "not ready";
}

void Gateway::onPathChange(PathState before)
{
    const PathState state = context_.path.state();
    environment_.events(Event{&events::pathChanged,
                              {{"state", std::string(pathStateNames.name(state))},
                               {"before", std::string(pathStateNames.name(before))}}});
    if (before == PathState::Cut)
        context_.health.forgetEjections();
    if (context_.carriage)
        context_.carriage->setWanted(state == PathState::Cut);
}

void Gateway::tickPath()
{
    if (context_.counters.inProgress == 0)
        context_.path.progressed();
    context_.path.tick();
    if (context_.carriage)
        context_.carriage->tick();
    // Orders to engines need a path. Without a carrier, no other instance is better off.
    const bool isOthersTurn = context_.path.isCut() && context_.carriage
        && context_.carriage->chooseCarrier({}).has_value();
    lease_.setBlocked(isOthersTurn);
}

} // namespace cuminrail
