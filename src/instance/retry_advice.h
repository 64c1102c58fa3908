#pragma once

// Decides how long a refused caller should wait before its next attempt (Retry-After).
//
//     RetryAdvice advice;
//     advice.setStoreAway(true, now);                 // the store serves no instance
//     answer.retryAfter = advice.delay({ RefusalCause::StoreUnreachable, timeLeft, jobId }, now);
//
// By cause:
//   LocalState        Another instance can serve the caller, and its next attempt is likely to reach
//                     one: the shortest delay.
//   StoreUnreachable  As long as only this instance is affected, the same. If the store serves no
//                     instance, the delay grows with the age of the outage, so that the few attempts
//                     of a caller outlast it.
//   Busy              Too many requests wait here: the shortest delay.
//
// Callers that wait for the end of an outage are spread over half of the delay. A caller that has
// told how much time it has left gets a delay that leaves room for one more attempt. Delays are in
// milliseconds and whole seconds, the unit of the answer's header. Not thread-safe.

#include "base/clock.h"

#include <string_view>

namespace rattan::instance {

enum class RefusalCause {
    LocalState,
    StoreUnreachable,
    Busy,
};

struct RefusedRequest {
    RefusalCause cause { RefusalCause::LocalState };
    Millis timeLeft { 0 }; // Until the caller's own deadline; 0 if unknown.
    std::string_view job; // Spreads callers; attempts for one job are spread alike.
};

class RetryAdvice {
public:
    // Sets whether the store serves no instance at all.
    void setStoreAway(bool, Millis now);

    Millis delay(const RefusedRequest&, Millis now) const;

private:
    Millis awaySince { -1 }; // Negative while the store serves some instance.
};

} // namespace rattan::instance
