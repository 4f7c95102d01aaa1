#pragma once

#include "net/server/ServerConnection.h"

namespace cuminrail::detail {

/** One request of a connection, and the right to answer it for as long as it is the current one. */
class ServerExchange final : public HttpExchange
{
public:
    ServerExchange(std::shared_ptr<ServerConnection> connection, HttpHead head, std::string body,
                   BodyReservation reservation);

    const HttpHead &head() const override { return head_; }
    std::string &body() override { return body_; }
    void respond(const HttpAnswer &answer) override;
    void beginStream(int status, const std::vector<HttpHeader> &headers) override;
    void write(std::string_view data) override;
    void finish() override;
    void abort() override;
    void finishCut(std::string_view lastWords) override;
    bool isCongested() const override;
    void onWritable(std::function<void()> hook) override;
    void onCallerLeft(std::function<void()> hook) override;

private:
    bool isCurrent() const;

    std::shared_ptr<ServerConnection> connection_;
    std::uint64_t requestNumber_;
    HttpHead head_;
    std::string body_;
    BodyReservation reservation_;
};

} // namespace cuminrail::detail
