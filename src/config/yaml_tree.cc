// yaml-cpp descends one level of the stack for each level of the document, and
// tells its handler of a list or map before it descends. The handler refuses by
// throwing, so the stack stays as deep as maximumDepth, whatever the text.

#include "config/yaml_tree.h"

#include "base/json.h"

#include <fmt/format.h>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace rattan::config {

namespace {

    Position positionOf(const YAML::Mark& mark) { return { mark.line + 1, mark.column + 1 }; }

    class TreeBuilder final : public YAML::EventHandler {
    public:
        YamlTree tree;

        void OnDocumentStart(const YAML::Mark&) override { }
        void OnDocumentEnd() override { }

        void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
        {
            this->refuseAnchor(mark, anchor);
            this->place(this->add(mark, YamlNode::Kind::Empty), mark);
        }

        void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
        {
            throw YAML::ParserException(mark, "aliases are not taken; write the value out");
        }

        void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& value) override
        {
            this->refuseAnchor(mark, anchor);
            this->refuseTag(mark, tag);
            if (this->awaitsKey()) {
                this->open.back().key = value;
                this->open.back().keyMark = mark;
                return;
            }
            const NodeId id = this->add(mark, YamlNode::Kind::Scalar);
            this->tree.nodes[id].scalar = value;
            this->place(id, mark);
        }

        void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            this->descend(mark, tag, anchor, YamlNode::Kind::List);
        }

        void OnSequenceEnd() override { this->open.pop_back(); }

        void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            this->descend(mark, tag, anchor, YamlNode::Kind::Map);
        }

        void OnMapEnd() override { this->open.pop_back(); }

    private:
        struct Level {
            NodeId id { 0 };
            std::optional<std::string> key;
            YAML::Mark keyMark;
        };

        bool awaitsKey() const
        {
            return !this->open.empty() && this->tree.nodes[this->open.back().id].kind == YamlNode::Kind::Map && !this->open.back().key;
        }

        NodeId add(const YAML::Mark& mark, YamlNode::Kind kind)
        {
            if (this->tree.nodes.size() >= maximumNodes)
                throw YAML::ParserException(mark, fmt::format("the text has more than {} values", maximumNodes));
            YamlNode node;
            node.kind = kind;
            node.at = positionOf(mark);
            this->tree.nodes.push_back(std::move(node));
            return this->tree.nodes.size() - 1;
        }

        // Hangs a finished or opened node under the innermost open one.
        void place(NodeId id, const YAML::Mark& mark)
        {
            if (this->open.empty()) {
                this->tree.root = id;
                return;
            }
            if (this->awaitsKey())
                throw YAML::ParserException(mark, "a key must be a plain word");
            Level& level = this->open.back();
            YamlNode& parent = this->tree.nodes[level.id];
            if (parent.kind == YamlNode::Kind::List) {
                parent.items.push_back(id);
                return;
            }
            // yaml-cpp gives an empty value the place of whatever follows it.
            if (this->tree.nodes[id].kind == YamlNode::Kind::Empty)
                this->tree.nodes[id].at = positionOf(level.keyMark);
            parent.entries.push_back({ std::move(*level.key), positionOf(level.keyMark), id });
            level.key.reset();
        }

        void descend(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YamlNode::Kind kind)
        {
            this->refuseAnchor(mark, anchor);
            this->refuseTag(mark, tag);
            if (this->open.size() >= maximumDepth)
                throw YAML::ParserException(mark, fmt::format("the text nests deeper than {} levels", maximumDepth));
            const NodeId id = this->add(mark, kind);
            this->place(id, mark);
            this->open.push_back({ id, std::nullopt, {} });
        }

        static void refuseAnchor(const YAML::Mark& mark, YAML::anchor_t anchor)
        {
            if (anchor != YAML::NullAnchor)
                throw YAML::ParserException(mark, "anchors are not taken; write the value out");
        }

        // "?" marks a plain value and "!" a quoted one.
        static void refuseTag(const YAML::Mark& mark, const std::string& tag)
        {
            if (!tag.empty() && tag != "?" && tag != "!")
                throw YAML::ParserException(mark, "tags are not taken");
        }

        std::vector<Level> open;
    };

    bool isUtf8(const std::string& line)
    {
        try {
            static_cast<void>(Json(line).dump());
            return true;
        } catch (const Json::exception&) {
            return false;
        }
    }

    // yaml-cpp takes a NUL or an EOT byte for the end of the text, and would
    // accept the part before it as if the rest had never been written. Bytes
    // that are no UTF-8 could not be carried in the log's JSON.
    bool hasOnlyTextBytes(const std::string& text, Faults& faults)
    {
        std::istringstream lines(text);
        std::string line;
        for (int number = 1; std::getline(lines, line); ++number) {
            for (std::size_t i = 0; i < line.size(); ++i) {
                const auto byte = static_cast<unsigned char>(line[i]);
                const bool control = (byte < 0x20 && byte != '\t' && byte != '\r') || byte == 0x7f;
                if (control) {
                    faults.push_back({ { number, static_cast<int>(i) + 1 }, "", fmt::format("control character {:#04x}", byte), "UTF-8 text" });
                    return false;
                }
            }
            if (!isUtf8(line)) {
                faults.push_back({ { number, 1 }, "", "this line is not UTF-8", "UTF-8 text" });
                return false;
            }
        }
        return true;
    }

} // namespace

std::optional<YamlTree> readYaml(const std::string& text, Faults& faults)
{
    if (!hasOnlyTextBytes(text, faults))
        return std::nullopt;
    TreeBuilder builder;
    try {
        std::istringstream input(text);
        YAML::Parser parser(input);
        if (!parser.HandleNextDocument(builder)) {
            faults.push_back({ { 1, 1 }, "", "the text is empty", "a map with the keys of docs/CONFIG.md" });
            return std::nullopt;
        }
        TreeBuilder second;
        if (parser.HandleNextDocument(second)) {
            faults.push_back({ second.tree.node(second.tree.root).at, "", "a second document begins here", "one document" });
            return std::nullopt;
        }
    } catch (const YAML::Exception& problem) {
        faults.push_back({ positionOf(problem.mark), "", problem.msg, "" });
        return std::nullopt;
    }
    return std::move(builder.tree);
}

} // namespace rattan::config
