// yaml-cpp recurses once for each level of the document, and calls its handler for
// a list or map before it recurses. The handler rejects a level by throwing, which
// limits the recursion to maxDepth for any input.

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
            this->rejectAnchor(mark, anchor);
            this->attach(this->addNode(mark, YamlNode::Kind::Empty), mark);
        }

        void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
        {
            throw YAML::ParserException(mark, "aliases are not taken; write the value out");
        }

        void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& value) override
        {
            this->rejectAnchor(mark, anchor);
            this->rejectTag(mark, tag);
            if (this->expectsKey()) {
                this->openLevels.back().key = value;
                this->openLevels.back().keyMark = mark;
                return;
            }
            const NodeId id = this->addNode(mark, YamlNode::Kind::Scalar);
            this->tree.nodes[id].scalar = value;
            this->attach(id, mark);
        }

        void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            this->openNode(mark, tag, anchor, YamlNode::Kind::List);
        }

        void OnSequenceEnd() override { this->openLevels.pop_back(); }

        void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            this->openNode(mark, tag, anchor, YamlNode::Kind::Map);
        }

        void OnMapEnd() override { this->openLevels.pop_back(); }

    private:
        struct OpenLevel {
            NodeId id { 0 };
            std::optional<std::string> key;
            YAML::Mark keyMark;
        };

        bool expectsKey() const
        {
            return !this->openLevels.empty() && this->tree.nodes[this->openLevels.back().id].kind == YamlNode::Kind::Map && !this->openLevels.back().key;
        }

        NodeId addNode(const YAML::Mark& mark, YamlNode::Kind kind)
        {
            if (this->tree.nodes.size() >= maxNodes)
                throw YAML::ParserException(mark, fmt::format("the text has more than {} values", maxNodes));
            YamlNode node;
            node.kind = kind;
            node.at = positionOf(mark);
            this->tree.nodes.push_back(std::move(node));
            return this->tree.nodes.size() - 1;
        }

        // Adds a complete or newly opened node to the innermost open list or map.
        void attach(NodeId id, const YAML::Mark& mark)
        {
            if (this->openLevels.empty()) {
                this->tree.root = id;
                return;
            }
            if (this->expectsKey())
                throw YAML::ParserException(mark, "a key must be a plain word");
            OpenLevel& level = this->openLevels.back();
            YamlNode& parent = this->tree.nodes[level.id];
            if (parent.kind == YamlNode::Kind::List) {
                parent.items.push_back(id);
                return;
            }
            // yaml-cpp reports an empty value at the position of the token that follows it.
            if (this->tree.nodes[id].kind == YamlNode::Kind::Empty)
                this->tree.nodes[id].at = positionOf(level.keyMark);
            parent.entries.push_back({ std::move(*level.key), positionOf(level.keyMark), id });
            level.key.reset();
        }

        void openNode(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YamlNode::Kind kind)
        {
            this->rejectAnchor(mark, anchor);
            this->rejectTag(mark, tag);
            if (this->openLevels.size() >= maxDepth)
                throw YAML::ParserException(mark, fmt::format("the text nests deeper than {} levels", maxDepth));
            const NodeId id = this->addNode(mark, kind);
            this->attach(id, mark);
            this->openLevels.push_back({ id, std::nullopt, {} });
        }

        static void rejectAnchor(const YAML::Mark& mark, YAML::anchor_t anchor)
        {
            if (anchor != YAML::NullAnchor)
                throw YAML::ParserException(mark, "anchors are not taken; write the value out");
        }

        // yaml-cpp reports "?" for a plain scalar and "!" for a quoted one.
        static void rejectTag(const YAML::Mark& mark, const std::string& tag)
        {
            if (!tag.empty() && tag != "?" && tag != "!")
                throw YAML::ParserException(mark, "tags are not taken");
        }

        std::vector<OpenLevel> openLevels;
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

    // yaml-cpp treats a NUL or EOT byte as the end of the input, and would accept the
    // part before it and silently drop the rest. Bytes that are not UTF-8 could not be
    // stored in the log, whose records are JSON.
    bool hasOnlyTextBytes(const std::string& text, Faults& faults)
    {
        std::istringstream lines(text);
        std::string line;
        for (int lineNumber = 1; std::getline(lines, line); ++lineNumber) {
            for (std::size_t i = 0; i < line.size(); ++i) {
                const auto byte = static_cast<unsigned char>(line[i]);
                const bool isControl = (byte < 0x20 && byte != '\t' && byte != '\r') || byte == 0x7f;
                if (isControl) {
                    faults.push_back({ { lineNumber, static_cast<int>(i) + 1 }, "", fmt::format("control character {:#04x}", byte), "UTF-8 text" });
                    return false;
                }
            }
            if (!isUtf8(line)) {
                faults.push_back({ { lineNumber, 1 }, "", "this line is not UTF-8", "UTF-8 text" });
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
        TreeBuilder nextBuilder;
        if (parser.HandleNextDocument(nextBuilder)) {
            faults.push_back({ nextBuilder.tree.node(nextBuilder.tree.root).at, "", "a second document begins here", "one document" });
            return std::nullopt;
        }
    } catch (const YAML::Exception& error) {
        faults.push_back({ positionOf(error.mark), "", error.msg, "" });
        return std::nullopt;
    }
    return std::move(builder.tree);
}

} // namespace rattan::config
