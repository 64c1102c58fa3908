#pragma once

// How outcomes stand in answers to callers.

#include "entry/outcome.h"
#include "http/answer.h"

#include <string>

namespace rattan::entry {

// Done: 200 with {"outcome","status","answer","key"}; an answer that is not
// UTF-8 comes as "answer_base64". Otherwise the status and Retry-After that fit
// the error, with {"outcome","error","key"}.
http::Answer outcomeAnswer(const Outcome&, const std::string& key);

} // namespace rattan::entry
