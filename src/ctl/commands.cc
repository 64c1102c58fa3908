#include "ctl/command.h"

namespace rattan::ctl {

const std::vector<Command>& allCommands()
{
    static const std::vector<Command> commands {
        { "validate", { "FILE" }, "Checks a text and prints every fault.", nullptr, validate },
        { "diff", { "FILE" }, "Shows what a text changes against the one in force.", nullptr, diff },
        { "plan", { "FILE" }, "Shows what publishing a text would do to guarantees and running work.", nullptr, plan },
        { "publish", { "FILE" }, "Publishes a text.", declarePublishSettings, publish },
        { "status", {}, "Shows every failure domain, workspace and instance.", nullptr, status },
        { "submit job", {}, "Submits a job.", declareJobSettings, submitJob },
        { "submit request", { "SERVICE", "OPERATION" }, "Sends a request to a service and prints its outcome.", declareRequestSettings, submitRequest },
        { "outcome", { "KEY" }, "Asks again how a request ended.", nullptr, outcome },
        { "ticket", {}, "Gets tickets for requests that must not run twice.", declareTicketSettings, ticket },
        { "jobs", {}, "Lists the workspace's jobs.", declareListSettings, jobs },
        { "explain", { "KEY" }, "Tells what a job is doing or waiting for, or what became of it.", declareExplainSettings, explain },
        { "watch", { "KEY" }, "Follows a job until it ends.", declareWatchSettings, watch },
        { "cancel", { "KEY" }, "Cancels a job.", nullptr, cancel },
        { "drain", { "ADDRESS" }, "Has one entry instance finish its work and leave.", nullptr, drain },
        { "trace", { "ID" }, "Prints the spans of one request as a tree.", nullptr, trace },
        { "completion", { "SHELL" }, "Prints a completion script; SHELL is bash.", nullptr, completion },
    };
    return commands;
}

} // namespace rattan::ctl
