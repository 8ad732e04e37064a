#pragma once

#include <Tests/LibDecision/Admission/AdmissionRig.h>

#include <LibDecision/TimerQueue.h>

namespace Decision {

// Load that one account puts on the modelled backend server.
struct AccountLoad {
    AccountId account;
    double requestsPerSecond { 0 };
};

// Results of one account's requests.
struct AccountResult {
    uint64_t sent { 0 };
    uint64_t refused { 0 };
    // Times from arrival until the request got a slot.
    std::vector<Duration> waits;
};

// Returns a random time until the account's next request; the requests form a Poisson process.
inline Duration poissonGap(std::mt19937_64& random, const AccountLoad& load)
{
    std::exponential_distribution<double> gap(load.requestsPerSecond);
    return Duration(1 + static_cast<int64_t>(gap(random) * 1e6));
}

// Simulates one backend server with a fixed service time behind SidecarAdmission, with Poisson arrivals from several
// accounts.
class OverloadModel {
public:
    static constexpr uint32_t slots = 3;
    static constexpr Duration serviceTime = 25ms;

    // Requests per second that the backend server can serve.
    static constexpr double capacity() { return slots / std::chrono::duration<double>(serviceTime).count(); }

    OverloadModel(Profile profile, uint64_t seed, bool takesTurns = false)
        : m_rig(std::move(profile))
        , m_random(seed)
    {
        m_rig.admission.takeTurns(takesTurns);
        m_rig.announce("a", 1, slots);
    }

    std::map<AccountId, AccountResult> run(const std::vector<AccountLoad>& loads, Duration length)
    {
        auto end = m_rig.now + length;
        std::ranges::for_each(loads, [&](const AccountLoad& load) { m_arrivals.emplace(m_rig.now + poissonGap(m_random, load), &load); });
        while (!m_arrivals.empty() && m_arrivals.begin()->first < end)
            step();
        return std::move(m_results);
    }

private:
    void step()
    {
        auto next = m_rig.nextTimer();
        auto arrivalAt = m_arrivals.begin()->first;
        auto finishAt = m_finishes.empty() ? std::optional<Instant> {} : m_finishes.begin()->first;
        auto now = *earliest(earliest(next, finishAt), arrivalAt);
        m_rig.now = std::max(m_rig.now, now);
        if (finishAt && *finishAt <= now) {
            finish();
        } else if (next && *next <= now) {
            fireTimers();
        } else {
            arrive();
        }
    }

    void finish()
    {
        auto call = m_finishes.begin()->second;
        m_finishes.erase(m_finishes.begin());
        RunReport report;
        report.status = 200;
        report.elapsed = serviceTime;
        observe(m_rig.finish(call.value(), report));
    }

    void fireTimers()
    {
        // Whichever timer is due, the backend server renews its announcement first, so that it never lapses.
        observe(m_rig.announce("a", 1, slots));
        observe(m_rig.fireTimers());
    }

    void arrive()
    {
        const auto* load = m_arrivals.begin()->second;
        m_arrivals.erase(m_arrivals.begin());
        m_arrivals.emplace(m_rig.now + poissonGap(m_random, *load), load);
        auto arrival = AdmissionRig::arrivalOf(++m_lastCall, "a", load->account.value());
        m_pending.emplace(arrival.call, Pending { load->account, m_rig.now });
        ++m_results[load->account].sent;
        observe(m_rig.arrive(arrival));
    }

    void observe(const EffectList& effects)
    {
        for (const auto& run : effectsOf<RunCall>(effects)) {
            const auto& pending = m_pending.at(run.call);
            m_results[pending.account].waits.push_back(m_rig.now - pending.arrivedAt);
            m_finishes.emplace(m_rig.now + serviceTime, run.call);
        }
        for (const auto& refusal : effectsOf<RefuseSidecarCall>(effects))
            ++m_results[m_pending.at(refusal.call).account].refused;
    }

    struct Pending {
        AccountId account;
        Instant arrivedAt;
    };

    AdmissionRig m_rig;
    std::mt19937_64 m_random;
    uint64_t m_lastCall { 0 };
    std::multimap<Instant, const AccountLoad*> m_arrivals;
    std::multimap<Instant, SidecarCallId> m_finishes;
    std::map<SidecarCallId, Pending> m_pending;
    std::map<AccountId, AccountResult> m_results;
};

// Returns the loads of one account "clerk" and of busy accounts that each send a thousand times as much. The busy
// accounts together send the given multiple of the capacity.
inline std::vector<AccountLoad> clerkAmongBusyAccounts(double overload, int busyAccounts)
{
    double perAccount = overload * OverloadModel::capacity() / busyAccounts;
    std::vector<AccountLoad> loads { { AccountId("clerk"), perAccount / 1000 } };
    for (int number = 0; number < busyAccounts; ++number)
        loads.push_back({ AccountId("busy-" + std::to_string(number)), perAccount });
    return loads;
}

}
