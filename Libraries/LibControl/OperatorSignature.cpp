#include <LibControl/OperatorSignature.h>

#include <LibControl/ControlError.h>

#include <charconv>

namespace Control {

namespace {

    constexpr std::string_view operatorPurpose = "fulmar-operator-1";
    constexpr uint64_t maximumClockSkewSeconds = 300;
    // Limits the memory for the signatures of accepted calls. At the limit, new calls are refused, because their
    // replays couldn't be detected.
    constexpr size_t maximumSeenCalls = 100'000;

    std::string signedText(const OperatorCall& call, std::string_view seconds, std::string_view nonce)
    {
        std::string text;
        for (std::string_view part : { std::string_view(call.method), std::string_view(call.target), seconds, nonce }) {
            text += part;
            text += '\n';
        }
        return text + call.body;
    }

}

std::string signOperatorCall(const Signer& signer, const OperatorCall& call, uint64_t unixSeconds, uint64_t nonce)
{
    auto seconds = std::to_string(unixSeconds);
    auto nonceText = std::to_string(nonce);
    return seconds + "." + nonceText + "." + signer.sign(operatorPurpose, signedText(call, seconds, nonceText));
}

OperatorGate::OperatorGate(const std::string& operatorKey)
    : m_signer(operatorKey)
{
}

void OperatorGate::check(const OperatorCall& call, std::string_view headerValue, uint64_t unixSeconds)
{
    auto firstDot = headerValue.find('.');
    auto secondDot = headerValue.find('.', firstDot + 1);
    if (firstDot == std::string_view::npos || secondDot == std::string_view::npos)
        throw ControlError(Refusal::BadSignature, "operator", "the header fulmar-operator is missing or malformed");

    auto secondsText = headerValue.substr(0, firstDot);
    auto nonce = headerValue.substr(firstDot + 1, secondDot - firstDot - 1);
    std::string signature(headerValue.substr(secondDot + 1));
    if (!m_signer.isValid(operatorPurpose, signedText(call, secondsText, nonce), signature))
        throw ControlError(Refusal::BadSignature, "operator", "signed with another key, or changed on the way");

    uint64_t seconds = 0;
    std::from_chars(secondsText.data(), secondsText.data() + secondsText.size(), seconds);
    auto skew = seconds > unixSeconds ? seconds - unixSeconds : unixSeconds - seconds;
    if (skew > maximumClockSkewSeconds)
        throw ControlError(Refusal::Replayed, "operator", "signed " + std::to_string(skew) + " s away from this process's clock");

    removeExpiredCalls(unixSeconds);
    if (m_seen.size() >= maximumSeenCalls || !m_seenSignatures.insert(signature).second)
        throw ControlError(Refusal::Replayed, "operator", "the call was made before");
    m_seen.push_back({ seconds, std::move(signature) });
}

void OperatorGate::removeExpiredCalls(uint64_t unixSeconds)
{
    // The signing time of a call may be ahead of the local clock by the maximum skew, and the signature is valid until
    // the maximum skew after the signing time, so signatures are kept for twice the maximum skew.
    while (!m_seen.empty() && m_seen.front().seconds + 2 * maximumClockSkewSeconds < unixSeconds) {
        m_seenSignatures.erase(m_seen.front().signature);
        m_seen.pop_front();
    }
}

}
