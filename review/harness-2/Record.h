#pragma once

#include <review/harness-2/Http.h>

#include <cstdio>
#include <fstream>
#include <mutex>

namespace Review {

// What was sent, answered and run, one line each, with seconds since the start of the case.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(Clock::now())
    {
    }

    double seconds(Clock::time_point at) const { return std::chrono::duration<double>(at - m_start).count(); }
    double seconds() const { return seconds(Clock::now()); }

    void write(const std::string& text)
    {
        std::scoped_lock lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        m_file << time << text << '\n';
        m_file.flush();
    }

    // Also told to whoever runs the case.
    void say(const std::string& text)
    {
        write(text);
        std::printf("%8.3f %s\n", seconds(), text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

}
