#include "instance/testing/InstanceFixture.h"

#include <doctest/doctest.h>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

struct BadRow
{
    std::string name;
    std::string bytes;
    int status;
    std::string code;
};

std::string headed(const std::string &requestLine, const std::string &headers,
                   const std::string &body = {})
{
    return requestLine + "\r\nHost: x\r\nAuthorization: Bearer " + northKey + "\r\n" + headers
        + "\r\n" + body;
}

std::string post(const std::string &headers, const std::string &body = {})
{
    return headed("POST /v1/chat/completions HTTP/1.1", headers, body);
}

std::string nested(std::size_t depth)
{
    return R"({"model":"small","messages":[{"role":"user","content":"x"}],"x":)"
        + std::string(depth, '[') + std::string(depth, ']') + "}";
}

std::vector<BadRow> framingRows()
{
    const std::string cl = "Content-Length: " + std::to_string(plainBody.size()) + "\r\n";
    const std::string te = "Transfer-Encoding: chunked\r\n";
    return {
        {"two equal lengths", post(cl + cl, plainBody), 400, "invalid_request"},
        {"two lengths", post(cl + "Content-Length: 3\r\n", plainBody), 400, "invalid_request"},
        {"list of lengths", post("Content-Length: 3, 3\r\n", "abc"), 400, "invalid_request"},
        {"negative length", post("Content-Length: -3\r\n", "abc"), 400, "invalid_request"},
        {"length with a plus", post("Content-Length: +3\r\n", "abc"), 400, "invalid_request"},
        {"length is no number", post("Content-Length: three\r\n", "abc"), 400, "invalid_request"},
        {"length beyond 64 bit", post("Content-Length: 99999999999999999999\r\n", "abc"), 400,
         "invalid_request"},
        {"length and chunks", post(cl + te, plainBody), 400, "invalid_request"},
        {"chunks and length", post(te + cl, plainBody), 400, "invalid_request"},
        {"chunked twice", post(te + te, "0\r\n\r\n"), 400, "invalid_request"},
        {"chunked, chunked", post("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"), 400,
         "invalid_request"},
        {"coding before chunked", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400,
         "invalid_request"},
        {"unknown coding", post("Transfer-Encoding: identity\r\n"), 400, "invalid_request"},
        {"misspelt chunked", post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), 400,
         "invalid_request"},
        {"chunks over HTTP/1.0", headed("POST /v1/chat/completions HTTP/1.0", te, "0\r\n\r\n"), 400,
         "invalid_request"},
        {"bad chunk size", post(te, "zz\r\nabc\r\n0\r\n\r\n"), 400, "invalid_request"},
        {"chunk longer than it says", post(te, "2\r\nabcdef\r\n0\r\n\r\n"), 400, "invalid_request"},
        {"space before the colon", post("Content-Length : 3\r\n", "abc"), 400, "invalid_request"},
        {"no header name", post(": value\r\n"), 400, "invalid_request"},
        {"control byte in a header",
         post("X-A: a\x01"
              "b\r\n"),
         400, "invalid_request"},
    };
}

std::vector<BadRow> headRows()
{
    return {
        {"no HTTP at all", "hello there\r\n\r\n", 400, "invalid_request"},
        {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, "invalid_request"},
        {"version 3", "GET /v1/models HTTP/3.0\r\nHost: x\r\n\r\n", 400, "invalid_request"},
        {"absolute target", headed("GET http://x/v1/models HTTP/1.1", ""), 400, "invalid_request"},
        {"no host", "GET /v1/models HTTP/1.1\r\nAuthorization: Bearer " + northKey + "\r\n\r\n",
         400, "invalid_request"},
        {"two hosts", headed("GET /v1/models HTTP/1.1", "Host: y\r\n"), 400, "invalid_request"},
        {"head over the limit",
         headed("GET /v1/models HTTP/1.1", "X-Long: " + std::string(17000, 'a') + "\r\n"), 413,
         "too_large"},
        {"target over the limit", headed("GET /" + std::string(17000, 'a') + " HTTP/1.1", ""), 413,
         "too_large"},
        {"announced body over the limit", post("Content-Length: 70000\r\n"), 413, "too_large"},
        {"chunked body over the limit",
         post("Transfer-Encoding: chunked\r\n", "11170\r\n" + std::string(70000, 'a')), 413,
         "too_large"},
        {"no key", request("POST", "/v1/chat/completions", "", plainBody), 401, "invalid_key"},
        {"unknown key", request("POST", "/v1/chat/completions", "nobody-has-this", plainBody), 401,
         "invalid_key"},
        {"withdrawn key", request("POST", "/v1/chat/completions", withdrawnKey, plainBody), 401,
         "invalid_key"},
        {"other scheme", request("GET", "/v1/models", "", "", "Authorization: Basic abc\r\n"), 401,
         "invalid_key"},
        {"two keys",
         request("GET", "/v1/models", northKey, "", "Authorization: Bearer " + southKey + "\r\n"),
         401, "invalid_key"},
        {"unknown path", request("GET", "/v1/nothing", northKey), 404, "not_found"},
        {"GET of a completion", request("GET", "/v1/chat/completions", northKey), 405,
         "method_not_allowed"},
        {"POST to the models", request("POST", "/v1/models", northKey), 405, "method_not_allowed"},
        {"TRACE", request("TRACE", "/services/lodging/x", northKey), 405, "method_not_allowed"},
        {"deadline is no number", completion(plainBody, "X-Deadline-Ms: soon\r\n"), 400,
         "invalid_request"},
        {"deadline of zero", completion(plainBody, "X-Deadline-Ms: 0\r\n"), 400, "invalid_request"},
        {"two deadlines", completion(plainBody, "X-Deadline-Ms: 5\r\nX-Deadline-Ms: 6\r\n"), 400,
         "invalid_request"},
        {"unknown priority", completion(plainBody, "X-Priority: urgent\r\n"), 400,
         "invalid_request"},
        {"overlong idempotency key",
         completion(plainBody, "Idempotency-Key: " + std::string(129, 'k') + "\r\n"), 400,
         "invalid_request"},
        {"key in the query", request("GET", "/v1/models?key=" + northKey, northKey), 400,
         "invalid_request"},
        {"key in the query, encoded",
         request("GET", "/services/lodging/x?k=%6Bey-of-the-north-0001", northKey), 400,
         "invalid_request"},
        {"key in another header",
         request("GET", "/services/lodging/x", northKey, "", "X-Api-Key: " + northKey + "\r\n"),
         400, "invalid_request"},
        {"key in the body",
         completion(R"({"model":"small","messages":[{"role":"user","content":")" + northKey
                    + "\"}]}"),
         400, "invalid_request"},
        {"dots in a service's path",
         request("POST", "/services/lodging/status/../lodgings", northKey, "{}"), 400,
         "invalid_request"},
        {"encoded slash in a service's path",
         request("POST", "/services/lodging/status%2f..%2flodgings", northKey, "{}"), 400,
         "invalid_request"},
        {"double slash in a service's path",
         request("POST", "/services/lodging//lodgings", northKey, "{}"), 400, "invalid_request"},
        {"lodging without an idempotency key",
         request("POST", "/services/lodging/lodgings", northKey, "{}"), 400,
         "idempotency_key_required"},
        {"lodging while claims cannot be made", lodging("k"), 503, "claims_unavailable"},
    };
}

std::vector<BadRow> bodyRows()
{
    const auto body = [](const std::string &text) { return completion(text); };
    const std::string messages = R"("messages":[{"role":"user","content":"x"}])";
    const std::string model = R"("model":"small")";
    return {
        {"empty body", body(""), 400, "invalid_request"},
        {"no JSON", body("hello"), 400, "invalid_request"},
        {"JSON cut short", body("{\"model\":\"sm"), 400, "invalid_request"},
        {"bytes after the JSON", body(plainBody + "x"), 400, "invalid_request"},
        {"array", body("[]"), 400, "invalid_request"},
        {"number", body("1"), 400, "invalid_request"},
        {"no UTF-8",
         body("{" + model + ",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\"}]}"), 400,
         "invalid_request"},
        {"overlong UTF-8",
         body("{" + model + ",\"messages\":[{\"role\":\"user\",\"content\":\"\xc0\xaf\"}]}"), 400,
         "invalid_request"},
        {"deep nesting", body(nested(40)), 400, "invalid_request"},
        {"very deep nesting", body(nested(20000)), 400, "invalid_request"},
        {"no model", body("{" + messages + "}"), 400, "invalid_request"},
        {"model is a number", body("{\"model\":1," + messages + "}"), 400, "invalid_request"},
        {"model is empty", body("{\"model\":\"\"," + messages + "}"), 400, "invalid_request"},
        {"model twice", body("{" + model + ",\"model\":\"secret\"," + messages + "}"), 400,
         "invalid_request"},
        {"no messages", body("{" + model + "}"), 400, "invalid_request"},
        {"messages are text", body("{" + model + ",\"messages\":\"x\"}"), 400, "invalid_request"},
        {"messages are an object", body("{" + model + ",\"messages\":{}}"), 400, "invalid_request"},
        {"messages are empty", body("{" + model + ",\"messages\":[]}"), 400, "invalid_request"},
        {"a message is text", body("{" + model + ",\"messages\":[\"x\"]}"), 400, "invalid_request"},
        {"role is a number", body("{" + model + ",\"messages\":[{\"role\":1,\"content\":\"x\"}]}"),
         400, "invalid_request"},
        {"stream is text", body("{" + model + "," + messages + ",\"stream\":\"yes\"}"), 400,
         "invalid_request"},
        {"max_tokens is text", body("{" + model + "," + messages + ",\"max_tokens\":\"5\"}"), 400,
         "invalid_request"},
        {"max_tokens is negative", body("{" + model + "," + messages + ",\"max_tokens\":-5}"), 400,
         "invalid_request"},
        {"max_tokens is zero", body("{" + model + "," + messages + ",\"max_tokens\":0}"), 400,
         "invalid_request"},
        {"max_tokens is a fraction", body("{" + model + "," + messages + ",\"max_tokens\":1.5}"),
         400, "invalid_request"},
        {"prompt over the model's limit",
         body("{" + model + ",\"messages\":[{\"role\":\"user\",\"content\":\""
              + std::string(5000, 'a') + "\"}]}"),
         413, "too_large"},
        {"unknown model", body("{\"model\":\"huge\"," + messages + "}"), 404, "model_not_found"},
        {"unknown adapter", body("{\"model\":\"small:nope\"," + messages + "}"), 404,
         "model_not_found"},
        {"forbidden model",
         request("POST", "/v1/chat/completions", southKey,
                 "{\"model\":\"secret\"," + messages + "}"),
         403, "model_not_allowed"},
    };
}

void checkRows(const std::vector<BadRow> &rows)
{
    ScriptedUpstream engine(engineScript);
    ScriptedUpstream service(serviceScript);
    RunningInstance running(testSettings({engine.address()}, {service.address()}));
    for (const BadRow &row : rows) {
        CAPTURE(row.name);
        const std::string answer = running.ask(row.bytes);
        CAPTURE(answer);
        CHECK(contains(answer, "HTTP/1.1 " + std::to_string(row.status) + " "));
        CHECK(contains(answer, "\"code\":\"" + row.code + "\""));
        CHECK(contains(answer, "X-Cuminrail-Verdict: not-run\r\n"));
        CHECK_FALSE(contains(answer, northKey));
    }
    CHECK(engine.received().empty());
    CHECK(service.received().empty());
    CHECK(contains(running.ask(completion()), "200 OK"));
    CHECK_FALSE(contains(running.log(), northKey));
}

} // namespace

// Two readers of the same bytes disagree on where a request ends. What one takes for the body of
// a harmless request, the other takes for a second one, of another customer.
TEST_CASE("bytes with more than one reading are refused and nothing reaches an upstream")
{
    checkRows(framingRows());
}

// A caller sends what no upstream should see: endless heads, no key, the key in the wrong place,
// paths that a service would read as other ones. The caller is told what is wrong.
TEST_CASE("bad heads are refused and nothing reaches an upstream")
{
    checkRows(headRows());
}

// Bodies that are no JSON, nest thousands of levels deep or have wrong types would crash a reader
// or make it read another request than the engine does.
TEST_CASE("bad bodies are refused and nothing reaches an upstream")
{
    checkRows(bodyRows());
}

// A caller opens a connection and sends a byte now and then, or stops in the middle. Without a
// bound each such caller holds memory for ever.
TEST_CASE("requests that come too slowly are refused")
{
    InstanceConfig config = testConfig();
    config.headTimeout = Millis(60);
    config.bodyStallTimeout = Millis(60);
    ScriptedUpstream engine(engineScript);
    RunningInstance running(testSettings({engine.address()}, {}), config);
    const std::string whole = completion();
    for (const std::size_t sent : {std::size_t{10}, whole.find("\r\n\r\n"), whole.size() - 5}) {
        CAPTURE(sent);
        TestSocket socket = running.connect();
        socket.send(whole.substr(0, sent));
        const std::string answer = socket.readToEnd();
        CHECK(contains(answer, "HTTP/1.1 408 "));
        CHECK(contains(answer, "\"code\":\"request_timeout\""));
    }
    CHECK(engine.received().empty());
}

TEST_CASE("connections over the limit are told so")
{
    InstanceConfig config = testConfig();
    config.maxConnections = 1;
    RunningInstance running(testSettings({closedAddress()}, {}), config);
    TestSocket first = running.connect();
    first.send(request("GET", "/v1/models", northKey));
    CHECK(contains(first.readMessage(), "200 OK"));
    TestSocket second = running.connect();
    const std::string answer = second.readToEnd();
    CHECK(contains(answer, "HTTP/1.1 503 "));
    CHECK(contains(answer, "\"code\":\"overloaded\""));
    CHECK(contains(answer, "Retry-After: 1\r\n"));
}

// Many callers send large bodies at once, each below the limit for one. Together they would fill
// the memory of a small instance.
TEST_CASE("bodies are bounded together, not only each")
{
    InstanceConfig config = testConfig();
    config.maxAllBodyBytes = 60 * 1024;
    Signal finish;
    ScriptedUpstream engine([&](ScriptedUpstream::Connection &connection) {
        for (;;) {
            const ReceivedRequest request = connection.read();
            if (request.text.empty())
                return;
            finish.wait();
            connection.socket.send(plainResponse(request.header("X-Request-Id"), "{}"));
        }
    });
    RunningInstance running(testSettings({engine.address()}, {}), config);
    const std::string large = plainBody + std::string(40 * 1024, ' ');
    TestSocket first = running.connect();
    first.send(completion(large));
    REQUIRE(engine.waitForRequests(1));
    const std::string second = running.ask(completion(large));
    CHECK(contains(second, "HTTP/1.1 503 "));
    CHECK(contains(second, "X-Cuminrail-Verdict: not-run"));
    finish.set();
    CHECK(contains(first.readMessage(), "200 OK"));
    // The room comes back right after the answer, and what is refused before then did not run.
    std::string third;
    for (int i = 0; i < 1000 && !contains(third, "200 OK"); ++i)
        third = running.ask(completion(large));
    CHECK(contains(third, "200 OK"));
    CHECK(engine.received().size() == 2);
}
