#pragma once

#include "admission/AdmissionTypes.h"
#include "dispatch/claims/ClaimManager.h"
#include "instance/request/AnswerRelay.h"
#include "instance/request/RequestPlan.h"
#include "instance/serving/AdmissionDesk.h"
#include "net/server/HttpExchange.h"
#include "net/upstream/UpstreamPool.h"
#include "routing/Router.h"

#include <cstdint>
#include <memory>
#include <string>

namespace cuminrail {

class RequestWorker;

/**
    State machine of one request, from its complete reception to the end of its response: parses
    and validates the request, claims its idempotency key if it must run at most once, waits for
    admission, selects an upstream and sends. Depending on the verdict of each attempt it then
    responds, retries at another upstream, resumes an interrupted stream or fails.

    Confined to one request thread. Its worker holds a reference until the flow has ended.
*/
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    RequestFlow(RequestWorker &worker, std::shared_ptr<HttpExchange> exchange);
    ~RequestFlow();
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    void start();

private:
    enum class Stage : std::uint8_t { Planning, Claiming, Queued, Running, Ended };

    bool makePlan();
    void listModels();
    void claim();
    ClaimManager::Completion claimCompletion();
    void onClaim(const ClaimResult &result);
    void replay(const StoredResponse &storedResponse);
    void admit();
    void onAdmission(const AdmissionEnd &end);
    void dispatch();
    RoutingRequest routingRequest(const ServingSnapshot &snapshot) const;
    void startAttempt(const std::string &address);
    UpstreamRequest upstreamRequest(const std::string &address) const;
    UpstreamHooks attemptHooks();
    void onResponseBody(std::string_view data);
    void onAttemptEnd(const UpstreamEnd &end);
    void onCompleteResponse();
    void onFailedAttempt(const AttemptOutcome &outcome, UpstreamEndKind kind);
    bool tryResume();
    void onResumeHead(HttpHead &head);
    void cancelAtEngine();
    void onCallerDisconnected();
    void onDeadline();
    void refuse(const Refusal &refusal);
    void failAfterAttempts(const Refusal &refusal);
    void finish();
    void endFlow();
    void reportUsage();
    void finishClaim();
    void releaseRoute(UpstreamOutcome outcome);
    Millis now() const;

    RequestWorker &worker_;
    std::shared_ptr<HttpExchange> exchange_;
    std::string requestId_;
    std::string attemptId_;
    std::string address_;
    RequestPlan plan_;
    AnswerRelay relay_;
    Stage stage_ = Stage::Planning;
    std::string claimToken_;
    AdmissionTicket admissionTicket_ = 0;
    std::uint32_t expectedOutput_ = 0;
    RoutingTicket routingTicket_;
    std::array<UpstreamIndex, RoutingRequest::maxTried> tried_{noIndex, noIndex, noIndex, noIndex};
    UpstreamCall call_;
    std::uint32_t attempts_ = 0;
    std::uint32_t resumes_ = 0;
    /** Verdict over all attempts: if any attempt may have run, the request may have run. */
    Verdict verdict_ = Verdict::NotRun;
    bool hasFirstByte_ = false;
    /** True once the caller has disconnected or got an error response at its deadline. */
    bool isResponseUnwanted_ = false;
    bool isPaused_ = false;
    Deadline deadline_;
};

} // namespace cuminrail
