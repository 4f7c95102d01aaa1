#pragma once

#include "instance/instance.h"
#include "net/testing/ScriptedUpstream.h"
#include "runtime/log/EventLog.h"

#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

namespace cuminrail::testing {

inline const std::string northKey = "key-of-the-north-0001";
inline const std::string southKey = "key-of-the-south-0002";
inline const std::string withdrawnKey = "key-that-was-withdrawn";

/** Responds to each request with a completion, either plain or a stream of three events. */
inline void engineScript(ScriptedUpstream::Connection &connection)
{
    for (;;) {
        const ReceivedRequest request = connection.read();
        if (request.text.empty())
            return;
        const std::string id = request.header("X-Request-Id");
        if (request.text.find("\"stream\":true") == std::string::npos) {
            connection.socket.send(plainResponse(
                id,
                "{\"text\":\"whole\",\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3}}"));
            continue;
        }
        connection.socket.send(streamHead(id) + chunk(event(0, "one") + event(1, "two"))
                               + chunk(event(2, "[DONE]")) + chunk(""));
    }
}

/** Responds to each call of a plain service and echoes its request ID. */
inline void serviceScript(ScriptedUpstream::Connection &connection)
{
    for (;;) {
        const ReceivedRequest request = connection.read();
        if (request.text.empty())
            return;
        connection.socket.send(plainResponse(request.header("X-Request-Id"), "{\"lodged\":true}"));
    }
}

/** Returns an address on which nothing listens. */
inline std::string closedAddress()
{
    const ScriptedUpstream closed([](ScriptedUpstream::Connection &) {});
    return closed.address();
}

/** Returns settings with two customers, two models, a service "lodging" and the given upstreams. */
inline Settings testSettings(const std::vector<std::string> &engines,
                             const std::vector<std::string> &services)
{
    Settings settings;
    settings.fleet.domains = {{FailureDomainId("a"), RegionId("r")}};
    ModelSettings model;
    model.id = ModelId("small");
    model.version = "1";
    model.maxPromptTokens = 1000;
    model.maxOutputTokens = 100;
    ModelSettings secret = model;
    secret.id = ModelId("secret");
    settings.fleet.models = {model, secret};
    for (std::size_t i = 0; i < engines.size(); ++i) {
        EngineSettings engine;
        engine.id = UpstreamId("e" + std::to_string(i));
        engine.address = engines[i];
        engine.domain = FailureDomainId("a");
        engine.models = {model.id, secret.id};
        settings.fleet.engines.push_back(engine);
    }
    ServiceSettings lodging;
    lodging.name = "lodging";
    lodging.prefix = "/services/lodging/";
    lodging.timeout = Millis::seconds(10);
    for (std::size_t i = 0; i < services.size(); ++i)
        lodging.upstreams.push_back(
            {UpstreamId("s" + std::to_string(i)), services[i], FailureDomainId("a")});
    lodging.calls = {{"POST", "/lodgings", false, true},
                     {"POST", "/notes", false, false},
                     {"POST", "/status/", true, false}};
    settings.fleet.services = {lodging};
    TeamSettings team;
    team.id = TeamId("t");
    CustomerSettings north;
    north.id = CustomerId("north");
    north.team = team.id;
    CustomerSettings south = north;
    south.id = CustomerId("south");
    south.models = {model.id};
    team.customers = {north, south};
    settings.teams = {team};
    settings.keys = {{KeyHash::of(northKey).toHex(), north.id, "", false},
                     {KeyHash::of(southKey).toHex(), south.id, "", false},
                     {KeyHash::of(withdrawnKey).toHex(), north.id, "", true}};
    return settings;
}

/** Returns a configuration with free loopback ports and time-outs short enough for tests. */
inline InstanceConfig testConfig()
{
    InstanceConfig config;
    config.threads = 2;
    config.failureDomain = FailureDomainId("a");
    config.deadlineTick = Millis(2);
    config.drainLag = Millis(20);
    config.maxBodyBytes = 64 * 1024;
    return config;
}

/** A running instance that records its events and usage. */
class RunningInstance
{
public:
    explicit RunningInstance(const Settings &settings, InstanceConfig config = testConfig(),
                             const ClaimHooks &claims = {}, const SendFaultHook &fault = {})
        : instance(std::move(config), [this](const Event &event) { recordEvent(event); })
    {
        instance.context().claims = claims;
        instance.context().sendFault = fault;
        instance.context().onUsage = [this](const UsageRecord &record) {
            const std::lock_guard<std::mutex> lock(mutex_);
            usage_.push_back(record);
            changed_.notify_all();
        };
        Reason reason;
        if (!instance.start(&reason))
            throw std::runtime_error(reason.toString());
        instance.publish(settings);
    }
    ~RunningInstance() { instance.shutDown(); }
    RunningInstance(const RunningInstance &) = delete;
    RunningInstance &operator=(const RunningInstance &) = delete;

    TestSocket connect(int receiveBufferBytes = 0) const
    {
        return TestSocket::connectTo(instance.port(), receiveBufferBytes);
    }

    /** Sends one request over a new connection and returns the whole response. */
    std::string ask(const std::string &request) const
    {
        TestSocket socket = connect();
        socket.send(request);
        return socket.readMessage();
    }

    std::string admin(const std::string &method, const std::string &path) const
    {
        TestSocket socket = TestSocket::connectTo(instance.adminPort());
        socket.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        return socket.readMessage();
    }

    std::vector<UsageRecord> waitForUsage(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(testTimeoutSeconds),
                          [&] { return usage_.size() >= count; });
        return usage_;
    }

    /** Returns all events so far, formatted as log lines. */
    std::string log() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return log_;
    }

    Instance instance;

private:
    void recordEvent(const Event &event)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        log_ += EventLog::format(event, "i") + "\n";
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<UsageRecord> usage_;
    std::string log_;
};

/** Returns a request with a key and a body, each unless empty. */
inline std::string request(const std::string &method, const std::string &target,
                           const std::string &key, const std::string &body = {},
                           const std::string &moreHeaders = {})
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: x\r\n" + moreHeaders;
    if (!key.empty())
        text += "Authorization: Bearer " + key + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline const std::string plainBody =
    R"({"model":"small","messages":[{"role":"user","content":"hello"}]})";
inline const std::string streamBody =
    R"({"model":"small","stream":true,"messages":[{"role":"user","content":"hello"}]})";

/** Returns a completion request of the customer "north". */
inline std::string completion(const std::string &body = plainBody,
                              const std::string &moreHeaders = {})
{
    return request("POST", "/v1/chat/completions", northKey, body, moreHeaders);
}

/** Returns a call of the service "lodging" with an Idempotency-Key. */
inline std::string lodging(const std::string &idempotencyKey, const std::string &body = "{}")
{
    return request("POST", "/services/lodging/lodgings", northKey, body,
                   "Idempotency-Key: " + idempotencyKey + "\r\n");
}

inline bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/** Returns the body of a chunked response, decoded. */
inline std::string unchunked(const std::string &response)
{
    std::string decoded;
    std::size_t offset = response.find("\r\n\r\n") + 4;
    while (offset < response.size()) {
        const std::size_t size = std::strtoul(response.c_str() + offset, nullptr, 16);
        const auto data = response.find("\r\n", offset) + 2;
        if (size == 0 || data < 2)
            break;
        decoded += response.substr(data, size);
        offset = data + size + 2;
    }
    return decoded;
}

} // namespace cuminrail::testing
