#pragma once

#include <review/harness/Connection.h>

#include <array>
#include <csignal>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <spawn.h>
#include <sys/wait.h>

// Machines with real fulmard processes.
namespace Review {

struct Ports {
    uint16_t inbound { 0 };
    uint16_t outbound { 0 };
    uint16_t ready { 0 };
    uint16_t control { 0 };
    uint16_t application { 0 };
    uint16_t store { 0 };
};

inline bool isFree(const std::string& ip, uint16_t port)
{
    auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf(ip, port);
    bool isBound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return isBound;
}

inline Ports freePorts(const std::vector<std::string>& ips)
{
    std::srand(static_cast<unsigned>(getpid() ^ std::time(nullptr)));
    for (int attempt = 0; attempt < 200; ++attempt) {
        auto base = static_cast<uint16_t>(18000 + std::rand() % 12000);
        bool areFree = true;
        for (const auto& ip : ips) {
            for (uint16_t offset = 0; offset < 6; ++offset)
                areFree = areFree && isFree(ip, base + offset);
        }
        if (areFree)
            return { base, uint16_t(base + 1), uint16_t(base + 2), uint16_t(base + 3), uint16_t(base + 4), uint16_t(base + 5) };
    }
    throw CouldNotRun("no free ports");
}

// A machine of the fleet with its fulmard process.
struct Machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    std::string settingsFile;
    pid_t process { -1 };
};

// Process ids of all running fulmard processes, so that a signal that ends the case ends them too.
inline std::array<std::atomic<pid_t>, 64> runningProcesses {};

inline void endWithProcesses(int)
{
    for (auto& process : runningProcesses) {
        if (auto id = process.load(); id > 0)
            ::kill(id, SIGKILL);
    }
    _exit(exitCouldNotRun);
}

// The fulmard processes, started with the command of the deploy file.
class Fleet {
public:
    Fleet(Record& record, std::string storeIp)
        : m_record(record)
        , m_storeIp(std::move(storeIp))
        , m_directory(std::filesystem::temp_directory_path() / ("fulmar-review-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_directory);
        std::signal(SIGPIPE, SIG_IGN);
        std::signal(SIGTERM, endWithProcesses);
        std::signal(SIGINT, endWithProcesses);
    }
    ~Fleet()
    {
        for (auto& machine : machines)
            kill(machine);
        std::filesystem::remove_all(m_directory);
    }

    void add(const std::string& name, const std::string& ip, const std::string& zone, const std::string& service)
    {
        machines.push_back({ name, ip, zone, service, (m_directory / (name + ".conf")).string(), -1 });
    }

    void start(Machine& machine)
    {
        writeSettings(machine);
        static constexpr auto program = "target/Services/fulmard/fulmard";
        auto variable = "FULMARSAIL_NODE_FILE=" + machine.settingsFile;
        std::string path = "PATH=/usr/bin:/bin";
        std::array<char*, 3> environment { variable.data(), path.data(), nullptr };
        std::array<char*, 2> arguments { const_cast<char*>(program), nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        auto log = (m_directory / (machine.name + ".log")).string();
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (posix_spawn(&machine.process, program, &actions, nullptr, arguments.data(), environment.data()) != 0)
            throw CouldNotRun("can't start fulmard");
        posix_spawn_file_actions_destroy(&actions);
        runningProcesses[&machine - machines.data()] = machine.process;
        m_record.line("machine %s (%s, %s): fulmard started, process %d", machine.name.c_str(), machine.ip.c_str(), machine.service.c_str(), machine.process);
    }

    void signal(Machine& machine, int number)
    {
        m_record.line("machine %s: signal %s", machine.name.c_str(), strsignal(number));
        if (machine.process > 0)
            ::kill(machine.process, number);
    }

    void kill(Machine& machine)
    {
        if (machine.process <= 0)
            return;
        ::kill(machine.process, SIGCONT);
        ::kill(machine.process, SIGKILL);
        waitpid(machine.process, nullptr, 0);
        forget(machine);
    }

    // Returns how the process ended by itself, if it did.
    std::optional<int> ended(Machine& machine)
    {
        int status = 0;
        if (machine.process <= 0 || waitpid(machine.process, &status, WNOHANG) != machine.process)
            return std::nullopt;
        forget(machine);
        return status;
    }

    std::string logOf(const Machine& machine) const
    {
        std::ifstream file(m_directory / (machine.name + ".log"));
        return { std::istreambuf_iterator<char>(file), {} };
    }

    bool isReady(const Machine& machine) const
    {
        auto connection = Connection::open(machine.ip, machine.ip, ports.ready);
        if (!connection.isOpen() || !connection.send("GET /v1/ready HTTP/1.1\r\nHost: " + machine.ip + "\r\nConnection: close\r\n\r\n"))
            return false;
        return readMessage(connection, Clock::now() + 1s).status() == 200;
    }

    std::vector<Machine> machines;
    Ports ports;

private:
    void forget(Machine& machine)
    {
        machine.process = -1;
        runningProcesses[&machine - machines.data()] = 0;
    }

    void writeSettings(const Machine& machine) const
    {
        std::ofstream file(machine.settingsFile);
        auto listen = [&](const char* name, uint16_t port) { file << "listen." << name << "=" << machine.ip << ":" << port << "\n"; };
        file << "node=" << machine.name << "\nrole=fulmard\nmachineClass=sidecar\nserves=sidecar\nip=" << machine.ip << "\nzone=" << machine.zone
             << "\nregion=souss-massa\nzones.agadir=souss-massa\nzones.taroudant=souss-massa\nzones.tiznit=souss-massa\n";
        listen("inbound", ports.inbound);
        listen("outbound", ports.outbound);
        listen("ready", ports.ready);
        listen("control", ports.control);
        file << "seeds=\nbootstrap=true\nfaultCounted=false\nlimits.cpuShare=0.2\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
                "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=static\nentry=static\nheartbeatMs=1500\n"
                "contracts=base,drain,config,cost,retry,recover,health,platform\nfaultTolerance.machines=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n"
                "bounds=seedLagS=3,addrReuseS=2,contactMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,lossSlackMs=200,configApplyMs=2000,"
                "downgradeSlackMs=250,partitionStretchMs=5000,retryBudgetRatio=0.2,budgetWindowS=10,retryBudgetExtra=60,recoveryS=15,probesPerS=3,floorShare=0.7\n";
        file << "appAddr=" << machine.ip << ":" << ports.application << "\nservice=" << machine.service << "\nplatform.address=" << m_storeIp << ":" << ports.store
             << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
    }

    Record& m_record;
    std::string m_storeIp;
    std::filesystem::path m_directory;
};

}
