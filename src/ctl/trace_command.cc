// trace: each process keeps the spans it finished itself, so every entry that is
// known is asked and the answers are put together.

#include "ctl/command.h"
#include "ctl/domain_status.h"
#include "ctl/json_field.h"
#include "ctl/span_tree.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace rattan::ctl {

namespace {

    constexpr std::size_t traceDigits = 32;
    constexpr std::size_t mostEntriesAsked = 128;

    bool isTraceId(const std::string& text)
    {
        return text.size() == traceDigits && std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    std::set<std::string> knownEntries(Context& context)
    {
        std::set<std::string> entries(context.client.addresses().begin(), context.client.addresses().end());
        const EntryReply reply = context.client.call("GET", "/v1/status");
        for (const InstanceStatus& one : parseDomainStatus(reply.json).instances) {
            if (!one.entry.empty() && entries.size() < mostEntriesAsked)
                entries.insert(one.entry);
        }
        return entries;
    }

} // namespace

ExitCode trace(Context& context)
{
    const std::string& id = context.words[0];
    if (!isTraceId(id))
        return misuse(context, "a trace id has 32 hex digits");
    std::vector<SpanView> spans;
    Json list = Json::array();
    EntryReply failed;
    bool anyAnswered = false;
    for (const std::string& address : knownEntries(context)) {
        const EntryReply reply = context.client.callAt(address, "GET", "/v1/traces/" + id);
        if (!reply.ok()) {
            failed = reply;
            continue;
        }
        anyAnswered = true;
        for (const Json& span : arrayField(reply.json, "spans")) {
            spans.push_back(parseSpan(span));
            list.push_back(span);
        }
    }
    if (!anyAnswered)
        return complain(context, failed);
    if (context.options.json) {
        printJson(context, { { "spans", std::move(list) } });
        return ExitCode::Ok;
    }
    if (spans.empty()) {
        context.console.remark("no entry keeps a span of this trace; the oldest are dropped first");
        return ExitCode::Refused;
    }
    for (const std::string& line : treeOf(std::move(spans)))
        context.console.line(line);
    return ExitCode::Ok;
}

} // namespace rattan::ctl
