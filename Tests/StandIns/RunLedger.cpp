#include <Tests/StandIns/RunLedger.h>

#include <numeric>

namespace StandIns {

static Json::Value countsToJson(const std::map<std::string, uint32_t>& counts)
{
    Json::Value json(Json::objectValue);
    for (const auto& [name, count] : counts)
        json[name] = count;
    return json;
}

uint32_t RunLedger::runsOf(const std::string& requestId) const
{
    auto entry = m_runs.find(requestId);
    return entry == m_runs.end() ? 0 : entry->second;
}

uint64_t RunLedger::totalRuns() const
{
    return std::accumulate(m_runs.begin(), m_runs.end(), uint64_t { 0 }, [](uint64_t sum, const auto& entry) { return sum + entry.second; });
}

Json::Value RunLedger::toJson() const
{
    Json::Value result;
    result["total"] = Json::UInt64(totalRuns());
    result["distinct"] = Json::UInt64(distinctRequests());
    result["runs"] = countsToJson(m_runs);
    result["targets"] = countsToJson(m_targets);
    result["sends"] = Json::Value(Json::objectValue);
    for (const auto& [id, runsByTenant] : m_sends)
        result["sends"][id] = countsToJson(runsByTenant);
    result["leaks"] = countsToJson(m_leaks);
    return result;
}

}
