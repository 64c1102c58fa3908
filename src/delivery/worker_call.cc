#include "delivery/worker_call.h"

namespace rattan::delivery {

using tasks::StartAnswer;
using tasks::WorkerFault;

bool wasAnswered(const WorkerAnswer& answer)
{
    if (const auto* start = std::get_if<StartReply>(&answer.reply))
        return start->answer != StartAnswer::NoAnswer && start->answer != StartAnswer::NotSent;
    if (const auto* stop = std::get_if<StopReply>(&answer.reply))
        return stop->stopped || stop->deposed;
    const auto& poll = std::get<PollReply>(answer.reply);
    return poll.report || poll.fault == WorkerFault::Deposed || poll.fault == WorkerFault::OtherIncarnation;
}

WorkerAnswer notSentAnswer(const WorkerCall& call)
{
    if (std::holds_alternative<tasks::StartOrder>(call.order))
        return { .reply = StartReply { .answer = StartAnswer::NotSent, .clock = std::nullopt } };
    if (std::holds_alternative<tasks::StopOrder>(call.order))
        return { .reply = StopReply {} };
    return { .reply = PollReply { .report = std::nullopt, .fault = WorkerFault::NotSent } };
}

WorkerAnswer missingAnswer(const WorkerCall& call)
{
    if (std::holds_alternative<tasks::StartOrder>(call.order))
        return { .reply = StartReply {} };
    if (std::holds_alternative<tasks::StopOrder>(call.order))
        return { .reply = StopReply {} };
    return { .reply = PollReply {} };
}

} // namespace rattan::delivery
