#pragma once

#include "../Membership/MemberProcess.h"
#include "FakePlatform.h"

namespace Testing {

// Connects the processes of a fleet to a platform, and simulates an unreachable platform, network delay and lost
// replies. Counts the decision events of all processes.
class PlatformLink {
public:
    PlatformLink(MemberFleet& fleet, FakePlatform& platform)
        : m_fleet(fleet)
        , m_platform(platform)
    {
        fleet.onEffect = [this](size_t process, const Effect& effect) {
            if (const auto* call = std::get_if<CallPlatform>(&effect)) {
                forward(process, *call);
            } else if (const auto* explain = std::get_if<RecordDecision>(&effect)) {
                ++decisionCounts[explain->event.kind];
            }
        };
    }

    // Answers the pending watches that have seen a change. Must be called after each write that bypasses the link.
    void answerWatches()
    {
        for (auto& pending : std::exchange(m_pendingWatches, {}))
            forward(pending.process, pending.call, pending.end);
    }

    bool isDown { false };
    // Probability, 0 to 1, that a write takes effect but its reply is lost.
    double lostReplyShare { 0 };
    std::map<DecisionKind, size_t> decisionCounts;

private:
    struct PendingWatch {
        size_t process { 0 };
        CallPlatform call;
        Instant end {};
    };

    static constexpr Duration delay = 5ms;
    static constexpr Duration timeout = 2s;

    void forward(size_t process, const CallPlatform& call)
    {
        const auto* watch = std::get_if<WatchPrefix>(&call.operation);
        auto wait = watch ? watch->wait : Duration {};
        forward(process, call, m_fleet.now() + wait);
        if (watch)
            m_fleet.callLater(wait, [this] { answerWatches(); });
    }

    void forward(size_t process, const CallPlatform& call, Instant end)
    {
        if (isDown) {
            m_fleet.deliverLater(process, timeout, PlatformReplied { { .tag = call.tag, .status = PlatformStatus::NoAnswer } });
            return;
        }
        if (m_platform.mustWait(call.operation) && m_fleet.now() < end) {
            m_pendingWatches.push_back({ process, call, end });
            return;
        }
        auto writesBefore = m_platform.writes();
        auto reply = m_platform.carryOut(call.tag, call.operation);
        auto isWrite = m_platform.writes() > writesBefore;
        auto isLost = isWrite && std::uniform_real_distribution<double>(0, 1)(m_fleet.random()) < lostReplyShare;
        if (isLost)
            reply = { .tag = call.tag, .status = PlatformStatus::NoAnswer };
        m_fleet.deliverLater(process, isLost ? timeout : delay, PlatformReplied { std::move(reply) });
        if (isWrite)
            answerWatches();
    }

    MemberFleet& m_fleet;
    FakePlatform& m_platform;
    std::vector<PendingWatch> m_pendingWatches;
};

}
