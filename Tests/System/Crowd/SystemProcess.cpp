#include <Tests/System/Crowd/SystemProcess.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace CrowdTests {

static pid_t startProgram(const std::vector<std::string>& arguments, const std::string& outputFile, uint64_t maximumDescriptors)
{
    std::vector<char*> texts;
    std::ranges::transform(arguments, std::back_inserter(texts), [](const std::string& text) { return const_cast<char*>(text.c_str()); });
    texts.push_back(nullptr);
    auto pid = fork();
    if (pid != 0)
        return pid;
    int output = open(outputFile.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (maximumDescriptors > 0) {
        rlimit limit { maximumDescriptors, maximumDescriptors };
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    execv(texts.front(), texts.data());
    _exit(127);
}

SystemProcess::SystemProcess(const std::vector<std::string>& arguments, const std::string& outputFile, uint64_t maximumDescriptors)
    : m_pid(startProgram(arguments, outputFile, maximumDescriptors))
{
}

SystemProcess::~SystemProcess()
{
    if (!lives())
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

bool SystemProcess::lives()
{
    m_hasEnded = m_hasEnded || waitpid(m_pid, nullptr, WNOHANG) != 0;
    return !m_hasEnded;
}

uint64_t SystemProcess::statusBytes(const std::string& field) const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field))
            return std::strtoull(line.c_str() + field.size(), nullptr, 10) * 1024;
    }
    return 0;
}

size_t SystemProcess::openDescriptors() const
{
    std::error_code error;
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_pid) + "/fd", error);
    return error ? 0 : std::distance(begin(entries), end(entries));
}

bool SystemProcess::succeeds(const std::vector<std::string>& arguments)
{
    auto pid = startProgram(arguments, "/dev/null", 0);
    int status = 0;
    return waitpid(pid, &status, 0) == pid && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

}
