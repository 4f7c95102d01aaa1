#pragma once

#include "net/server/ServerConnection.h"

namespace cuminrail::detail {

/** One request of a connection; can respond only while it is the connection's current request. */
class ServerExchange final : public HttpExchange
{
public:
    ServerExchange(std::shared_ptr<ServerConnection> connection, HttpHead head, std::string body,
                   HeldMemory memory);

    const HttpHead &head() const override { return head_; }
    std::string &body() override { return body_; }
    void respond(const HttpResponse &response) override;
    void beginStream(int status, const std::vector<HttpHeader> &headers) override;
    void write(std::string_view data) override;
    void finish() override;
    void abort() override;
    void finishTruncated(std::string_view finalData) override;
    bool isCongested() const override;
    void onWritable(std::function<void()> hook) override;
    void onCallerDisconnected(std::function<void()> hook) override;

private:
    bool isCurrent() const;

    std::shared_ptr<ServerConnection> connection_;
    std::uint64_t requestNumber_;
    HttpHead head_;
    std::string body_;
    /** Of the head and the body. */
    HeldMemory memory_;
};

} // namespace cuminrail::detail
