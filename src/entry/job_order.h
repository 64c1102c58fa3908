#pragma once

// The body of POST /v1/jobs, checked against the text in force.
//
// The body is a job's spec (records/job_record.h) with the caller's key beside it.

#include "config/configuration.h"
#include "records/job_record.h"

#include <string>

namespace rattan::entry {

struct JobOrder {
    std::string key; // Empty: none given.
    records::JobSpec spec;
};

// BadInput names the faults; Infeasible when the gang is larger than any can be.
Result<JobOrder> parseJobOrder(const std::string& body, const std::string& peer);

// Infeasible when the job could not run on the workers that the text declares
// for the domain even if nothing else ran: the caller is told so at once
// instead of waiting forever.
Result<void> checkFeasible(const records::JobSpec&, const config::Configuration&, const std::string& domain,
    const config::Workspace*);

} // namespace rattan::entry
