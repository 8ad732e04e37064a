#include <Utilities/fulmarctl/FleetClient.h>

#include <LibControl/JsonText.h>
#include <LibModel/Error.h>

#include <chrono>

namespace FulmarCtl {

namespace {

    constexpr auto callDeadline = std::chrono::seconds(3);
    constexpr uint64_t largestAnswer = 64u << 20;

    uint64_t unixSeconds()
    {
        return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    NodeAnswer readAnswer(const Endpoint& node, const Transport::ClientResult& result)
    {
        if (result.status != Transport::ClientStatus::Answered)
            return { node, {}, std::string(nameOf(result.status)) + ": " + result.error };
        try {
            auto body = Control::parseJson(result.response.body);
            if (result.response.status >= 400)
                return { node, {}, body["error"].isString() ? body["error"].asString() : "status " + std::to_string(result.response.status) };
            return { node, std::move(body), "" };
        } catch (const Model::Error& error) {
            return { node, {}, error.what() };
        }
    }

}

FleetClient::FleetClient(OperatorSettings settings)
    : m_settings(std::move(settings))
    , m_signer(m_settings.operatorKey)
    , m_random(std::random_device {}())
    , m_client(m_loop)
    , m_store(m_loop, { m_settings.platform })
{
}

Transport::ClientRequest FleetClient::makeRequest(const Endpoint& node, const std::string& method, const std::string& target)
{
    Transport::ClientRequest request;
    request.to = node;
    request.request.method = method;
    request.request.target = target;
    auto signature = Control::signOperatorCall(m_signer, { method, target, "" }, unixSeconds(), m_random());
    request.request.headers.push_back({ "fulmar-operator", signature });
    request.deadline = callDeadline;
    request.maximumAnswerBytes = largestAnswer;
    return request;
}

Json::Value FleetClient::call(const Endpoint& node, const std::string& method, const std::string& target)
{
    NodeAnswer answer;
    m_client.send(makeRequest(node, method, target), [&](const Transport::ClientResult& result) {
        answer = readAnswer(node, result);
        m_loop.stop();
    });
    m_loop.run();
    if (!answer.error.empty())
        throw Model::Error("call " + target, node.toString(), answer.error);
    return answer.body;
}

std::vector<NodeAnswer> FleetClient::callAll(const std::vector<Endpoint>& nodes, const std::string& target)
{
    std::vector<NodeAnswer> answers(nodes.size());
    size_t missing = nodes.size();
    for (size_t index = 0; index < nodes.size(); ++index) {
        m_client.send(makeRequest(nodes[index], "GET", target), [&, index](const Transport::ClientResult& result) {
            answers[index] = readAnswer(nodes[index], result);
            if (--missing == 0)
                m_loop.stop();
        });
    }
    if (missing > 0)
        m_loop.run();
    return answers;
}

std::vector<Endpoint> FleetClient::findNodes()
{
    std::string errors;
    for (const auto& node : m_settings.nodes) {
        try {
            auto status = call(node, "GET", "/v1/status");
            std::vector<Endpoint> nodes;
            for (const auto& member : status["members"]) {
                auto endpoint = Endpoint::parse(member["control"].asString());
                if (endpoint && member["state"].asString() != "dead")
                    nodes.push_back(*endpoint);
            }
            return nodes;
        } catch (const Model::Error& error) {
            errors += std::string(errors.empty() ? "" : "; ") + error.what();
        }
    }
    throw Model::Error("find-nodes", "all configured nodes", errors + "; check the nodes in the settings and whether they run");
}

Decision::PlatformReply FleetClient::execute(const Decision::PlatformOperation& operation)
{
    Decision::PlatformReply reply;
    m_lastTag = m_lastTag.next();
    m_store.execute(m_lastTag, operation, [&](Decision::PlatformReply received) {
        reply = std::move(received);
        m_loop.stop();
    });
    m_loop.run();
    return reply;
}

void FleetClient::sleep(Duration duration)
{
    m_loop.callAt(m_loop.now() + duration, [&] { m_loop.stop(); });
    m_loop.run();
}

}
