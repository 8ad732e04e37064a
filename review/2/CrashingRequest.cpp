#include <review/harness/Messages.h>
#include <review/harness/Upstream.h>

#include <optional>

using namespace Review;

// A request that crashes each upstream that runs it comes again at other machines.
namespace {

constexpr auto service = "huvo11a";
constexpr auto prefix = "/pufi791/";
constexpr int timeBudgetMs = 1500;
constexpr int objectiveMs = 600;
constexpr int machineCount = 9;
constexpr int sendCount = 30;
constexpr auto sendInterval = 1s;
constexpr auto crashDelay = 30ms;
constexpr auto downTime = 3s;
constexpr auto workTime = 50ms;
constexpr auto otherInterval = 200ms;
constexpr auto contactTime = 3s;
constexpr int allowedRetries = 3;

class Case {
public:
    explicit Case(Record& record)
        : m_record(record)
        , m_fleet(record, storeIp)
    {
        std::vector<std::string> ips { storeIp };
        for (int index = 0; index < machineCount; ++index)
            ips.push_back("127.77.2." + std::to_string(11 + index));
        m_fleet.ports = freePorts(ips);
        m_store = std::make_unique<Store>(storeIp, m_fleet.ports.store);
        m_store->put("op/config", configuration({ { prefix, "unsafe", service, timeBudgetMs, objectiveMs } }, { service }));
        static constexpr std::array zones { "agadir", "taroudant", "tiznit" };
        for (int index = 0; index < machineCount; ++index) {
            std::string zone = zones[index % zones.size()];
            m_fleet.add("sidecar-" + zone + "-" + std::to_string(1 + index / zones.size()), ips[1 + index], zone, service);
        }
    }
    ~Case() { stopOthers(); }

    bool run()
    {
        startFleet();
        for (int number = 1; number <= sendCount; ++number) {
            sendCrashing(number);
            std::this_thread::sleep_for(sendInterval);
        }
        stopOthers();
        m_record.line("other requests: %d answered 200, %d not", m_othersServed.load(), m_othersFailed.load());
        return countLateRetries() <= allowedRetries;
    }

private:
    static constexpr auto storeIp = "127.77.2.1";

    void startFleet()
    {
        for (auto& machine : m_fleet.machines)
            m_fleet.start(machine);
        for (auto& machine : m_fleet.machines)
            m_upstreams.push_back(std::make_unique<Upstream>(m_record, machine, m_fleet.ports, [this](Upstream& upstream, Connection& connection, const Message& request) { return serve(upstream, connection, request); }));
        for (auto& machine : m_fleet.machines)
            waitUntil(machine.name + " is ready", 10s, [&] { return m_fleet.isReady(machine); });
        for (auto& upstream : m_upstreams)
            waitUntil("the upstream's check-in is confirmed", 10s, [&] { return upstream->isAcknowledged(); });
        for (size_t index = 0; index < m_fleet.machines.size(); ++index)
            m_others.emplace_back([this, index] { sendOthers(index); });
        // All machines are in touch after contactMs.
        std::this_thread::sleep_for(4s);
    }

    bool serve(Upstream& upstream, Connection& connection, const Message& request)
    {
        if (request.body != crashingBody) {
            std::this_thread::sleep_for(workTime);
            return connection.send(answerOf(request, "done"));
        }
        auto id = request.header("attempt-id");
        m_record.line("request %s reaches upstream %s on %s", id.c_str(), upstream.id().c_str(), upstream.machine().name.c_str());
        {
            std::lock_guard lock(m_mutex);
            m_arrivals.push_back(Clock::now());
        }
        std::this_thread::sleep_for(crashDelay);
        if (!hasTrouble())
            return connection.send(answerOf(request, "done"));
        upstream.crash(downTime);
        std::lock_guard lock(m_mutex);
        m_crashes.push_back(Clock::now());
        return false;
    }

    // Sends the request with the same path, caller and body at one machine after the other.
    void sendCrashing(int number)
    {
        const auto& machine = m_fleet.machines[number % m_fleet.machines.size()];
        auto id = attemptId("aa", 0, number);
        m_record.line("the caller sends request %s at %s", id.c_str(), machine.name.c_str());
        auto answer = exchange(machine, id, crashingBody);
        m_record.line("answer to request %s: \"%s\"", id.c_str(), answer.start.c_str());
    }

    void sendOthers(size_t index)
    {
        const auto& machine = m_fleet.machines[index];
        for (int number = 1; !m_isStopping; ++number) {
            auto id = attemptId("bb", static_cast<int>(index), number);
            auto answer = exchange(machine, id, id);
            ++(answer.status() == 200 ? m_othersServed : m_othersFailed);
            if (answer.status() != 200)
                m_record.line("answer to another caller's request %s: \"%s\"", id.c_str(), answer.start.c_str());
            std::this_thread::sleep_for(otherInterval);
        }
    }

    Message exchange(const Machine& machine, const std::string& id, const std::string& body) const
    {
        auto connection = Connection::open(machine.ip, machine.ip, m_fleet.ports.outbound);
        if (!connection.isOpen() || !connection.send(requestText("POST", prefix + std::string("2f"), id, timeBudgetMs, body)))
            return {};
        return readMessage(connection, Clock::now() + std::chrono::milliseconds(timeBudgetMs + 500));
    }

    static std::string attemptId(const char* kind, int machine, int number)
    {
        std::array<char, 20> text {};
        std::snprintf(text.data(), text.size(), "%s%06x%08x", kind, static_cast<unsigned>(machine), static_cast<unsigned>(number));
        return text.data();
    }

    void stopOthers()
    {
        m_isStopping = true;
        for (auto& thread : m_others)
            thread.join();
        m_others.clear();
    }

    int countLateRetries()
    {
        std::lock_guard lock(m_mutex);
        int late = 0;
        if (m_crashes.size() >= 3)
            late = static_cast<int>(std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](auto arrival) { return arrival > m_crashes[2] + contactTime; }));
        m_record.line("the request reached upstreams %zu times and crashed %zu; %d times later than 3 s after the third crash", m_arrivals.size(), m_crashes.size(), late);
        return late;
    }

    static constexpr auto crashingBody = "the request that crashes upstreams";

    Record& m_record;
    Fleet m_fleet;
    std::unique_ptr<Store> m_store;
    std::mutex m_mutex;
    std::vector<Clock::time_point> m_arrivals;
    std::vector<Clock::time_point> m_crashes;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_othersServed { 0 };
    std::atomic<int> m_othersFailed { 0 };
    std::vector<std::thread> m_others;
};

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, [](Record& record) { return Case(record).run(); });
}
