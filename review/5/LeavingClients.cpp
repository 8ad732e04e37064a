#include <review/harness/Messages.h>
#include <review/harness/Upstream.h>

#include <optional>

using namespace Review;

// Upstreams go on with the requests of clients that left after they had sent a second request behind the first.
namespace {

constexpr auto service = "huvo11a";
constexpr auto prefix = "/lohu930/";
constexpr int timeBudgetMs = 1200;
constexpr int objectiveMs = 600;
constexpr int machineCount = 9;
constexpr int leavingCount = 12;
constexpr int stayingCount = 28;
// The longest and the mean work of the users' kind of request.
constexpr auto longWork = 860ms;
constexpr auto usualWork = 140ms;
constexpr auto secondAfter = 50ms;
constexpr auto leaveAfter = 150ms;
constexpr auto allowedTime = 500ms;
constexpr int fewRequests = 5;

struct Run {
    std::string id;
    Clock::time_point arrivedAt;
    Clock::time_point endedAt;
};

class Case {
public:
    explicit Case(Record& record)
        : m_record(record)
        , m_fleet(record, storeIp)
    {
        std::vector<std::string> ips { storeIp };
        for (int index = 0; index < machineCount; ++index)
            ips.push_back("127.77.5." + std::to_string(11 + index));
        m_fleet.ports = freePorts(ips);
        m_store = std::make_unique<Store>(storeIp, m_fleet.ports.store);
        m_store->put("op/config", configuration({ { prefix, "safe", service, timeBudgetMs, objectiveMs } }, { service }));
        static constexpr std::array zones { "agadir", "taroudant", "tiznit" };
        for (int index = 0; index < machineCount; ++index) {
            std::string zone = zones[index % zones.size()];
            m_fleet.add("sidecar-" + zone + "-" + std::to_string(1 + index / zones.size()), ips[1 + index], zone, service);
        }
    }

    bool run()
    {
        startFleet();
        std::vector<std::thread> clients;
        for (int index = 0; index < leavingCount; ++index)
            clients.emplace_back([this, index] { sendAndLeave(index); });
        for (int index = 0; index < stayingCount; ++index)
            clients.emplace_back([this, index] { sendAndStay(index); });
        for (auto& client : clients)
            client.join();
        std::this_thread::sleep_for(3s);
        return judge();
    }

private:
    static constexpr auto storeIp = "127.77.5.1";

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
        // All machines are in touch after contactMs.
        std::this_thread::sleep_for(4s);
    }

    // Works until the end, or until its caller closes the connection, as most upstreams do.
    bool serve(Upstream& upstream, Connection& connection, const Message& request)
    {
        Run run { request.header("attempt-id"), Clock::now(), {} };
        m_record.line("request %s reaches upstream %s", run.id.c_str(), upstream.id().c_str());
        auto end = run.arrivedAt + (request.start.find("/long") != std::string::npos ? longWork : usualWork);
        bool isDropped = false;
        while (!isDropped && Clock::now() < end) {
            std::this_thread::sleep_for(5ms);
            char byte = 0;
            auto count = recv(connection.descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            isDropped = count == 0 || (count < 0 && errno != EAGAIN);
        }
        run.endedAt = Clock::now();
        m_record.line("upstream %s %s request %s", upstream.id().c_str(), isDropped ? "drops" : "has finished", run.id.c_str());
        {
            std::lock_guard lock(m_mutex);
            m_runs.push_back(run);
        }
        return !isDropped && connection.send(answerOf(request, "done"));
    }

    Connection open(int index) const
    {
        const auto& machine = m_fleet.machines[index % m_fleet.machines.size()];
        return Connection::open(machine.ip, machine.ip, m_fleet.ports.outbound);
    }

    static std::string attemptId(const char* kind, int index)
    {
        std::array<char, 20> text {};
        std::snprintf(text.data(), text.size(), "%s%014x", kind, static_cast<unsigned>(index));
        return text.data();
    }

    void sendAndLeave(int index)
    {
        auto first = attemptId("aa", index);
        auto second = attemptId("bb", index);
        auto connection = open(index);
        m_record.line("a client sends request %s", first.c_str());
        connection.send(requestText("GET", prefix + std::string("long"), first, timeBudgetMs));
        std::this_thread::sleep_for(secondAfter);
        m_record.line("the client of %s sends request %s before the answer", first.c_str(), second.c_str());
        connection.send(requestText("GET", prefix + std::string("usual"), second, timeBudgetMs));
        if (!hasTrouble()) {
            for (const auto& id : { first, second })
                m_record.line("answer to request %s: \"%s\"", id.c_str(), readMessage(connection, Clock::now() + 3s).start.c_str());
            return;
        }
        std::this_thread::sleep_for(leaveAfter - secondAfter);
        connection.close();
        m_record.line("the client of %s and %s closes its connection", first.c_str(), second.c_str());
        std::lock_guard lock(m_mutex);
        m_leftAt[first] = m_leftAt[second] = Clock::now();
    }

    void sendAndStay(int index)
    {
        auto id = attemptId("cc", index);
        auto connection = open(index);
        connection.send(requestText("GET", prefix + std::string("usual"), id, timeBudgetMs));
        m_record.line("answer to request %s: \"%s\"", id.c_str(), readMessage(connection, Clock::now() + 3s).start.c_str());
    }

    // Returns true if the rule held.
    bool judge()
    {
        std::lock_guard lock(m_mutex);
        int late = 0;
        int lasting = 0;
        int working = 0;
        for (const auto& run : m_runs) {
            auto left = m_leftAt.find(run.id);
            if (left == m_leftAt.end())
                continue;
            auto limit = left->second + allowedTime;
            if (run.arrivedAt > limit) {
                ++late;
                continue;
            }
            bool wouldLast = run.id.starts_with("aa") && run.arrivedAt + longWork > limit;
            lasting += wouldLast ? 1 : 0;
            working += wouldLast && run.endedAt > limit ? 1 : 0;
        }
        m_record.line("%zu of %d clients left; %d requests reached an upstream over 0.5 s later; upstreams were still at work then on %d of %d that would have lasted so long",
            m_leftAt.size() / 2, leavingCount + stayingCount, late, working, lasting);
        return late <= fewRequests && 4 * working <= lasting;
    }

    Record& m_record;
    Fleet m_fleet;
    std::unique_ptr<Store> m_store;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::map<std::string, Clock::time_point> m_leftAt;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
};

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, [](Record& record) { return Case(record).run(); });
}
