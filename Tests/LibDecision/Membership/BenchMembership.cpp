#include "MemberProcess.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>

using namespace Testing;

namespace {

constexpr size_t zones = 15;
constexpr size_t regions = 6;
constexpr double backendsPerNode = 14'000.0 / 1'500;

struct Traffic {
    double messages { 0 };
    double bytes { 0 };
};

Traffic totalTraffic(MemberFleet& fleet)
{
    Traffic traffic;
    for (size_t index = 0; index < fleet.size(); ++index) {
        if (!fleet.isRunning(index))
            continue;
        const auto& counters = fleet.process(index).membership().counters();
        traffic.messages += static_cast<double>(counters.messagesSent + counters.messagesReceived);
        traffic.bytes += static_cast<double>(counters.bytesSent + counters.bytesReceived);
    }
    return traffic;
}

BackendRecord backend(size_t node, size_t number, uint64_t version, const MemberRecord& sidecar)
{
    BackendRecord record;
    record.id = BackendId("backend-" + std::to_string(node) + "-" + std::to_string(number));
    record.service = ServiceName("service-" + std::to_string((node * 9 + number) % 520));
    record.profile = ProfileName("commission-desk");
    record.sidecar = sidecar.instance;
    record.sidecarIncarnation = sidecar.incarnation;
    record.incarnation = Incarnation(1);
    record.version = version;
    record.slots = 3;
    return record;
}

class Bench {
public:
    Bench(size_t nodes, double loss)
        : m_nodes(nodes)
        , m_layout { zones, regions }
        , m_fleet(nodes)
    {
        m_fleet.faults.loss = loss;
        m_fleet.faults.minimumDelay = 1ms;
        m_fleet.faults.maximumDelay = 40ms;
        m_fleet.onEffect = [&](size_t, const Effect& effect) { countDecision(effect); };
    }

    void run()
    {
        startAll();
        measure("quiet", 20s, [] {});
        measureProfileChange();
        measure("restarts*10", 30s, [&] { restartProcesses(); });
        measureProfileChange();
        measureZoneLoss();
        std::printf("%5zu nodes  suspected %zu, dead %zu (restarts %zu), refuted %zu\n", m_nodes, m_suspected, m_dead, m_restartsDone, m_refuted);
        std::fflush(stdout);
    }

private:
    // Every process starts with all records, as after its first sync, so that the measurement needn't wait for it.
    void startAll()
    {
        auto memoryBefore = mallinfo2().uordblks;
        auto wallBegin = std::chrono::steady_clock::now();
        SyncRecords everything;
        for (size_t node = 0; node < m_nodes; ++node) {
            auto sidecar = m_layout.record(node, incarnationsPerStart);
            everything.records.emplace_back(sidecar);
            for (size_t number = 0; number < backendCount(node); ++number)
                everything.records.emplace_back(backend(node, number, 1, sidecar));
        }
        for (size_t node = 0; node < m_nodes; ++node) {
            startMember(m_fleet, m_layout, node, 1);
            auto seed = m_layout.record(0, incarnationsPerStart);
            m_fleet.deliver(node, MessageReceived { { seed.instance, seed.incarnation, seed.control, everything } });
        }
        auto settled = m_fleet.runUntil(300s, 10s, [&] { return nothingQueued() && m_fleet.now() > Instant(60s); });
        std::chrono::duration<double> wall = std::chrono::steady_clock::now() - wallBegin;
        auto memory = static_cast<double>(mallinfo2().uordblks - memoryBefore) / static_cast<double>(m_nodes);
        std::printf("%5zu nodes  %zu records each, settled after %.0f s; %.2f MB per node (including the test's own map); wall %.0f s\n",
            m_nodes, everything.records.size(), seconds(settled), memory / 1e6, wall.count());
        std::fflush(stdout);
    }

    size_t backendCount(size_t node) const
    {
        auto upTo = [](size_t count) { return static_cast<size_t>(static_cast<double>(count) * backendsPerNode); };
        return upTo(node + 1) - upTo(node);
    }

    void announce(size_t node, size_t number, uint64_t version, Urgency urgency)
    {
        auto record = backend(node, number, version, m_fleet.record(node));
        record.phase = urgency == Urgency::Immediate ? BackendPhase::Draining : BackendPhase::Serving;
        m_fleet.perform(node, [&](MemberProcess& process) { return process.announce(m_fleet.now(), record, urgency); });
    }

    bool nothingQueued()
    {
        for (size_t index = 0; index < m_nodes; ++index) {
            if (m_fleet.process(index).membership().queuedBytes() > 0)
                return false;
        }
        return true;
    }

    // Restarts processes at ten times the rate expected for the fleet size in two years, which is 4,800 restarts a day
    // for 1,500 nodes, scaled to the number of nodes.
    void restartProcesses()
    {
        constexpr double restartsPerNodeAndSecond = 10 * 4'800.0 / 86'400 / 1'500;
        m_dueRestarts += restartsPerNodeAndSecond * static_cast<double>(m_nodes);
        while (m_dueRestarts >= 1) {
            m_dueRestarts -= 1;
            restart(std::uniform_int_distribution<size_t>(0, m_nodes - 1)(m_fleet.random()));
        }
    }

    void restart(size_t node)
    {
        ++m_restartsBegun;
        m_fleet.deliver(node, LeaveRequested {});
        for (size_t number = 0; number < backendCount(node); ++number)
            announce(node, number, m_restartsBegun * 10, Urgency::Immediate);
        m_fleet.callLater(3s, [this, node, version = m_restartsBegun * 10 + 1] {
            ++m_restartsDone;
            startMember(m_fleet, m_layout, node, version);
            for (size_t number = 0; number < backendCount(node); ++number)
                announce(node, number, version, Urgency::Piggyback);
        });
    }

    template <typename Action>
    void measure(const char* name, std::chrono::seconds length, const Action& eachSecond)
    {
        auto before = totalTraffic(m_fleet);
        auto wallBegin = std::chrono::steady_clock::now();
        for (auto second = 0s; second < length; ++second) {
            eachSecond();
            m_fleet.runFor(1s);
        }
        std::chrono::duration<double> wall = std::chrono::steady_clock::now() - wallBegin;
        auto after = totalTraffic(m_fleet);
        auto nodeSeconds = static_cast<double>(m_nodes) * static_cast<double>(length.count());
        std::printf("%5zu nodes  %-11s %7.0f bytes, %5.1f messages per node and second (sent and received); %6.1f us per node and second, including the simulation\n",
            m_nodes, name, (after.bytes - before.bytes) / nodeSeconds, (after.messages - before.messages) / nodeSeconds, wall.count() * 1e6 / nodeSeconds);
        std::fflush(stdout);
    }

    void measureProfileChange()
    {
        constexpr uint64_t changes = 10;
        Duration slowest { 0 };
        auto before = totalTraffic(m_fleet);
        for (uint64_t change = 1; change <= changes; ++change) {
            auto revision = revisionOf(++m_lastRevision);
            m_fleet.perform(0, [&](MemberProcess& process) { return process.applyRevision(m_fleet.now(), revision); });
            auto taken = m_fleet.runUntil(60s, 20ms, [&] { return inForceEverywhere(revision); });
            slowest = std::max(slowest, taken.value_or(60s));
            m_fleet.runFor(2s);
        }
        auto after = totalTraffic(m_fleet);
        std::printf("%5zu nodes  change: in force everywhere after %.2f s, the longest of %llu; %.0f bytes per node and change, including probes\n",
            m_nodes, seconds(slowest), static_cast<unsigned long long>(changes), (after.bytes - before.bytes) / static_cast<double>(m_nodes) / changes);
        std::fflush(stdout);
    }

    // Kills all processes of one availability zone at once.
    void measureZoneLoss()
    {
        size_t lost = 0;
        for (size_t index = 0; index < m_nodes; index += zones) {
            m_fleet.kill(index);
            ++lost;
        }
        auto before = totalTraffic(m_fleet);
        auto taken = m_fleet.runUntil(300s, 500ms, [&] { return liveEverywhere(m_nodes - lost); });
        auto after = totalTraffic(m_fleet);
        auto nodeSeconds = static_cast<double>(m_nodes - lost) * std::max(seconds(taken), 1.0);
        std::printf("%5zu nodes  zone lost: %zu dead members agreed on after %.1f s; %.0f bytes per node and second meanwhile\n", m_nodes, lost, seconds(taken), (after.bytes - before.bytes) / nodeSeconds);
        std::fflush(stdout);
    }

    bool liveEverywhere(size_t count)
    {
        for (size_t index = 0; index < m_nodes; ++index) {
            if (m_fleet.isRunning(index) && m_fleet.process(index).membership().liveMembers().size() != count)
                return false;
        }
        return true;
    }

    static ProfileRevision revisionOf(uint64_t number)
    {
        Profile profile;
        profile.name = ProfileName("commission-desk");
        return { profile.name, Revision(number), PublishId("publish-" + std::to_string(number)), "operator", formatProfile(profile) };
    }

    bool inForceEverywhere(const ProfileRevision& revision)
    {
        for (size_t index = 0; index < m_nodes; ++index) {
            if (m_fleet.process(index).profiles().revision(revision.name) < revision.revision)
                return false;
        }
        return true;
    }

    void countDecision(const Effect& effect)
    {
        const auto* explain = std::get_if<RecordDecision>(&effect);
        if (!explain)
            return;
        m_suspected += explain->event.kind == DecisionKind::MemberSuspected;
        m_dead += explain->event.kind == DecisionKind::MemberDead;
        m_refuted += explain->event.kind == DecisionKind::MemberRefuted && explain->event.step == "refute";
    }

    static double seconds(std::optional<Duration> duration) { return duration ? std::chrono::duration<double>(*duration).count() : -1; }

    size_t m_nodes;
    FleetLayout m_layout;
    MemberFleet m_fleet;
    double m_dueRestarts { 0 };
    uint64_t m_lastRevision { 0 };
    uint64_t m_restartsBegun { 0 };
    size_t m_restartsDone { 0 };
    size_t m_suspected { 0 };
    size_t m_dead { 0 };
    size_t m_refuted { 0 };
};

}

// Usage: BenchMembership NODES [LOSS]
int main(int argc, char** argv)
{
    auto nodes = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 100;
    auto loss = argc > 2 ? std::strtod(argv[2], nullptr) : 0;
    Bench(nodes, loss).run();
}
