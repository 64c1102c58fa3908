#include "scenario/processes.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <string_view>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rattan::testing {

namespace {

    constexpr int cannotRun = 127;

    // Between fork and exec only calls that are safe after a fork in a program
    // with threads.
    [[noreturn]] void becomeChild(char* const* arguments, const char* out, const char* err)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        constexpr mode_t readable = 0644;
        dup2(open(out, O_WRONLY | O_CREAT | O_APPEND, readable), STDOUT_FILENO);
        dup2(open(err, O_WRONLY | O_CREAT | O_APPEND, readable), STDERR_FILENO);
        execv(arguments[0], arguments);
        _exit(cannotRun);
    }

} // namespace

Processes::~Processes() { this->endAll(); }

void Processes::start(const std::string& name, const std::vector<std::string>& command, const std::string& directory)
{
    if (this->pids.contains(name))
        throw std::runtime_error(name + " is running already");
    if (this->pids.size() >= most)
        throw std::runtime_error("too many processes");
    if (access(command.at(0).c_str(), X_OK) != 0)
        throw std::runtime_error(command[0] + " cannot be run");
    std::vector<std::string> words = command;
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string out = directory + "/" + name + ".out";
    const std::string err = directory + "/" + name + ".err";
    const pid_t pid = fork();
    if (pid == 0)
        becomeChild(arguments.data(), out.c_str(), err.c_str());
    if (pid < 0)
        throw std::runtime_error("no process can be started");
    this->pids[name] = pid;
}

void Processes::signal(const std::string& name, int number) const
{
    const auto found = this->pids.find(name);
    if (found == this->pids.end())
        throw std::runtime_error(name + " is not running");
    kill(found->second, number);
}

bool Processes::blocks(const std::string& name, int number) const
{
    constexpr std::string_view field = "SigBlk:";
    constexpr int hexadecimal = 16;
    std::ifstream status("/proc/" + std::to_string(this->pids.at(name)) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field))
            return ((std::stoull(line.substr(field.size()), nullptr, hexadecimal) >> (number - 1)) & 1) != 0;
    }
    return false;
}

std::optional<ProcessExit> Processes::poll(const std::string& name)
{
    const auto found = this->pids.find(name);
    if (found == this->pids.end())
        throw std::runtime_error(name + " is not running");
    int status = 0;
    if (waitpid(found->second, &status, WNOHANG) != found->second)
        return std::nullopt;
    this->pids.erase(found);
    if (WIFSIGNALED(status))
        return ProcessExit { true, WTERMSIG(status) };
    return ProcessExit { false, WEXITSTATUS(status) };
}

std::vector<std::string> Processes::endedUnasked()
{
    std::vector<std::string> names;
    for (const auto& [name, pid] : this->pids)
        names.push_back(name);
    std::erase_if(names, [this](const std::string& name) { return !this->poll(name); });
    return names;
}

void Processes::killAndForget(const std::string& name)
{
    const auto found = this->pids.find(name);
    if (found == this->pids.end())
        return;
    kill(found->second, SIGKILL);
    waitpid(found->second, nullptr, 0);
    this->pids.erase(found);
}

void Processes::endAll()
{
    while (!this->pids.empty())
        this->killAndForget(this->pids.begin()->first);
}

} // namespace rattan::testing
