#include "gateway/Gateway.h"

namespace cuminrail {

void Gateway::setUpStreams()
{
    // Lists are confirmed several times within the time that a change may take to arrive.
    const Millis maxListAge = settings_.changeAllowance * 2;
    context_.origins = std::make_unique<StreamOrigins>(StreamOrigins::Environment{
        transportFor(LinkPurpose::Streams), environment_.clock, context_.directory.versions(),
        [this, maxListAge] {
            return environment_.clock.now() - context_.upstreamsConfirmedAt < maxListAge;
        }});
    // Nothing can have begun before the first start of the whole system.
    if (settings_.isFirstStart)
        context_.directory.setNoVersionsBefore(environment_.clock.now()
                                               + StreamOrigins::spreadTime);
    if (!settings_.links.isSet())
        context_.origins->setPeers({{InstanceId(settings_.name), {}}});
}

void Gateway::configureStreams(const Configuration &configuration)
{
    context_.directory.setVersionRetention(StreamOrigins::longestStream(configuration)
                                           + StreamOrigins::lifetimeReserve);
    context_.origins->setConfiguration(configuration);
}

} // namespace cuminrail
