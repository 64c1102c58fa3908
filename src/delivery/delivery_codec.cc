#include "delivery/delivery_codec.h"

namespace rattan::delivery {

using tasks::RunRef;
using tasks::StartAnswer;
using tasks::WorkerFault;

namespace {

    // A peer of another version may send values that this one does not know.
    template <typename Enum>
    std::optional<Enum> readEnum(std::uint16_t value, Enum last)
    {
        return value <= static_cast<std::uint16_t>(last) ? std::optional(static_cast<Enum>(value)) : std::nullopt;
    }

    void writeRun(const RunRef& run, wire::Run::Builder out)
    {
        out.setJob(run.task.job);
        out.setOccurrence(run.task.occurrence);
        out.setStep(static_cast<std::int32_t>(run.task.step));
        out.setIndex(static_cast<std::int32_t>(run.task.index));
        out.setRun(run.run);
    }

    RunRef readRun(wire::Run::Reader in)
    {
        return { { in.getJob().cStr(), in.getOccurrence(), in.getStep(), in.getIndex() }, in.getRun() };
    }

    void writeReport(const ReportDelta& delta, wire::Report::Builder out)
    {
        out.setBorn(delta.born);
        out.setWhole(delta.isSnapshot);
        out.setHasMoreEnds(delta.hasMoreEnds);
        auto moved = out.initMoved(static_cast<unsigned>(delta.changed.size()));
        for (unsigned i = 0; i < moved.size(); ++i) {
            const ChangedTask& row = delta.changed[i];
            moved[i].setPlace(static_cast<std::uint16_t>(row.position));
            moved[i].setPercent(static_cast<std::int16_t>(row.percent));
            moved[i].setKeepsCheckpoint(!row.checkpoint);
            if (row.checkpoint)
                moved[i].setCheckpoint(*row.checkpoint);
        }
        auto removed = out.initRemoved(static_cast<unsigned>(delta.removed.size()));
        for (unsigned i = 0; i < removed.size(); ++i)
            removed.set(i, static_cast<std::uint16_t>(delta.removed[i]));
        auto added = out.initAdded(static_cast<unsigned>(delta.added.size()));
        for (unsigned i = 0; i < added.size(); ++i) {
            writeRun(delta.added[i].run, added[i].initRun());
            added[i].setCheckpoint(delta.added[i].checkpoint);
            added[i].setPercent(static_cast<std::int16_t>(delta.added[i].percent));
        }
        auto ended = out.initEnded(static_cast<unsigned>(delta.ended.size()));
        for (unsigned i = 0; i < ended.size(); ++i) {
            const tasks::EndedTask& row = delta.ended[i];
            ended[i].setNumber(row.number);
            writeRun(row.run, ended[i].initRun());
            ended[i].setEnd(static_cast<std::uint16_t>(row.end));
            ended[i].setCheckpoint(row.checkpoint);
        }
    }

    ReportDelta readReport(wire::Report::Reader in, Millis clock)
    {
        ReportDelta delta { .clock = clock, .born = in.getBorn(), .isSnapshot = in.getWhole() };
        delta.hasMoreEnds = in.getHasMoreEnds();
        for (const auto row : in.getMoved()) {
            ChangedTask changed { .position = row.getPlace(), .percent = row.getPercent(), .checkpoint = std::nullopt };
            if (!row.getKeepsCheckpoint())
                changed.checkpoint = std::string(row.getCheckpoint().cStr());
            delta.changed.push_back(std::move(changed));
        }
        for (const std::uint16_t position : in.getRemoved())
            delta.removed.push_back(position);
        for (const auto row : in.getAdded())
            delta.added.push_back({ readRun(row.getRun()), row.getCheckpoint().cStr(), row.getPercent() });
        for (const auto row : in.getEnded())
            delta.ended.push_back({ row.getNumber(), readRun(row.getRun()), readEnum(row.getEnd(), tasks::RunEnd::GangIncomplete).value_or(tasks::RunEnd::Failed), row.getCheckpoint().cStr() });
        return delta;
    }

    void writeClock(std::optional<Millis> clock, wire::Answer::Builder out)
    {
        out.setHasClock(clock.has_value());
        out.setClock(clock.value_or(0));
    }

    std::optional<Millis> readClock(wire::Answer::Reader in)
    {
        return in.getHasClock() ? std::optional(in.getClock()) : std::nullopt;
    }

} // namespace

void PlannerCodec::encode(const NumberedCall& numbered, wire::Order::Builder out)
{
    const WorkerCall& call = numbered.call;
    out.setId(numbered.id);
    const auto [found, isNew] = this->workers.try_emplace(call.worker().id);
    WorkerEntry& entry = found->second;
    if (isNew) {
        entry.number = static_cast<std::uint32_t>(this->workerIds.size());
        this->workerIds.emplace(entry.number, call.worker().id);
    }
    if (isNew || entry.incarnation != call.worker() || entry.address != call.address()) {
        entry.incarnation = call.worker();
        entry.address = call.address();
        auto introduced = out.initIntroduces();
        introduced.setId(entry.incarnation.id);
        introduced.setBorn(entry.incarnation.born);
        introduced.setAddress(entry.address);
    }
    out.setWorker(entry.number);
    out.setHasLeaseEnd(call.leaseEnd.has_value());
    out.setLeaseEnd(call.leaseEnd.value_or(0));
    if (const auto* start = std::get_if<tasks::StartOrder>(&call.order)) {
        out.setKind(wire::Order::Kind::START);
        auto details = out.initDetails();
        writeRun(start->run, details.initRun());
        details.setCheckpoint(start->checkpoint);
        details.setTicket(start->ticket);
        details.setDomain(start->domain);
    } else if (const auto* stop = std::get_if<tasks::StopOrder>(&call.order)) {
        out.setKind(wire::Order::Kind::STOP);
        writeRun(stop->run, out.initDetails().initRun());
    } else {
        const auto& poll = std::get<tasks::PollOrder>(call.order);
        out.setKind(wire::Order::Kind::POLL);
        out.setWait(static_cast<std::uint16_t>(poll.wait));
        out.setAcknowledged(static_cast<std::uint32_t>(poll.acknowledged));
    }
}

std::optional<NumberedAnswer> PlannerCodec::decode(wire::Answer::Reader in)
{
    const auto id = this->workerIds.find(in.getWorker());
    if (id == this->workerIds.end())
        return std::nullopt;
    NumberedAnswer numbered { .id = in.getId(), .worker = id->second, .answer = {} };
    numbered.answer.status = in.getStatus();
    switch (in.getKind()) {
    case wire::Order::Kind::START:
        numbered.answer.reply = StartReply { readEnum(in.getOutcome(), StartAnswer::Deposed).value_or(StartAnswer::NoAnswer), readClock(in) };
        return numbered;
    case wire::Order::Kind::STOP:
        numbered.answer.reply = StopReply { in.getTaken(), in.getDeposed(), readClock(in) };
        return numbered;
    case wire::Order::Kind::POLL:
        break;
    }
    PollReply poll { .report = std::nullopt, .fault = readEnum(in.getOutcome(), WorkerFault::Deposed).value_or(WorkerFault::NoAnswer) };
    if (in.hasReport())
        poll.report = this->reports.decode(numbered.worker, readReport(in.getReport(), in.getClock()));
    numbered.answer.reply = std::move(poll);
    return numbered;
}

std::optional<NumberedCall> RelayCodec::decode(wire::Order::Reader in, std::int64_t term)
{
    WorkerEntry& entry = this->workers[in.getWorker()];
    if (in.hasIntroduces()) {
        const auto introduced = in.getIntroduces();
        entry.incarnation = { introduced.getId().cStr(), introduced.getBorn() };
        entry.address = introduced.getAddress().cStr();
        this->workerNumbers[entry.incarnation.id] = in.getWorker();
    }
    if (entry.address.empty())
        return std::nullopt;
    NumberedCall numbered { .id = in.getId(), .call = { .order = {}, .term = term, .leaseEnd = std::nullopt } };
    if (in.getHasLeaseEnd())
        numbered.call.leaseEnd = in.getLeaseEnd();
    const auto details = in.getDetails();
    switch (in.getKind()) {
    case wire::Order::Kind::START:
        numbered.call.order = tasks::StartOrder { .worker = entry.incarnation, .address = entry.address, .domain = details.getDomain().cStr(), .run = readRun(details.getRun()), .text = nullptr, .checkpoint = details.getCheckpoint().cStr(), .ticket = details.getTicket().cStr() };
        return numbered;
    case wire::Order::Kind::STOP:
        numbered.call.order = tasks::StopOrder { entry.incarnation, entry.address, readRun(details.getRun()) };
        return numbered;
    case wire::Order::Kind::POLL:
        numbered.call.order = tasks::PollOrder { .worker = entry.incarnation, .address = entry.address, .acknowledged = in.getAcknowledged(), .wait = in.getWait() };
        return numbered;
    }
    return std::nullopt;
}

void RelayCodec::encode(const NumberedAnswer& numbered, wire::Answer::Builder out)
{
    out.setId(numbered.id);
    out.setWorker(this->workerNumbers[numbered.worker]);
    out.setStatus(static_cast<std::uint16_t>(numbered.answer.status));
    if (const auto* start = std::get_if<StartReply>(&numbered.answer.reply)) {
        out.setKind(wire::Order::Kind::START);
        out.setOutcome(static_cast<std::uint16_t>(start->answer));
        return writeClock(start->clock, out);
    }
    if (const auto* stop = std::get_if<StopReply>(&numbered.answer.reply)) {
        out.setKind(wire::Order::Kind::STOP);
        out.setTaken(stop->stopped);
        out.setDeposed(stop->deposed);
        return writeClock(stop->clock, out);
    }
    const auto& poll = std::get<PollReply>(numbered.answer.reply);
    out.setKind(wire::Order::Kind::POLL);
    out.setOutcome(static_cast<std::uint16_t>(poll.fault));
    if (!poll.report)
        return;
    out.setClock(poll.report->clock);
    writeReport(this->reports.encode(numbered.worker, *poll.report), out.initReport());
}

} // namespace rattan::delivery
