#include "entry/config_watch.h"

#include "entry/events.h"

namespace rattan::entry {

const config::Workspace* ActiveConfig::workspace(const std::string& name) const
{
    for (const config::Workspace& one : this->text.workspaces) {
        if (one.name == name)
            return &one;
    }
    return nullptr;
}

const config::Operation* ActiveConfig::operation(const std::string& service, const std::string& name) const
{
    for (const config::Service& one : this->text.services) {
        if (one.name != service)
            continue;
        for (const config::Operation& operation : one.operations) {
            if (operation.name == name)
                return &operation;
        }
    }
    return nullptr;
}

ConfigWatch::ConfigWatch(PlannerClient& planner, TextParser parser)
    : planner(planner)
    , parser(std::move(parser))
{
}

ConfigWatch::~ConfigWatch() { this->stop(); }

void ConfigWatch::start()
{
    this->thread.start(period, [this] { this->poll(); });
}

void ConfigWatch::stop() { this->thread.stop(); }

void ConfigWatch::poll()
{
    const auto held = this->active();
    const auto published = attempt([&] { return this->planner.config(held ? held->version : 0); });
    if (static_cast<bool>(published) != this->reachable) {
        this->reachable = static_cast<bool>(published);
        if (published)
            logEvent(plannerReachable);
        else
            logEvent(plannerUnreachable, { { "peer", published.error.peer }, { "why", published.error.message } });
    }
    if (published && !published->text.empty() && published->version > (held ? held->version : 0))
        this->take(*published);
}

std::shared_ptr<const ActiveConfig> ConfigWatch::active() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

bool ConfigWatch::waitFor(std::uint64_t version, std::chrono::milliseconds limit) const
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, limit, [&] { return this->current && this->current->version >= version; });
}

void ConfigWatch::take(const PublishedText& published)
{
    auto parsed = attempt([&] { return this->parser(published.text); });
    if (!parsed) {
        logEvent(configRefused, { { "version", published.version }, { "why", parsed.error.message } });
        return;
    }
    auto next = std::make_shared<ActiveConfig>();
    next->version = published.version;
    next->source = published.text;
    next->author = published.author;
    next->text = std::move(*parsed);
    {
        const std::lock_guard lock(this->mutex);
        this->current = std::move(next);
    }
    this->changed.notify_all();
    logEvent(configInForce, { { "version", published.version }, { "author", published.author } });
}

} // namespace rattan::entry
