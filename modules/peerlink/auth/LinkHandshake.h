#pragma once

#include "peerlink/auth/FrameSeal.h"
#include "peerlink/auth/SharedSecrets.h"
#include "ports/peers/PeerTransport.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace cuminrail {

/** Result of a handshake at either end. */
struct LinkKeys
{
    std::unique_ptr<FrameSeal> outgoing;
    std::unique_ptr<FrameSeal> incoming;
    /** The other end's listening address, authenticated by its proof. */
    PeerAddress peer;
};

/**
    Handshake at the accepting end: mutual challenge-response authentication.

    1. This end sends a random challenge and nothing else, whoever connected.
    2. The connecting end responds with its own challenge, its address and a proof over both
       challenges, its address and the address it intended to reach.
    3. This end replies to a valid proof with its own proof, and to an invalid one with nothing.

    The two ends' proofs use different labels, so neither can be reflected. Frame keys are derived
    from the secret and both challenges, so an attacker who relays the handshake cannot send frames.
*/
class AcceptingHandshake
{
public:
    static constexpr std::size_t challengeBytes = 32;
    static constexpr std::size_t maxAddressBytes = 64;

    AcceptingHandshake(SharedSecrets secrets, PeerAddress self);

    const std::string &challenge() const { return challenge_; }

    struct Result
    {
        /** To be sent to the connecting end. */
        std::string proof;
        LinkKeys keys;
    };

    /** Verifies the connecting end's message; returns nothing if its proof is invalid. */
    std::optional<Result> accept(const std::string &message) const;

private:
    SharedSecrets secrets_;
    PeerAddress self_;
    std::string challenge_;
};

/** Handshake at the connecting end. @see AcceptingHandshake */
class ConnectingHandshake
{
public:
    ConnectingHandshake(SharedSecrets secrets, PeerAddress self, PeerAddress target);

    /** Returns the response to a challenge, or nothing if the challenge is malformed. */
    std::optional<std::string> respond(const std::string &challenge);
    /** Verifies the accepting end's proof; returns nothing if it is invalid. */
    std::optional<LinkKeys> finish(const std::string &proof) const;

private:
    SharedSecrets secrets_;
    PeerAddress self_;
    PeerAddress target_;
    std::string ownChallenge_;
    std::string peerChallenge_;
};

} // namespace cuminrail
