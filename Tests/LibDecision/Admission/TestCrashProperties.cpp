#include <Tests/LibDecision/Admission/AdmissionRig.h>

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

constexpr Fingerprint crasher { 666, 666 };
constexpr uint32_t slots = 3;

// Several sidecars with one backend server each, which receive each other's crash reports. One request crashes every
// backend server that runs it, and its caller sends it again only after the previous one ended; other requests are
// harmless and repeat.
class CrashingFleet {
public:
    CrashingFleet()
    {
        for (auto& node : m_nodes)
            spreadReports(node, node.rig.announce("a", node.incarnation, slots));
    }

    void sendCrasher(size_t choice)
    {
        if (m_crasherNode)
            return;
        auto& node = nodeAt(choice);
        m_crasherNode = &node;
        send(node, crasher);
    }

    void sendInnocent(size_t choice, uint64_t number)
    {
        send(nodeAt(choice), { 1, 1 + number % 4 });
    }

    // Ends the oldest run of a node with an answer or, if the crashing request runs there, crashes the backend server,
    // which cuts all of its runs.
    void finish(size_t choice)
    {
        auto& node = nodeAt(choice);
        if (node.running.empty())
            return;
        bool hasCrasher = std::ranges::any_of(node.running, [&](uint64_t call) { return m_fingerprints.at(call) == crasher; });
        if (hasCrasher)
            crash(node);
        else
            end(node, *node.running.begin(), AttemptResult::Answered);
    }

    void advance(Duration duration)
    {
        for (auto& node : m_nodes)
            observe(node, node.rig.advance(duration));
    }

    size_t victims() const { return m_victims; }
    size_t innocentsRefused() const { return m_innocentsRefused; }

private:
    struct BackendNode {
        AdmissionRig rig { warmProfile() };
        uint64_t incarnation { 1 };
        std::set<uint64_t> running;
    };

    BackendNode& nodeAt(size_t choice) { return m_nodes[choice % m_nodes.size()]; }

    void send(BackendNode& node, const Fingerprint& fingerprint)
    {
        auto arrival = AdmissionRig::arrivalOf(++m_lastCall, "a");
        arrival.incarnation = Incarnation(node.incarnation);
        arrival.request.fingerprint = fingerprint;
        m_fingerprints[m_lastCall] = fingerprint;
        observe(node, node.rig.arrive(arrival));
    }

    void crash(BackendNode& node)
    {
        ++m_victims;
        while (!node.running.empty())
            end(node, *node.running.begin(), AttemptResult::ConnectionLost);
        observe(node, node.rig.announce("a", ++node.incarnation, slots));
    }

    void end(BackendNode& node, uint64_t call, AttemptResult result)
    {
        node.running.erase(call);
        RunReport report;
        report.result = result;
        report.elapsed = 25ms;
        observe(node, node.rig.finish(call, report));
    }

    void observe(BackendNode& node, const EffectList& effects)
    {
        spreadReports(node, effects);
        for (const auto& run : effectsOf<RunCall>(effects))
            node.running.insert(run.call.value());
        for (const auto& refusal : effectsOf<RefuseSidecarCall>(effects)) {
            bool isCrasher = m_fingerprints.at(refusal.call.value()) == crasher;
            if (isCrasher)
                m_crasherNode = nullptr;
            m_innocentsRefused += !isCrasher && refusal.reason == Reason::CrashSuspected ? 1 : 0;
        }
    }

    void spreadReports(BackendNode& from, const EffectList&)
    {
        for (const auto& spread : std::exchange(from.rig.rumors, {})) {
            const auto* report = std::get_if<CrashReport>(&spread.rumor);
            if (!report)
                continue;
            // All backend servers are named "a"; give each node's a distinct name in the reports.
            auto renamed = *report;
            renamed.victim = BackendId("a-" + std::to_string(&from - m_nodes.data()));
            for (auto& node : m_nodes) {
                if (&node != &from)
                    node.rig.turn([&](Turn& turn) { node.rig.crashGuard.apply(turn, renamed); });
            }
        }
    }

    std::array<BackendNode, 4> m_nodes;
    uint64_t m_lastCall { 0 };
    std::map<uint64_t, Fingerprint> m_fingerprints;
    BackendNode* m_crasherNode { nullptr };
    size_t m_victims { 0 };
    size_t m_innocentsRefused { 0 };
};

}

RC_GTEST_PROP(CrashProperties, CrashesAreLimitedToMaximumVictimsAndOtherRequestsAreNotRefused, (const std::vector<std::pair<uint8_t, uint8_t>>& steps))
{
    CrashingFleet fleet;
    for (const auto& [kind, choice] : steps) {
        fleet.advance(1ms);
        if (kind % 8 == 0)
            fleet.sendCrasher(choice);
        else if (kind % 8 <= 3)
            fleet.sendInnocent(choice, kind);
        else if (kind % 8 <= 6)
            fleet.finish(choice);
        else
            fleet.advance(Duration(1000 * choice));
    }
    RC_ASSERT(fleet.victims() <= CrashPolicy {}.maximumVictims);
    RC_ASSERT(fleet.innocentsRefused() == 0u);
}
