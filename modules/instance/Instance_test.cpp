#include "instance/Instance.h"

#include "instance/testing/InstanceFixture.h"

#include <doctest/doctest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <filesystem>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

using Connection = ScriptedUpstream::Connection;

/** A directory that is removed at the end of the test. */
class TemporaryDirectory
{
public:
    TemporaryDirectory()
    {
        std::string name = std::filesystem::temp_directory_path() / "cuminrail-test-XXXXXX";
        path = mkdtemp(name.data());
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(path); }
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    std::filesystem::path path;
};

/** Writes a new self-signed certificate and its key. */
void writeCertificate(const std::string &certificateFile, const std::string &keyFile,
                      const std::string &name)
{
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *certificate = X509_new();
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 86400);
    X509_set_pubkey(certificate, key);
    X509_NAME *subject = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate, subject);
    X509_sign(certificate, key, EVP_sha256());
    BIO *file = BIO_new_file(certificateFile.c_str(), "w");
    PEM_write_bio_X509(file, certificate);
    BIO_free(file);
    file = BIO_new_file(keyFile.c_str(), "w");
    PEM_write_bio_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    BIO_free(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
}

struct TlsResponse
{
    std::string text;
    std::string certificateName;
};

TlsResponse requestOverTls(std::uint16_t port, const std::string &request)
{
    namespace ssl = boost::asio::ssl;
    boost::asio::io_context io;
    ssl::context context(ssl::context::tls_client);
    ssl::stream<boost::asio::ip::tcp::socket> stream(io, context);
    stream.next_layer().connect({boost::asio::ip::address_v4::loopback(), port});
    stream.handshake(ssl::stream_base::client);
    boost::asio::write(stream, boost::asio::buffer(request));
    TlsResponse response;
    boost::system::error_code error;
    boost::asio::read_until(stream, boost::asio::dynamic_buffer(response.text), "\"list\"}", error);
    X509 *certificate = SSL_get1_peer_certificate(stream.native_handle());
    char name[64] = {};
    X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name,
                              sizeof name);
    X509_free(certificate);
    response.certificateName = name;
    return response;
}

bool isReady(const RunningInstance &running)
{
    return contains(running.admin("GET", "/readyz"), "HTTP/1.1 200 ");
}

} // namespace

TEST_CASE("the admin server serves health, readiness, metrics and state")
{
    ScriptedUpstream engine(engineScript);
    RunningInstance running(testSettings({engine.address()}, {}));
    running.ask(completion());
    CHECK(contains(running.admin("GET", "/healthz"), "200 OK"));
    CHECK(isReady(running));
    const std::string metrics = running.admin("GET", "/metrics");
    CHECK(contains(metrics, "cuminrail_requests_total 1"));
    CHECK(contains(metrics, "cuminrail_prompt_tokens_total 7"));
    CHECK(contains(metrics, "cuminrail_first_byte_seconds_bucket"));
    const std::string state = running.admin("GET", "/state");
    CHECK(contains(state, "\"id\":\"e0\""));
    CHECK(contains(state, "\"generation\":1"));
    CHECK(contains(running.admin("GET", "/elsewhere"), "404 Not Found"));
    CHECK(contains(running.admin("GET", "/drain"), "405 Method Not Allowed"));
}

TEST_CASE("an instance without settings is not ready and refuses callers")
{
    Instance instance(testConfig(), ignoreEvents());
    Reason reason;
    REQUIRE(instance.start(&reason));
    TestSocket admin = TestSocket::connectTo(instance.adminPort());
    admin.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(contains(admin.readMessage(), "\"missing\":[\"settings\"]"));
    TestSocket caller = TestSocket::connectTo(instance.port());
    caller.send(completion());
    CHECK(contains(caller.readMessage(), "HTTP/1.1 401 "));
}

// Guards against requests cut or refused when an instance is replaced: streams are running, and
// the load balancer still sends new requests until it notices that the instance is not ready.
TEST_CASE("a planned stop neither cuts nor refuses requests")
{
    Signal draining;
    Signal finishNow;
    ScriptedUpstream engine([&](Connection &connection) {
        for (;;) {
            const ReceivedRequest request = connection.read();
            if (request.text.empty())
                return;
            const std::string id = request.header("X-Request-Id");
            connection.socket.send(streamHead(id) + chunk(event(0, "one")));
            if (connection.number == 1)
                finishNow.wait();
            connection.socket.send(chunk(event(1, "[DONE]")) + chunk(""));
        }
    });
    InstanceConfig config = testConfig();
    config.drainLag = Millis(300);
    RunningInstance running(testSettings({engine.address()}, {}), config);
    bool stopHookRan = false;
    running.instance.control().thread().run([&] {
        running.instance.control().addStopHook([&](std::function<void()> done) {
            stopHookRan = true;
            done();
        });
    });
    TestSocket idle = running.connect();
    idle.send(request("GET", "/v1/models", northKey));
    CHECK_FALSE(contains(idle.readMessage(), "Connection: close"));
    TestSocket streaming = running.connect();
    streaming.send(completion(streamBody));
    REQUIRE(streaming.readUntil("one"));

    CHECK(contains(running.admin("POST", "/drain"), "202 Accepted"));
    CHECK_FALSE(isReady(running));
    // During the drain lag, new connections are served as before.
    CHECK(contains(running.ask(completion(streamBody)), "[DONE]"));
    // Afterwards new connections are refused. Open ones are served with "Connection: close".
    while (running.connect().isOpen()) { }
    idle.send(request("GET", "/v1/models", northKey));
    CHECK(contains(idle.readToEnd(), "Connection: close"));
    CHECK_FALSE(running.instance.isStopped());
    finishNow.set();
    CHECK(contains(streaming.readToEnd(), "[DONE]"));
    running.instance.wait();
    CHECK(stopHookRan);
    CHECK(running.instance.cutAtStop() == 0);
}

// Guards against a stream that never ends blocking the stop of an instance. The stop ends after
// the drain limit and reports how many connections it cut; the caller can tell that its response
// is incomplete.
TEST_CASE("a planned stop ends after the drain limit")
{
    ScriptedUpstream engine([&](Connection &connection) {
        const std::string id = connection.read().header("X-Request-Id");
        connection.socket.send(streamHead(id) + chunk(event(0, "one")));
        connection.read();
    });
    InstanceConfig config = testConfig();
    config.drainLimit = Millis(50);
    auto running = std::make_unique<RunningInstance>(testSettings({engine.address()}, {}), config);
    TestSocket streaming = running->connect();
    streaming.send(completion(streamBody));
    REQUIRE(streaming.readUntil("one"));
    running->instance.drain();
    running->instance.wait();
    CHECK(running->instance.cutAtStop() > 0);
    running.reset();
    const std::string response = streaming.readToEnd();
    CHECK_FALSE(contains(response, "[DONE]"));
    CHECK_FALSE(contains(response, "\r\n0\r\n\r\n"));
}

// Guards against using a certificate and a key that do not match: on renewal the two files are
// replaced one after the other. Until both are new, the previous pair must stay in use.
TEST_CASE("renewed certificate files are loaded without a restart")
{
    const TemporaryDirectory directory;
    const std::string certificate = directory.path / "cert.pem";
    const std::string key = directory.path / "key.pem";
    writeCertificate(certificate, key, "first");
    InstanceConfig config = testConfig();
    config.tlsCertificate = certificate;
    config.tlsKey = key;
    RunningInstance running(testSettings({closedAddress()}, {}), config);
    const auto reload = [&] {
        running.instance.control().thread().run([&] { running.instance.reloadTls(); });
    };
    const std::string models = request("GET", "/v1/models", northKey);
    const TlsResponse before = requestOverTls(running.instance.port(), models);
    CHECK(contains(before.text, "200 OK"));
    CHECK(before.certificateName == "first");

    writeCertificate(certificate, directory.path / "next-key.pem", "second");
    reload();
    CHECK(requestOverTls(running.instance.port(), models).certificateName == "first");
    std::filesystem::rename(directory.path / "next-key.pem", key);
    reload();
    CHECK(requestOverTls(running.instance.port(), models).certificateName == "second");
}

TEST_CASE("start fails with a reason if an address is in use or a certificate is missing")
{
    RunningInstance running(testSettings({closedAddress()}, {}));
    InstanceConfig config = testConfig();
    config.adminListen.port = running.instance.adminPort();
    Reason reason;
    {
        Instance second(config, ignoreEvents());
        CHECK_FALSE(second.start(&reason));
        CHECK(contains(reason.toString(), std::to_string(config.adminListen.port)));
    }
    config = testConfig();
    config.tlsCertificate = "/nowhere/cert.pem";
    config.tlsKey = "/nowhere/key.pem";
    Instance third(config, ignoreEvents());
    CHECK_FALSE(third.start(&reason));
    CHECK(reason.where == "/nowhere/cert.pem");
}
