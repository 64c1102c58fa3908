// TCLAP splits the command line into one text per setting. The setter of the setting then
// validates this text, in the same way as a text from the environment.

#include "base/settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstdlib>
#include <fmt/core.h>
#include <fmt/format.h>
#include <memory>
#include <tclap/CmdLine.h>

namespace rattan {

namespace {

    std::optional<std::int64_t> wholeNumber(const std::string& text)
    {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string upperSnake(const std::string& text)
    {
        std::string result = text;
        for (char& c : result)
            c = c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        return result;
    }

    std::vector<std::string> splitAtCommas(const std::string& text)
    {
        std::vector<std::string> parts;
        std::size_t start = 0;
        while (start <= text.size() && !text.empty()) {
            const std::size_t comma = std::min(text.find(',', start), text.size());
            parts.push_back(text.substr(start, comma - start));
            start = comma + 1;
        }
        return parts;
    }

} // namespace

Settings::Settings(std::string program, std::string description)
    : program(std::move(program))
    , description(std::move(description))
{
}

void Settings::text(const std::string& name, std::string* target, const std::string& placeholder,
    const std::string& meaning, bool required)
{
    this->add({ name, placeholder, required ? "a text that is not empty" : "any text", *target, meaning },
        [target, required](const std::string& value) {
            *target = value;
            return !required || !value.empty();
        });
}

void Settings::number(const std::string& name, std::int64_t* target, std::int64_t minValue, std::int64_t maxValue,
    const std::string& unit, const std::string& meaning)
{
    this->add({ name, "N", fmt::format("{} to {} {}", minValue, maxValue, unit), fmt::to_string(*target), meaning },
        [target, minValue, maxValue](const std::string& text) {
            const auto value = wholeNumber(text);
            if (!value || *value < minValue || *value > maxValue)
                return false;
            *target = *value;
            return true;
        });
}

void Settings::address(const std::string& name, std::string* target, const std::string& meaning, bool required)
{
    this->add({ name, "IP:PORT", "an IP number and a port, like 127.0.0.1:8080", *target, meaning },
        [target, required](const std::string& value) {
            *target = value;
            return value.empty() ? !required : detail::isAddress(value);
        });
}

void Settings::addresses(const std::string& name, std::vector<std::string>* target, const std::string& meaning)
{
    this->add({ name, "IP:PORT,...", "IP numbers with ports, split by commas", fmt::format("{}", fmt::join(*target, ",")), meaning },
        [target](const std::string& value) {
            *target = splitAtCommas(value);
            return std::all_of(target->begin(), target->end(), detail::isAddress);
        });
}

void Settings::choice(const std::string& name, std::string* target, const std::vector<std::string>& choices,
    const std::string& meaning)
{
    this->add({ name, "WORD", fmt::format("one of {}", fmt::join(choices, ", ")), *target, meaning },
        [target, choices](const std::string& value) {
            *target = value;
            return std::find(choices.begin(), choices.end(), value) != choices.end();
        });
}

std::optional<int> Settings::parse(int argc, const char* const* argv)
{
    TCLAP::CmdLine commandLine(this->description, ' ', RATTAN_VERSION, false);
    commandLine.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> arguments;
    TCLAP::SwitchArg help("h", "help", "Prints this help.", commandLine);
    TCLAP::SwitchArg version("", "version", "Prints the version.", commandLine);
    for (const SettingInfo& info : this->infos) {
        arguments.push_back(std::make_unique<TCLAP::ValueArg<std::string>>("", info.name, info.meaning, false, "", info.placeholder));
        commandLine.add(*arguments.back());
    }
    try {
        std::vector<std::string> commandLineWords(argv, argv + argc);
        commandLine.parse(commandLineWords);
    } catch (const TCLAP::ArgException& exception) {
        fmt::print(stderr, "{}: {} {}; see --help\n", this->program, exception.argId(), exception.error());
        return badUsage;
    }
    if (help.getValue()) {
        fmt::print("{}", this->help());
        return 0;
    }
    if (version.getValue()) {
        fmt::print("{} {}\n", this->program, RATTAN_VERSION);
        return 0;
    }
    for (std::size_t i = 0; i < this->infos.size(); ++i) {
        const SettingInfo& info = this->infos[i];
        std::string value = info.fallback;
        std::string source = "--" + info.name;
        if (arguments[i]->isSet())
            value = arguments[i]->getValue();
        else if (const auto found = this->fromEnvironment(info.name)) {
            value = *found;
            source = this->environmentName(info.name);
        }
        if (!this->setters[i](value)) {
            fmt::print(stderr, "{}: {} is '{}'; accepted: {}\n", this->program, source, value, info.accepted);
            return badUsage;
        }
    }
    return std::nullopt;
}

std::string Settings::environmentName(const std::string& setting) const
{
    const std::string prefix = "rattan-";
    const std::string shortName = this->program.rfind(prefix, 0) == 0 ? this->program.substr(prefix.size()) : "ctl";
    return fmt::format("RATTAN_{}_{}", upperSnake(shortName), upperSnake(setting));
}

void Settings::add(SettingInfo info, Setter setter)
{
    this->infos.push_back(std::move(info));
    this->setters.push_back(std::move(setter));
}

std::optional<std::string> Settings::fromEnvironment(const std::string& setting) const
{
    const std::string shared = "RATTAN_" + upperSnake(setting);
    for (const std::string& name : { this->environmentName(setting), shared }) {
        if (const char* value = std::getenv(name.c_str()))
            return std::string(value);
    }
    return std::nullopt;
}

std::string Settings::help() const
{
    std::string text = fmt::format("{}: {}\n\n", this->program, this->description);
    for (const SettingInfo& info : this->infos) {
        text += fmt::format("  --{} {}\n      {}\n      accepted: {}; default: {}; environment: {}\n", info.name,
            info.placeholder, info.meaning, info.accepted, info.fallback.empty() ? "none" : info.fallback,
            this->environmentName(info.name));
    }
    return text + "  --help\n  --version\n";
}

namespace detail {

    bool isAddress(const std::string& text)
    {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string::npos || text.find('\0') != std::string::npos) // inet_pton() reads to the first NUL.
            return false;
        std::string host = text.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        in6_addr parsed {};
        const bool isIp = inet_pton(AF_INET, host.c_str(), &parsed) == 1 || inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
        const auto port = wholeNumber(text.substr(colon + 1));
        constexpr std::int64_t maxPort = 65535;
        return isIp && port && *port >= 0 && *port <= maxPort;
    }

} // namespace detail

} // namespace rattan
