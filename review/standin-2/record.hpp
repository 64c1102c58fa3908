#pragma once

// Writes what was sent, answered and run, with the time since the start.

#include "http.hpp"

#include <cstdarg>
#include <cstdio>
#include <mutex>

namespace review {

class Recorder {
public:
    explicit Recorder(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
        , startedAt(steadyNow())
    {
        if (!this->file)
            throw std::runtime_error("cannot write " + path);
    }

    ~Recorder() { std::fclose(this->file); }
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    __attribute__((format(printf, 2, 3))) void say(const char* format, ...)
    {
        const std::lock_guard lock(this->mutex);
        std::fprintf(this->file, "%8.3f ", static_cast<double>(steadyNow() - this->startedAt) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::FILE* const file;
    const Millis startedAt;
    std::mutex mutex;
};

} // namespace review
