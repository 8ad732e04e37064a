#pragma once

#include <Tests/LibDecision/Admission/OverloadModel.h>

#include <algorithm>
#include <deque>

namespace Decision {

// Baseline for comparison: one backend server behind a FIFO queue with the same length and timeout.
class FifoModel {
public:
    FifoModel(const Profile& profile, uint64_t seed)
        : m_capacity(profile.capacity)
        , m_random(seed)
    {
    }

    std::map<AccountId, AccountResult> run(const std::vector<AccountLoad>& loads, Duration length)
    {
        std::multimap<Instant, const AccountLoad*> arrivals;
        for (const auto& load : loads)
            arrivals.emplace(Instant {} + poissonGap(m_random, load), &load);
        while (arrivals.begin()->first < Instant {} + length) {
            auto [at, load] = *arrivals.begin();
            arrivals.erase(arrivals.begin());
            arrivals.emplace(at + poissonGap(m_random, *load), load);
            serveUntil(at);
            arrive(at, load->account);
        }
        return std::move(m_results);
    }

private:
    struct Waiting {
        AccountId account;
        Instant since;
    };

    void arrive(Instant now, const AccountId& account)
    {
        ++m_results[account].sent;
        std::erase_if(m_queue, [&](const Waiting& waiting) { return isLate(waiting, now); });
        if (m_busyUntil.size() < OverloadModel::slots)
            start({ account, now }, now);
        else if (m_queue.size() < m_capacity.queueLength)
            m_queue.push_back({ account, now });
        else
            ++m_results[account].refused;
    }

    void serveUntil(Instant now)
    {
        while (!m_busyUntil.empty() && *m_busyUntil.begin() <= now) {
            auto freeAt = *m_busyUntil.begin();
            m_busyUntil.erase(m_busyUntil.begin());
            std::erase_if(m_queue, [&](const Waiting& waiting) { return isLate(waiting, freeAt); });
            if (m_queue.empty())
                continue;
            start(m_queue.front(), freeAt);
            m_queue.pop_front();
        }
    }

    void start(const Waiting& waiting, Instant now)
    {
        m_results[waiting.account].waits.push_back(now - waiting.since);
        m_busyUntil.insert(now + OverloadModel::serviceTime);
    }

    bool isLate(const Waiting& waiting, Instant now)
    {
        bool isLate = now - waiting.since >= m_capacity.queueTimeout;
        m_results[waiting.account].refused += isLate ? 1 : 0;
        return isLate;
    }

    CapacityPolicy m_capacity;
    std::mt19937_64 m_random;
    std::deque<Waiting> m_queue;
    std::multiset<Instant> m_busyUntil;
    std::map<AccountId, AccountResult> m_results;
};

}
