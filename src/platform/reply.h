#pragma once

// How the adapters read an HTTP reply: a whole 2xx answer with a JSON body, or
// an error that says whether the request may have taken effect.

#include "base/json.h"
#include "http/client.h"

#include <string>

namespace rattan::platform::detail {

Result<Json> jsonReply(const http::Reply&, const std::string& step, const std::string& peer);

} // namespace rattan::platform::detail
