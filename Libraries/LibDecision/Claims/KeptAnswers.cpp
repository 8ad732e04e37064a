#include <LibDecision/Claims/KeptAnswers.h>

namespace Decision {

KeptAnswers::KeptAnswers(size_t maximumAnswers)
    : m_maximumAnswers(maximumAnswers)
{
}

KeptAnswers::ServiceKey KeptAnswers::keyOf(const RequestInfo& request)
{
    return { request.service, { request.account, request.key.value_or(IdempotencyKey()) } };
}

void KeptAnswers::keep(Turn& turn, SidecarCallId call, const RequestInfo& request, Instant until)
{
    auto key = keyOf(request);
    if (auto earlier = m_calls.find(key); earlier != m_calls.end())
        forget(turn, earlier->second);
    if (m_answers.size() >= m_maximumAnswers)
        forget(turn, m_answers.begin()->first);

    m_calls.emplace(key, call);
    m_answers.emplace(call, Answer { key, request.fingerprint });
    m_expiries.set(call, until);
    turn.emit(KeepAnswer { call });
}

std::optional<SidecarCallId> KeptAnswers::find(const RequestInfo& request) const
{
    if (!request.key)
        return std::nullopt;
    auto call = m_calls.find(keyOf(request));
    if (call == m_calls.end() || m_answers.at(call->second).fingerprint != request.fingerprint)
        return std::nullopt;
    return call->second;
}

void KeptAnswers::handleTimer(Turn& turn)
{
    for (auto call : m_expiries.takeDue(turn.now()))
        forget(turn, call);
}

void KeptAnswers::forget(Turn& turn, SidecarCallId call)
{
    auto answer = m_answers.find(call);
    if (answer == m_answers.end())
        return;
    m_calls.erase(answer->second.key);
    m_answers.erase(answer);
    m_expiries.cancel(call);
    turn.emit(ForgetAnswer { call });
}

}
