#pragma once

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>

namespace StandIns {

// Counts how often each request was run, so that a test can find requests that ran twice or not at all.
class RunLedger {
public:
    void recordRun(const std::string& requestId, const std::string& target)
    {
        ++m_runs[requestId];
        ++m_targets[target];
    }
    // Notes a run under the caller's id of the send, with the tenant's name that arrived; empty if none did.
    void recordSend(const std::string& sendId, const std::string& tenant) { ++m_sends[sendId][tenant]; }
    // Notes a request that carried a secret of its caller.
    void recordLeak(const std::string& target) { ++m_leaks[target]; }
    uint32_t runsOf(const std::string& requestId) const;
    size_t distinctRequests() const { return m_runs.size(); }
    uint64_t totalRuns() const;
    // {"total": n, "distinct": n, "runs": {"<request id>": n, ...}, "targets": {"<target>": n, ...},
    // "sends": {"<send id>": {"<tenant>": n, ...}, ...}, "leaks": {"<target>": n, ...}}
    Json::Value toJson() const;

private:
    std::map<std::string, uint32_t> m_runs;
    std::map<std::string, uint32_t> m_targets;
    std::map<std::string, std::map<std::string, uint32_t>> m_sends;
    std::map<std::string, uint32_t> m_leaks;
};

}
