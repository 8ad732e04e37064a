#pragma once

#include <review/harness-2/Store.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review {

// One run of a request by an upstream.
struct Run {
    std::string attempt;
    std::string upstream;
    std::string service;
    std::string method;
    std::string path;
    size_t bodyBytes { 0 };
    double at { 0 };
};

// What the upstreams ran.
class Runs {
public:
    explicit Runs(Record& record)
        : m_record(record)
    {
    }

    void add(Run run)
    {
        std::scoped_lock lock(m_mutex);
        run.at = m_record.seconds();
        m_record.write("run: " + run.upstream + " of " + run.service + " runs " + run.attempt + " " + run.method + " " + run.path + " with " + std::to_string(run.bodyBytes) + " bytes");
        m_runs.push_back(std::move(run));
    }

    std::vector<Run> of(const std::string& attempt)
    {
        std::scoped_lock lock(m_mutex);
        std::vector<Run> result;
        std::ranges::copy_if(m_runs, std::back_inserter(result), [&](const Run& run) { return run.attempt == attempt; });
        return result;
    }

private:
    Record& m_record;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

struct UpstreamOptions {
    std::string id;
    std::string service;
    std::string zone;
    Address at;
    Address control;
    int slots { 3 };
    int workMs { 200 };
    int heartbeatMs { 1500 };
};

// An application upstream as PROTOCOL.md describes it: slots, a short queue, health, check-ins with the machine's control
// address. It keeps connections and drops a request whose connection closes.
class Upstream {
public:
    Upstream(Record& record, Runs& runs, UpstreamOptions options)
        : m_record(record)
        , m_runs(runs)
        , m_options(std::move(options))
        , m_born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
    }

    void start()
    {
        int listener = listenOn(m_options.at);
        std::thread([this, listener] {
            while (true) {
                int descriptor = accept(listener, nullptr, nullptr);
                if (descriptor != -1)
                    std::thread([this, descriptor] { serve(descriptor); }).detach();
            }
        }).detach();
        std::thread([this] { beat(); }).detach();
    }

    // Sends no check-in any more, says that it is gone, and serves on. Returns the status of the confirmation.
    int withdraw()
    {
        m_isWithdrawn = true;
        auto answer = tell("DELETE", "");
        return answer ? answer->status() : 0;
    }

    // Leaves without a check-in from now on; its withdrawal is on the way.
    void leaveUnheard() { m_isWithdrawn = true; }

    // The withdrawal of an earlier boot arrives.
    int deliverLateWithdrawal()
    {
        auto answer = tell("DELETE", "");
        return answer ? answer->status() : 0;
    }

    // Starts again under its id and at its address: a new boot, whose check-ins count anew.
    void startAgain()
    {
        m_born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_sequence = 0;
        ++m_boot;
        m_isWithdrawn = false;
    }

    // The check-in before the withdrawal arrives only now.
    int deliverLateCheckIn()
    {
        auto answer = tell("PUT", checkIn(m_sequence));
        return answer ? answer->status() : 0;
    }

    // Work takes this many times as long.
    void setSlowness(double factor) { m_slowness = factor; }
    const UpstreamOptions& options() const { return m_options; }

private:
    std::string checkIn(uint64_t sequence) const
    {
        Json::Value json;
        json["service"] = m_options.service;
        json["address"] = m_options.at.text();
        json["zone"] = m_options.zone;
        json["version"] = "v1";
        json["slots"] = m_options.slots;
        json["state"] = "ready";
        json["coldRemainingMs"] = 0;
        json["sequence"] = Json::UInt64(sequence);
        json["born"] = Json::Int64(m_born.load());
        return formatJson(json);
    }

    std::optional<Message> tell(const std::string& method, const std::string& body)
    {
        Stream stream;
        if (!stream.connect(m_options.control, m_options.at.ip))
            return std::nullopt;
        stream.write(method + " /v1/backends/" + m_options.id + " HTTP/1.1\r\nHost: " + m_options.control.text() + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
        auto answer = stream.read(Clock::now() + std::chrono::seconds(1));
        m_record.write("check-in: " + m_options.id + " " + method + " " + body + " -> " + (answer ? answer->startLine : "no answer"));
        return answer;
    }

    void beat()
    {
        for (;; std::this_thread::sleep_for(Milliseconds(m_options.heartbeatMs))) {
            if (!m_isWithdrawn)
                tell("PUT", checkIn(++m_sequence));
        }
    }

    void serve(int descriptor)
    {
        constexpr auto idleTimeout = std::chrono::seconds(10);
        Stream stream(descriptor);
        int boot = m_boot;
        while (auto request = stream.read(Clock::now() + idleTimeout)) {
            // The connection ended with the boot that had accepted it.
            if (boot != m_boot || !stream.write(answer(*request, stream)))
                return;
        }
    }

    std::string answer(const Message& request, const Stream& stream)
    {
        if (request.target() == "/health")
            return formatResponse(200, "Instance-Id: " + m_options.id + "\r\n", "");
        auto attempt = request.header("attempt-id");
        auto expected = request.header("expect-instance");
        auto echo = "Attempt-Id: " + attempt + "\r\n";
        if (attempt.empty())
            return formatResponse(400, "Not-Executed: 1\r\n", "");
        if (!expected.empty() && expected != m_options.id)
            return formatResponse(421, echo + "Instance-Id: " + m_options.id + "\r\nNot-Executed: 1\r\n", "");
        auto deadline = request.header("deadline-ms");
        auto until = Clock::now() + Milliseconds(deadline.empty() ? 60000 : std::stoll(deadline));
        {
            constexpr int queueLength = 24;
            std::unique_lock lock(m_mutex);
            if (m_waiting >= queueLength)
                return formatResponse(503, echo + "Not-Executed: 1\r\n", "");
            ++m_waiting;
            bool isTaken = m_freed.wait_until(lock, until, [this] { return m_running < m_options.slots; });
            --m_waiting;
            if (!isTaken)
                return formatResponse(503, echo + "Not-Executed: 1\r\n", "");
            ++m_running;
        }
        m_runs.add({ attempt, m_options.id, m_options.service, request.method(), request.target(), request.body.size() });
        auto end = Clock::now() + Milliseconds(static_cast<int64_t>(m_options.workMs * m_slowness.load()));
        bool isLate = end > until;
        while (Clock::now() < std::min(end, until) && !stream.isClosedByPeer())
            std::this_thread::sleep_for(Milliseconds(5));
        {
            std::scoped_lock lock(m_mutex);
            --m_running;
        }
        m_freed.notify_one();
        return formatResponse(isLate ? 504 : 200, echo + "Server-Seal: " + m_options.id + "." + attempt + "\r\n", "done by " + m_options.id + "\n");
    }

    Record& m_record;
    Runs& m_runs;
    UpstreamOptions m_options;
    std::atomic<int64_t> m_born;
    std::atomic<int> m_boot { 0 };
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_running { 0 };
    int m_waiting { 0 };
    std::atomic<double> m_slowness { 1 };
    std::atomic<bool> m_isWithdrawn { false };
    std::atomic<uint64_t> m_sequence { 0 };
};

struct MachineOptions {
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    int memoryMb { 260 };
    int descriptors { 4100 };
    std::string bounds;
    double linkMbps { 1000 };
};

// A sidecar machine: fulmard, started with the command of the deploy file, and the address of the upstream beside it.
class Machine {
public:
    Machine(Record& record, Store& store, const std::string& directory, MachineOptions options, const std::vector<std::string>& zones)
        : m_record(record)
        , m_options(std::move(options))
        , m_directory(directory)
        , m_store(store.listenFor(m_options.name, m_options.ip))
    {
        for (auto* address : { &inbound, &outbound, &ready, &control, &upstream })
            *address = { m_options.ip, freePort(m_options.ip) };
        m_file = directory + "/" + m_options.name + ".conf";
        std::ofstream file(m_file);
        file << "node=" << m_options.name << "\nrole=fulmard\nmachineClass=sidecar\nserves=sidecar\nip=" << m_options.ip << "\nzone=" << m_options.zone << "\nregion=here\n";
        for (const auto& zone : zones)
            file << "zones." << zone << "=here\n";
        file << "listen.inbound=" << inbound.text() << "\nlisten.outbound=" << outbound.text() << "\nlisten.ready=" << ready.text() << "\nlisten.control=" << control.text() << "\n"
             << "portRange=7380,7395\nseeds=\nbootstrap=true\nfaultCounted=false\nlimits.cpuShare=0.2\nlimits.cores=1\nlimits.memoryMb=" << m_options.memoryMb << "\nlimits.maxFds=" << m_options.descriptors
             << "\nlimits.linkMbps=" << m_options.linkMbps << "\nlimits.diskMb=0\ndiscovery=static\nentry=static\nheartbeatMs=1500\ncontracts=base,drain,config,cost,retry,recover,health,platform\n"
             << "faultTolerance.machines=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\nbounds=" << m_options.bounds << "\nappAddr=" << upstream.text() << "\nservice=" << m_options.service
             << "\nplatform.address=" << m_store.text() << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
    }

    ~Machine() { stop(SIGKILL); }
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;

    void start()
    {
        auto log = m_directory + "/" + m_options.name + ".log";
        auto variable = "FULMARSAIL_NODE_FILE=" + m_file;
        char program[] = "target/Services/fulmard/fulmard";
        char* arguments[] = { program, nullptr };
        char path[] = "PATH=/usr/local/bin:/usr/bin:/bin";
        char* environment[] = { path, variable.data(), nullptr };
        int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        m_process = fork();
        if (m_process == 0) {
            // It must not outlive the case.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            execve(program, arguments, environment);
            _exit(127);
        }
        close(output);
    }

    void signal(int number) const
    {
        if (m_process > 0)
            kill(m_process, number);
    }

    void stop(int number)
    {
        if (m_process <= 0)
            return;
        kill(m_process, number);
        waitpid(m_process, nullptr, 0);
        m_process = -1;
    }

    // Whether the process has ended by itself; then how is told.
    bool hasEnded(std::string& how)
    {
        int status = 0;
        if (m_process <= 0 || waitpid(m_process, &status, WNOHANG) != m_process)
            return false;
        m_process = -1;
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit code " + std::to_string(WEXITSTATUS(status));
        return true;
    }

    bool isReady() const
    {
        Stream stream;
        if (!stream.connect(ready) || !stream.write("GET /v1/ready HTTP/1.1\r\nHost: " + ready.text() + "\r\nConnection: close\r\n\r\n"))
            return false;
        auto answer = stream.read(Clock::now() + std::chrono::seconds(1));
        return answer && answer->status() == 200;
    }

    const MachineOptions& options() const { return m_options; }
    pid_t process() const { return m_process; }

    Address inbound;
    Address outbound;
    Address ready;
    Address control;
    Address upstream;

private:
    Record& m_record;
    MachineOptions m_options;
    std::string m_directory;
    std::string m_file;
    Address m_store;
    pid_t m_process { -1 };
};

// The answer to a client's request; status 0 if the connection ended without one.
struct Answer {
    int status { 0 };
    bool hasSeal { false };
    std::string retryAfter;
    std::string reason;
    std::string body;
    Clock::time_point sentAt;
    Clock::time_point answeredAt;
};

struct Call {
    std::string method { "GET" };
    std::string host;
    std::string path;
    std::string attempt;
    int deadlineMs { 4000 };
    std::string body;
};

// Sends a request on a new connection. The client waits until its deadline.
inline Answer send(const Address& to, const Call& call)
{
    Answer answer;
    Stream stream;
    answer.sentAt = Clock::now();
    auto length = call.body.empty() ? std::string() : "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    if (stream.connect(to) && stream.write(call.method + " " + call.path + " HTTP/1.1\r\nHost: " + call.host + "\r\nAttempt-Id: " + call.attempt + "\r\nDeadline-Ms: " + std::to_string(call.deadlineMs) + "\r\n" + length + "\r\n")) {
        stream.write(call.body);
        if (auto message = stream.read(answer.sentAt + Milliseconds(call.deadlineMs))) {
            answer.status = message->status();
            answer.hasSeal = !message->header("server-seal").empty();
            answer.retryAfter = message->header("retry-after");
            answer.reason = message->header("fulmar-reason");
            answer.body = message->body;
        }
    }
    answer.answeredAt = Clock::now();
    return answer;
}

inline bool waitFor(const std::function<bool()>& condition, std::chrono::seconds longest)
{
    auto end = Clock::now() + longest;
    while (Clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
}

inline bool hasTrouble()
{
    const auto* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

// A temporary folder that is gone at the end.
class Folder {
public:
    Folder()
    {
        char pattern[] = "/tmp/fulmar-review-XXXXXX";
        m_path = mkdtemp(pattern);
    }
    ~Folder()
    {
        std::error_code error;
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(m_path, error);
    }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

// Loopback addresses of this run's own, 127.X.Y.1 and on.
inline std::string loopback(int number)
{
    auto process = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(process % 250) + "." + std::to_string(number);
}

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

// What a case plays with. Threads of the stand-ins run until the process ends, so only machines are ever destroyed.
struct Fleet {
    Record& record;
    Store& store;
    Runs& runs;
    std::string directory;
    std::vector<std::string> zones;
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<Upstream*> upstreams;

    Machine& addMachine(const MachineOptions& options)
    {
        machines.push_back(std::make_unique<Machine>(record, store, directory, options, zones));
        machines.back()->start();
        return *machines.back();
    }

    Upstream& addUpstream(const Machine& machine, const std::string& id, int slots, int workMs)
    {
        UpstreamOptions options { id, machine.options().service, machine.options().zone, machine.upstream, machine.control, slots, workMs };
        upstreams.push_back(new Upstream(record, runs, options));
        return *upstreams.back();
    }

    bool areReady() const
    {
        auto isReady = [](const auto& machine) { return machine->isReady(); };
        return waitFor([&] { return std::ranges::all_of(machines, isReady); }, std::chrono::seconds(20));
    }
};

// Plays a case; the first argument is the path of its record. Never returns.
inline void runCase(char** arguments, const std::vector<std::string>& zones, int (*play)(Fleet&))
{
    int result = notRun;
    {
        Folder folder;
        auto& record = *new Record(arguments[1]);
        Fleet fleet { record, *new Store(record), *new Runs(record), folder.path(), zones, {}, {} };
        result = play(fleet);
    }
    std::fflush(stdout);
    _exit(result);
}

}
