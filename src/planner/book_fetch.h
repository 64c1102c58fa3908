#pragma once

// Brings the book of jobs from another planner of the domain, for an instance
// that starts while the log cannot be read.

#include "base/error.h"
#include "records/job_record.h"

#include <string>
#include <vector>

namespace rattan::planner {

// All records of the peer's book, page by page; at most `most` of them. Blocks
// for up to a second a page.
Result<std::vector<records::JobRecord>> fetchBook(const std::string& address, std::size_t most);

} // namespace rattan::planner
