#include "net/server/ServerExchange.h"

#include "core/guards/Guards.h"

namespace cuminrail::detail {

ServerExchange::ServerExchange(std::shared_ptr<ServerConnection> connection, HttpHead head,
                               std::string body, HeldMemory memory)
    : connection_(std::move(connection)), requestNumber_(connection_->requestNumber()),
      head_(std::move(head)), body_(std::move(body)), memory_(std::move(memory))
{ }

bool ServerExchange::isCurrent() const
{
    return connection_->requestNumber() == requestNumber_
        || !guardEnabled(Guard::AnswerBoundToRequest);
}

void ServerExchange::respond(const HttpResponse &response)
{
    if (isCurrent())
        connection_->respond(response);
    else
        connection_->rejectLateCall("respond");
}

void ServerExchange::beginStream(int status, const std::vector<HttpHeader> &headers)
{
    if (isCurrent())
        connection_->beginStream(status, headers);
    else
        connection_->rejectLateCall("beginStream");
}

void ServerExchange::write(std::string_view data)
{
    if (isCurrent())
        connection_->write(data);
    else
        connection_->rejectLateCall("write");
}

void ServerExchange::finish()
{
    if (isCurrent())
        connection_->finish();
    else
        connection_->rejectLateCall("finish");
}

void ServerExchange::abort()
{
    if (isCurrent())
        connection_->abort();
}

void ServerExchange::finishTruncated(std::string_view finalData)
{
    if (isCurrent())
        connection_->finishTruncated(finalData);
    else
        connection_->rejectLateCall("finishTruncated");
}

bool ServerExchange::isCongested() const
{
    return isCurrent() && connection_->isCongested();
}

void ServerExchange::onWritable(std::function<void()> hook)
{
    if (isCurrent())
        connection_->onWritable(std::move(hook));
}

void ServerExchange::onCallerDisconnected(std::function<void()> hook)
{
    if (isCurrent())
        connection_->onCallerDisconnected(std::move(hook));
}

} // namespace cuminrail::detail
