#pragma once

#include "peerlink/auth/FrameSeal.h"
#include "peerlink/auth/SharedSecrets.h"
#include "ports/peers/PeerTransport.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace cuminrail {

/** What both ends have after a handshake. */
struct LinkKeys
{
    std::unique_ptr<FrameSeal> outgoing;
    std::unique_ptr<FrameSeal> incoming;
    /** Where the other end listens, as it proved. */
    PeerAddress peer;
};

/**
    The end that accepted a connection: challenge, check, answer.

    1. It sends a random challenge, the same for strangers and peers, and nothing else.
    2. The other end answers with a challenge of its own, its address and a proof over both
       challenges, its address and the address it meant to reach.
    3. A right proof is answered by a proof; a wrong one by nothing at all.

    The proofs of the two ends differ in their label, so neither can be reflected. Keys for frames
    come from the secret and both challenges, so one who relays the handshake can send nothing.
*/
class AcceptingHandshake
{
public:
    static constexpr std::size_t challengeBytes = 32;
    static constexpr std::size_t maxAddress = 64;

    AcceptingHandshake(SharedSecrets secrets, PeerAddress self);

    const std::string &challenge() const { return challenge_; }

    struct Result
    {
        /** To be sent back. */
        std::string answer;
        LinkKeys keys;
    };

    /** Checks the other end's message; nothing for a stranger. */
    std::optional<Result> accept(const std::string &message) const;

private:
    SharedSecrets secrets_;
    PeerAddress self_;
    std::string challenge_;
};

/** The end that made a connection. @see AcceptingHandshake */
class ConnectingHandshake
{
public:
    ConnectingHandshake(SharedSecrets secrets, PeerAddress self, PeerAddress target);

    /** Returns the message that answers a challenge, or nothing for what is none. */
    std::optional<std::string> answer(const std::string &challenge);
    /** Checks the accepting end's proof; nothing for a stranger. */
    std::optional<LinkKeys> finish(const std::string &proof) const;

private:
    SharedSecrets secrets_;
    PeerAddress self_;
    PeerAddress target_;
    std::string ownChallenge_;
    std::string theirChallenge_;
};

} // namespace cuminrail
