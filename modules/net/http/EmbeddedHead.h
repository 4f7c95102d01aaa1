#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cuminrail {

/**
    Finds the head of a response inside the body of another one.

    An upstream that sends one response short and then a second one on the same connection fills the
    missing bytes with the second. The framing stays valid; only a status line inside the body,
    followed by the identity of a request of the connection, shows where the first one ended.
*/
class EmbeddedHead
{
public:
    /** Longest head that is recognised, in bytes. */
    static constexpr std::size_t maxHeadBytes = 16 * 1024;

    /**
        @param identityHeader  the header that states the identity of a response's request
        @param isKnown         whether a request of the connection has this identity
    */
    EmbeddedHead(std::string identityHeader, std::function<bool(std::string_view)> isKnown);

    /** Examines the next bytes of a body. Returns true once a head was found in it. */
    bool feed(std::string_view bytes);

    /** Returns how many of the body's last bytes may be the beginning of a head. */
    std::size_t pendingBytes() const { return pending_.size(); }

    /** Returns whether the body holds a whole head that states no identity. */
    bool hasBareHead() const { return hasBareHead_; }

    /** Returns whether the body ends inside a head, its status line being whole. */
    bool endsInHead() const;

    /** What bytes behind the end of a body show of a head that may have begun in it. */
    enum class Behind : std::uint8_t { NoHead, Unknown, Head };

    /**
        Examines all bytes behind the body's end. A response that begins in the body and goes on
        behind it is another one, with or without an identity.
    */
    Behind examineBehind(std::string_view bytes) const;

    /** Returns the identity that the head states; empty while none was found. */
    const std::string &identity() const { return identity_; }

private:
    enum class Match : std::uint8_t { None, Incomplete, Found };

    /** Examines whether pending_ begins with a head of a known request. */
    Match match();
    Match matchFields(std::string_view lines);
    bool isKnownIdentity(std::string_view text);
    /** Drops the bytes of pending_ before the next place at which a head may begin. */
    void dropUntilNextStart(std::size_t from);

    std::string identityHeader_;
    std::function<bool(std::string_view)> isKnown_;
    /** From the first byte at which a head may begin to the end of what was examined. */
    std::string pending_;
    std::string identity_;
    bool hasBareHead_ = false;
};

} // namespace cuminrail
