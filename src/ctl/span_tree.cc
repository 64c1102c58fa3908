#include "ctl/span_tree.h"

#include "ctl/json_field.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace rattan::ctl {

namespace {

    // Spans come from several processes, any of which may be wrong: the walk
    // keeps its own stack and visits no span twice.
    class TreePrinter {
    public:
        explicit TreePrinter(const std::vector<SpanView>& spans)
        {
            std::set<std::string> known;
            for (const SpanView& span : spans)
                known.insert(span.span);
            for (const SpanView& span : spans) {
                this->children[span.parent].push_back(&span);
                if (!known.contains(span.parent))
                    this->roots.push_back(&span);
            }
            this->origin = spans.empty() ? 0 : spans.front().startMs;
            for (const SpanView* root : this->roots)
                this->print(*root);
            for (const SpanView& span : spans) {
                if (!this->printed.contains(span.span))
                    this->print(span);
            }
        }

        std::vector<std::string> lines;

    private:
        struct Step {
            const SpanView* span;
            std::size_t depth;
        };

        void print(const SpanView& root)
        {
            std::vector<Step> open { { &root, 0 } };
            while (!open.empty()) {
                const Step step = open.back();
                open.pop_back();
                if (!this->printed.insert(step.span->span).second)
                    continue;
                this->lines.push_back(this->lineOf(step));
                const auto& below = this->children[step.span->span];
                for (auto child = below.rbegin(); child != below.rend(); ++child)
                    open.push_back({ *child, step.depth + 1 });
            }
        }

        std::string lineOf(const Step& step) const
        {
            const std::string label = std::string(step.depth * 2, ' ') + step.span->name;
            return fmt::format("{:<40} {:>6} ms  +{} ms  {}  {}", label, step.span->durationMs, step.span->startMs - this->origin, step.span->program,
                fmt::join(step.span->notes, " "));
        }

        std::map<std::string, std::vector<const SpanView*>> children;
        std::vector<const SpanView*> roots;
        std::set<std::string> printed;
        std::int64_t origin { 0 };
    };

} // namespace

SpanView parseSpan(const Json& json)
{
    SpanView view { textField(json, "span"), textField(json, "parent"), textField(json, "name"), textField(json, "program"),
        numberField(json, "start_ms"), numberField(json, "duration_ms"), {} };
    if (json.is_object() && json.contains("notes") && json["notes"].is_object()) {
        for (const auto& [key, value] : json["notes"].items())
            view.notes.push_back(fmt::format("{}={}", key, value.is_string() ? value.get<std::string>() : value.dump()));
    }
    return view;
}

std::vector<std::string> treeOf(std::vector<SpanView> spans)
{
    std::stable_sort(spans.begin(), spans.end(), [](const SpanView& a, const SpanView& b) { return a.startMs < b.startMs; });
    std::set<std::string> seen;
    std::erase_if(spans, [&](const SpanView& span) { return !seen.insert(span.span).second; });
    return TreePrinter(spans).lines;
}

} // namespace rattan::ctl
