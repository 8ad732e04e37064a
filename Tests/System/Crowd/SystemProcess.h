#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace CrowdTests {

// A program that runs until this object ends. Its output goes to a file.
class SystemProcess {
public:
    SystemProcess(const std::vector<std::string>& arguments, const std::string& outputFile, uint64_t maximumDescriptors = 0);
    ~SystemProcess();
    SystemProcess(const SystemProcess&) = delete;
    SystemProcess& operator=(const SystemProcess&) = delete;

    bool lives();
    // VmRSS and VmHWM of the system's status of the process.
    uint64_t residentBytes() const { return statusBytes("VmRSS:"); }
    uint64_t peakResidentBytes() const { return statusBytes("VmHWM:"); }
    size_t openDescriptors() const;

    // Runs a program to its end. Says whether it reported success.
    static bool succeeds(const std::vector<std::string>& arguments);

private:
    uint64_t statusBytes(const std::string& field) const;

    pid_t m_pid { -1 };
    bool m_hasEnded { false };
};

}
