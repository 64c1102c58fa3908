// completion: a bash script made from the table of commands.

#include "ctl/command.h"

#include <fmt/format.h>

namespace rattan::ctl {

namespace {

    std::string flagsOf(const Command& command)
    {
        Options options;
        Settings settings("rattanctl", "");
        declareCommonSettings(settings, options);
        if (command.declare)
            command.declare(settings, options);
        std::string flags = "--json --help";
        for (const SettingInfo& info : settings.list())
            flags += " --" + info.name;
        return flags;
    }

    std::string firstWords()
    {
        std::string words;
        std::string last;
        for (const Command& command : allCommands()) {
            const std::string first = command.name.substr(0, command.name.find(' '));
            if (first != last)
                words += (words.empty() ? "" : " ") + first;
            last = first;
        }
        return words;
    }

} // namespace

ExitCode completion(Context& context)
{
    if (context.words[0] != "bash")
        return misuse(context, fmt::format("no completion for '{}'; accepted: bash", context.words[0]));
    std::string script = "_rattanctl() {\n"
                         "    local word=${COMP_WORDS[COMP_CWORD]} command=${COMP_WORDS[1]} flags=\n"
                         "    [[ $command == submit ]] && command=\"submit ${COMP_WORDS[2]}\"\n"
                         "    case $command in\n";
    for (const Command& command : allCommands())
        script += fmt::format("    \"{}\") flags=\"{}\" ;;\n", command.name, flagsOf(command));
    script += fmt::format("    esac\n"
                          "    if [[ $COMP_CWORD -eq 1 ]]; then COMPREPLY=($(compgen -W \"{}\" -- \"$word\"))\n"
                          "    elif [[ $COMP_CWORD -eq 2 && ${{COMP_WORDS[1]}} == submit ]]; then COMPREPLY=($(compgen -W \"job request\" -- \"$word\"))\n"
                          "    elif [[ $word == -* ]]; then COMPREPLY=($(compgen -W \"$flags\" -- \"$word\"))\n"
                          "    else COMPREPLY=($(compgen -f -- \"$word\"))\n"
                          "    fi\n"
                          "}}\n"
                          "complete -F _rattanctl rattanctl",
        firstWords());
    context.console.line(script);
    return ExitCode::Ok;
}

} // namespace rattan::ctl
