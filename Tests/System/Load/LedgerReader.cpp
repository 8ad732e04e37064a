#include "LedgerReader.h"

#include <LibModel/Error.h>
#include <Tests/StandIns/Json.h>

#include <algorithm>
#include <iterator>

namespace Load {

namespace {

    void addRuns(const Json::Value& json, std::unordered_map<std::string, uint32_t>& runs)
    {
        for (const auto& name : json.getMemberNames())
            runs[name] += json[name].asUInt();
    }

    std::string lastSegment(const std::string& target)
    {
        return target.substr(target.rfind('/') + 1);
    }

}

LedgerReader::LedgerReader(Transport::HttpClient& client, std::vector<Model::Endpoint> backends)
    : m_client(client)
    , m_backends(std::move(backends))
{
}

void LedgerReader::read(std::function<void(Ledger)> onDone)
{
    m_onDone = std::move(onDone);
    m_missing = m_backends.size();
    for (const auto& backend : m_backends) {
        Transport::ClientRequest request;
        request.to = backend;
        request.request.method = "GET";
        request.request.target = "/ledger";
        request.maximumAnswerBytes = 256u << 20;
        m_client.send(std::move(request), [this, backend](const Transport::ClientResult& result) { add(backend, result); });
    }
}

void LedgerReader::add(const Model::Endpoint& backend, const Transport::ClientResult& result)
{
    auto json = StandIns::parseObject(result.response.body);
    if (result.status != Transport::ClientStatus::Answered || !json)
        throw Model::Error("read-ledger", backend.toString(), result.error);

    addRuns((*json)["runs"], m_ledger.runsByFleetId);
    const auto& targets = (*json)["targets"];
    for (const auto& target : targets.getMemberNames())
        m_ledger.runsByLoadId[lastSegment(target)] += targets[target].asUInt();
    const auto& sends = (*json)["sends"];
    for (const auto& send : sends.getMemberNames()) {
        for (const auto& tenant : sends[send].getMemberNames())
            m_ledger.runsBySend[send][tenant] += sends[send][tenant].asUInt();
    }
    std::ranges::copy((*json)["leaks"].getMemberNames(), std::back_inserter(m_ledger.leaks));
    if (--m_missing == 0)
        m_onDone(std::move(m_ledger));
}

}
