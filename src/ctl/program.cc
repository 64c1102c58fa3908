#include "ctl/program.h"

#include "base/trace.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::ctl {

namespace {

    // base/settings.h knows flags with a value only; words and switches are
    // taken out before.
    struct SplitLine {
        std::vector<std::string> words;
        std::vector<std::string> flags;
        bool json { false };
        bool help { false };
    };

    bool isFlag(const std::string& text) { return text.size() > 2 && text.rfind("--", 0) == 0; }

    SplitLine split(const std::vector<std::string>& arguments)
    {
        SplitLine line;
        bool flagsEnded = false;
        for (std::size_t i = 0; i < arguments.size(); ++i) {
            const std::string& argument = arguments[i];
            if (flagsEnded || (!isFlag(argument) && argument != "--" && argument != "-h"))
                line.words.push_back(argument);
            else if (argument == "--")
                flagsEnded = true;
            else if (argument == "--json")
                line.json = true;
            else if (argument == "--help" || argument == "-h")
                line.help = true;
            else if (const std::size_t equals = argument.find('='); equals != std::string::npos) {
                line.flags.push_back(argument.substr(0, equals));
                line.flags.push_back(argument.substr(equals + 1));
            } else {
                line.flags.push_back(argument);
                if (i + 1 < arguments.size())
                    line.flags.push_back(arguments[++i]);
            }
        }
        return line;
    }

    std::string usageOf(const Command& command)
    {
        std::string text = "rattanctl " + command.name;
        for (const std::string& word : command.words)
            text += " " + word;
        return text;
    }

    // The command whose one or two words begin the line.
    const Command* findCommand(std::vector<std::string>& words)
    {
        for (const Command& command : allCommands()) {
            const std::size_t space = command.name.find(' ');
            const std::string first = command.name.substr(0, space);
            const std::size_t length = space == std::string::npos ? 1 : 2;
            if (words.size() < length || words[0] != first || (length == 2 && words[1] != command.name.substr(space + 1)))
                continue;
            words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(length));
            return &command;
        }
        return nullptr;
    }

    void printOverview(Console& console)
    {
        console.line("rattanctl COMMAND [WORDS] [FLAGS]: for operators and callers of rattanrock\n");
        for (const Command& command : allCommands())
            console.line(fmt::format("  {:<24} {}", usageOf(command).substr(std::string("rattanctl ").size()), command.summary));
        console.line("\n--json prints answers as they are; rattanctl COMMAND --help lists a command's flags.\n"
                     "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 unavailable and nothing done, 4 unknown.");
    }

    void printHelp(Console& console, const Command& command, const Settings& settings)
    {
        console.line(fmt::format("{}: {}\n", usageOf(command), command.summary));
        for (const SettingInfo& info : settings.list()) {
            console.line(fmt::format("  --{} {}\n      {}\n      accepted: {}; default: {}; environment: {}", info.name, info.placeholder, info.meaning,
                info.accepted, info.fallback.empty() ? "none" : info.fallback, settings.environmentName(info.name)));
        }
        console.line("  --json\n      Prints the answer as it is.");
    }

    std::optional<ExitCode> readFlags(Settings& settings, const std::vector<std::string>& flags)
    {
        std::vector<const char*> argv { "rattanctl" };
        for (const std::string& flag : flags)
            argv.push_back(flag.c_str());
        if (settings.parse(static_cast<int>(argv.size()), argv.data()))
            return ExitCode::Usage;
        return std::nullopt;
    }

    // Words become parts of paths, so only what a key may hold is let through.
    bool isPlainWord(const std::string& word)
    {
        static const std::string others = "._:@+-";
        return !word.empty() && std::all_of(word.begin(), word.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || others.find(c) != std::string::npos;
        });
    }

    std::optional<std::string> faultOf(const Command& command, const std::vector<std::string>& words)
    {
        if (words.size() != command.words.size())
            return "usage: " + usageOf(command);
        for (std::size_t i = 0; i < words.size(); ++i) {
            if (command.words[i] != "FILE" && !isPlainWord(words[i]))
                return fmt::format("{} is '{}'; accepted: letters, digits and . _ : @ + -", command.words[i], words[i]);
        }
        return std::nullopt;
    }

} // namespace

ExitCode runProgram(const std::vector<std::string>& arguments, const Surroundings& around)
{
    SplitLine line = split(arguments);
    if (!line.flags.empty() && line.flags[0] == "--version" && line.words.empty()) {
        around.console.line(fmt::format("rattanctl {}", RATTAN_VERSION));
        return ExitCode::Ok;
    }
    if (line.words.empty() && line.help) {
        printOverview(around.console);
        return ExitCode::Ok;
    }
    const Command* command = findCommand(line.words);
    if (!command) {
        around.console.remark(line.words.empty() ? "a command is expected; see rattanctl --help" : fmt::format("'{}' is no command; see rattanctl --help", line.words[0]));
        return ExitCode::Usage;
    }
    Options options;
    Settings settings("rattanctl", command->summary);
    declareCommonSettings(settings, options);
    if (command->declare)
        command->declare(settings, options);
    if (line.help) {
        printHelp(around.console, *command, settings);
        return ExitCode::Ok;
    }
    if (const auto code = readFlags(settings, line.flags))
        return *code;
    if (const auto fault = faultOf(*command, line.words)) {
        around.console.remark(*fault);
        return ExitCode::Usage;
    }
    options.json = line.json;
    around.console.setColoured(options.colour == "always" || (options.colour == "auto" && around.isTerminal));
    EntryClient client(options.entries, options.token, std::chrono::milliseconds(options.timeoutMs));
    const Span span("rattanctl." + command->name);
    Context context { options, line.words, around.console, client, around.clock, around.pause };
    return command->run(context);
}

} // namespace rattan::ctl
