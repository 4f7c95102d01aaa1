#include "peerlink/auth/LinkHandshake.h"

#include "core/guards/Guards.h"
#include "peerlink/auth/Hmac.h"

#include <utility>

namespace cuminrail {

namespace {

constexpr std::size_t kChallenge = AcceptingHandshake::challengeBytes;

/** Values that both proofs cover. */
struct Transcript
{
    std::string acceptingChallenge;
    std::string connectingChallenge;
    PeerAddress connecting;
    PeerAddress accepting;

    std::string prove(const std::string &secret, const std::string &label) const
    {
        // Each text is terminated by a zero byte, so that distinct transcripts give distinct bytes.
        return detail::hmac(secret,
                            "cuminrail peer link 1 " + label + '\0' + acceptingChallenge
                                + connectingChallenge + connecting + '\0' + accepting + '\0');
    }

    std::unique_ptr<FrameSeal> seal(const std::string &secret, const std::string &label) const
    {
        return std::make_unique<FrameSeal>(prove(secret, label));
    }
};

} // namespace

AcceptingHandshake::AcceptingHandshake(SharedSecrets secrets, PeerAddress self)
    : secrets_(std::move(secrets)), self_(std::move(self)),
      challenge_(detail::randomBytes(challengeBytes))
{ }

std::optional<AcceptingHandshake::Result>
AcceptingHandshake::accept(const std::string &message) const
{
    constexpr std::size_t kFixed = kChallenge + detail::kHmacBytes;
    if (message.size() <= kFixed || message.size() > kFixed + maxAddressBytes)
        return std::nullopt;
    Transcript transcript;
    transcript.acceptingChallenge = challenge_;
    transcript.connectingChallenge = message.substr(0, kChallenge);
    transcript.connecting = message.substr(kFixed);
    transcript.accepting = self_;
    const std::string proof = message.substr(kChallenge, detail::kHmacBytes);
    for (const std::string &secret : secrets_.secrets) {
        const bool isProved =
            detail::equalInConstantTime(proof, transcript.prove(secret, "connecting"));
        if (!isProved && guardEnabled(Guard::PeerAuthenticated))
            continue;
        Result result;
        result.proof = transcript.prove(secret, "accepting");
        result.keys = LinkKeys{transcript.seal(secret, "key of accepting"),
                               transcript.seal(secret, "key of connecting"), transcript.connecting};
        return result;
    }
    return std::nullopt;
}

ConnectingHandshake::ConnectingHandshake(SharedSecrets secrets, PeerAddress self,
                                         PeerAddress target)
    : secrets_(std::move(secrets)), self_(std::move(self)), target_(std::move(target)),
      ownChallenge_(detail::randomBytes(kChallenge))
{ }

std::optional<std::string> ConnectingHandshake::respond(const std::string &challenge)
{
    if (challenge.size() != kChallenge || !peerChallenge_.empty())
        return std::nullopt;
    peerChallenge_ = challenge;
    const Transcript transcript{peerChallenge_, ownChallenge_, self_, target_};
    return ownChallenge_ + transcript.prove(secrets_.secrets.front(), "connecting") + self_;
}

std::optional<LinkKeys> ConnectingHandshake::finish(const std::string &proof) const
{
    const std::string &secret = secrets_.secrets.front();
    const Transcript transcript{peerChallenge_, ownChallenge_, self_, target_};
    const bool isProved = detail::equalInConstantTime(proof, transcript.prove(secret, "accepting"));
    if (!isProved && guardEnabled(Guard::PeerAuthenticated))
        return std::nullopt;
    return LinkKeys{transcript.seal(secret, "key of connecting"),
                    transcript.seal(secret, "key of accepting"), target_};
}

} // namespace cuminrail
