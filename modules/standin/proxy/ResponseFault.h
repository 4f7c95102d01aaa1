#pragma once

#include "core/names/NameTable.h"

#include <cstdint>

namespace cuminrail {

/** How a response is spoilt on its way from a server. */
enum class ResponseFault : std::uint8_t {
    /** A success comes twice: the second directly behind the first. */
    SecondAtOnce,
    /** While no request is in progress. */
    SecondWhileIdle,
    /** After the connection's next request was read, before that one's response. */
    SecondBeforeNext,
    /** While the body of the connection's next request is being sent. */
    SecondInNextBody,
    /** The same with refusals that state their request's identity. */
    RefusalAtOnce,
    RefusalWhileIdle,
    RefusalBeforeNext,
    RefusalInNextBody,
    /** A refusal that states no identity, once. */
    Anonymous,
    /** The same, twice. */
    AnonymousAtOnce,
    AnonymousWhileIdle,
    AnonymousBeforeNext,
    AnonymousInNextBody,
    /** A refusal comes again when its request is sent again over the connection. */
    RefusalOfResent,
    /** A response without a length, followed by the second one before the close. */
    SecondBeforeClose,
    /** A body lacks its last bytes; the second response fills it up. */
    CutByOne,
    CutByFew,
    CutByHalf,
    /** A stream stops within an event, at the end of a chunk, and the second one follows. */
    CutInEvent,
    /** A stream stops within a chunk, which the second one fills up. */
    CutInChunk,
    /** A refusal of another request, without its identity, between an interim response and the
        request's own. */
    AnonymousAfterInterim,
    /** The same when the connection opens, before any request. */
    AnonymousOnConnect,
    /** The same, and the connection's requests are not passed on. */
    AnonymousOnConnectUnserved,
    /** In place of a success, a status that promises "not run", without the server's statement. */
    UnstatedRefusal,
    /** Bytes until the other end closes; as fast as it takes them, or slowly. */
    EndlessHead,
    EndlessHeadSlowly,
    EndlessHeadLine,
    EndlessHeadLineSlowly,
    EndlessInterim,
    EndlessInterimSlowly,
    EndlessExtension,
    EndlessExtensionSlowly,
    EndlessTrailers,
    EndlessTrailersSlowly,
    EndlessBody,
    EndlessBodySlowly,
    EndlessComments,
    EndlessCommentsSlowly,
};

inline constexpr NameTable<ResponseFault, 38> responseFaultNames{{{
    {ResponseFault::SecondAtOnce, "second-at-once"},
    {ResponseFault::SecondWhileIdle, "second-while-idle"},
    {ResponseFault::SecondBeforeNext, "second-before-next"},
    {ResponseFault::SecondInNextBody, "second-in-next-body"},
    {ResponseFault::RefusalAtOnce, "refusal-at-once"},
    {ResponseFault::RefusalWhileIdle, "refusal-while-idle"},
    {ResponseFault::RefusalBeforeNext, "refusal-before-next"},
    {ResponseFault::RefusalInNextBody, "refusal-in-next-body"},
    {ResponseFault::Anonymous, "anonymous"},
    {ResponseFault::AnonymousAtOnce, "anonymous-at-once"},
    {ResponseFault::AnonymousWhileIdle, "anonymous-while-idle"},
    {ResponseFault::AnonymousBeforeNext, "anonymous-before-next"},
    {ResponseFault::AnonymousInNextBody, "anonymous-in-next-body"},
    {ResponseFault::RefusalOfResent, "refusal-of-resent"},
    {ResponseFault::SecondBeforeClose, "second-before-close"},
    {ResponseFault::CutByOne, "cut-by-one"},
    {ResponseFault::CutByFew, "cut-by-few"},
    {ResponseFault::CutByHalf, "cut-by-half"},
    {ResponseFault::CutInEvent, "cut-in-event"},
    {ResponseFault::CutInChunk, "cut-in-chunk"},
    {ResponseFault::AnonymousAfterInterim, "anonymous-after-interim"},
    {ResponseFault::AnonymousOnConnect, "anonymous-on-connect"},
    {ResponseFault::AnonymousOnConnectUnserved, "anonymous-on-connect-unserved"},
    {ResponseFault::UnstatedRefusal, "unstated-refusal"},
    {ResponseFault::EndlessHead, "endless-head"},
    {ResponseFault::EndlessHeadSlowly, "endless-head-slowly"},
    {ResponseFault::EndlessHeadLine, "endless-head-line"},
    {ResponseFault::EndlessHeadLineSlowly, "endless-head-line-slowly"},
    {ResponseFault::EndlessInterim, "endless-interim"},
    {ResponseFault::EndlessInterimSlowly, "endless-interim-slowly"},
    {ResponseFault::EndlessExtension, "endless-extension"},
    {ResponseFault::EndlessExtensionSlowly, "endless-extension-slowly"},
    {ResponseFault::EndlessTrailers, "endless-trailers"},
    {ResponseFault::EndlessTrailersSlowly, "endless-trailers-slowly"},
    {ResponseFault::EndlessBody, "endless-body"},
    {ResponseFault::EndlessBodySlowly, "endless-body-slowly"},
    {ResponseFault::EndlessComments, "endless-comments"},
    {ResponseFault::EndlessCommentsSlowly, "endless-comments-slowly"},
}}};

/** Whether a response with this fault is a refusal. */
inline bool isRefusalFault(ResponseFault fault)
{
    return fault >= ResponseFault::RefusalAtOnce && fault <= ResponseFault::RefusalOfResent;
}

/** Whether it comes before any request of its connection. */
inline bool isOnConnect(ResponseFault fault)
{
    return fault == ResponseFault::AnonymousOnConnect
        || fault == ResponseFault::AnonymousOnConnectUnserved;
}

/** Whether the bytes have no end. */
inline bool isEndless(ResponseFault fault)
{
    return fault >= ResponseFault::EndlessHead;
}

} // namespace cuminrail
