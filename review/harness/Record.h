#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>

// What a run writes down, and how it ends.
namespace Review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

class CouldNotRun : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Writes record.txt, with the milliseconds since the start of the run in front of each line.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(Clock::now())
    {
        if (!m_file)
            throw CouldNotRun("can't write " + path);
    }
    ~Record() { std::fclose(m_file); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.3f ms  ", std::chrono::duration<double, std::milli>(Clock::now() - m_start).count());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    Clock::time_point m_start;
};

inline void waitUntil(const std::string& what, std::chrono::seconds limit, const std::function<bool()>& isDone)
{
    auto end = Clock::now() + limit;
    while (!isDone()) {
        if (Clock::now() > end)
            throw CouldNotRun("gave up waiting until " + what);
        std::this_thread::sleep_for(50ms);
    }
}

// Returns false if the environment asks for the run without the disruption.
inline bool hasTrouble()
{
    const auto* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

// Runs a case and gives the exit code of its script. The case returns true if the rule held.
inline int runCase(int argc, char** argv, const std::function<bool(Record&)>& run)
{
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return exitCouldNotRun;
    }
    try {
        Record record(argv[1]);
        record.line("the run is made %s the disruption", hasTrouble() ? "with" : "without");
        bool hasHeld = run(record);
        record.line("result: the rule %s", hasHeld ? "held" : "was broken");
        return hasHeld ? exitHeld : exitBroken;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "the case could not run: %s\n", error.what());
        return exitCouldNotRun;
    }
}

}
