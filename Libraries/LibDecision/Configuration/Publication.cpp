#include <LibDecision/Configuration/Publication.h>

#include <LibDecision/Configuration/ProfileRevisionText.h>
#include <LibModel/Error.h>

#include <algorithm>
#include <tuple>

namespace Decision {

namespace {

    // Maximum number of attempts of one step without an answer, and of swaps.
    constexpr uint32_t maximumAttempts = 3;

    struct StoredRevision {
        PlatformVersion version;
        // Empty if the key is missing or its value can't be decoded.
        std::optional<ProfileRevision> revision;
    };

    StoredRevision findStored(const PlatformReply& reply, const std::string& key)
    {
        auto value = std::ranges::find(reply.values, key, &KeyValue::key);
        if (value == reply.values.end())
            return {};
        try {
            return { value->version, decodeProfileRevision(value->value, key) };
        } catch (const Error&) {
            return { value->version, std::nullopt };
        }
    }

    bool isNewer(const ProfileRevision& left, const ProfileRevision& right)
    {
        return std::tie(left.revision, left.publishId) > std::tie(right.revision, right.publishId);
    }

    const std::optional<ProfileRevision>& newest(const std::optional<ProfileRevision>& left, const std::optional<ProfileRevision>& right)
    {
        if (!left || !right)
            return left ? left : right;
        return isNewer(*right, *left) ? right : left;
    }

    Revision revisionOf(const std::optional<ProfileRevision>& revision)
    {
        return revision ? revision->revision : Revision {};
    }

}

Publication::Publication(PublicationRequest request)
    : m_request(std::move(request))
    , m_candidate { m_request.name, {}, m_request.publishId, m_request.author, m_request.document }
{
    parseAndCheckProfile(m_candidate);
    beginStep(Step::Read, ReadPrefix { profileKey(m_request.name) });
}

void Publication::beginStep(Step step, PlatformOperation operation)
{
    static constexpr std::array names { "read", "archive-current", "swap", "read-back", "read-history", "archive-new" };
    m_step = step;
    m_stepName = names[static_cast<size_t>(step)];
    m_operation = std::move(operation);
    m_failures = 0;
}

void Publication::handle(const PlatformReply& reply)
{
    if (m_state != PublicationState::InProgress)
        return;
    switch (m_step) {
    case Step::Read:
        return handleRead(reply);
    case Step::ArchiveCurrent:
        return handleArchivedCurrent(reply);
    case Step::Swap:
        return handleSwapped(reply);
    case Step::ReadBack:
        return handleReadBack(reply);
    case Step::ReadHistory:
        return handleHistory(reply);
    case Step::ArchiveNew:
        return handleArchivedNew(reply);
    }
}

void Publication::handleRead(const PlatformReply& reply)
{
    if (reply.status != PlatformStatus::Done)
        return retryOrFinish(PublicationState::NotPublished);
    auto stored = findStored(reply, profileKey(m_request.name));
    if (auto other = findConflict(stored.revision))
        return finishWithConflict(std::move(other));
    m_expected = stored.version;
    m_candidate.revision = std::max({ revisionOf(stored.revision), revisionOf(m_request.base), revisionOf(m_request.inForce) }).next();
    if (!stored.revision)
        return beginSwap();
    auto key = historyKey(m_request.name, stored.revision->revision);
    beginStep(Step::ArchiveCurrent, CompareAndSwap { key, encodeProfileRevision(*stored.revision), {} });
}

std::optional<ProfileRevision> Publication::findConflict(const std::optional<ProfileRevision>& atPlatform) const
{
    const auto& current = newest(atPlatform, m_request.inForce);
    if (!current)
        return std::nullopt;
    if (!m_request.base || isNewer(*current, *m_request.base))
        return current;
    return std::nullopt;
}

void Publication::handleArchivedCurrent(const PlatformReply& reply)
{
    if (reply.status == PlatformStatus::NoAnswer)
        return retryOrFinish(PublicationState::NotPublished);
    // A refusal means that the revision is in the history already.
    beginSwap();
}

void Publication::beginSwap()
{
    beginStep(Step::Swap, CompareAndSwap { profileKey(m_request.name), encodeProfileRevision(m_candidate), m_expected });
}

void Publication::handleSwapped(const PlatformReply& reply)
{
    if (reply.status == PlatformStatus::Done)
        return beginArchiveNew();
    if (reply.status == PlatformStatus::NoAnswer)
        m_mayHaveTakenEffect = true;
    beginStep(Step::ReadBack, ReadPrefix { profileKey(m_request.name) });
}

void Publication::handleReadBack(const PlatformReply& reply)
{
    if (reply.status != PlatformStatus::Done)
        return retryOrFinish(m_mayHaveTakenEffect ? PublicationState::Unknown : PublicationState::Conflict);
    auto stored = findStored(reply, profileKey(m_request.name));
    if (stored.revision && stored.revision->publishId == m_request.publishId)
        return beginArchiveNew();
    if (stored.version == m_expected)
        return repeatSwap();
    m_conflicting = std::move(stored.revision);
    if (!m_mayHaveTakenEffect)
        return finish(PublicationState::Conflict);
    beginStep(Step::ReadHistory, ReadPrefix { historyKey(m_request.name, m_candidate.revision) });
}

void Publication::repeatSwap()
{
    // The version is still the expected one, so no earlier swap has taken effect. At most one of all swaps can.
    if (++m_swapRepeats < maximumAttempts)
        return beginSwap();
    finish(m_mayHaveTakenEffect ? PublicationState::Unknown : PublicationState::NotPublished);
}

void Publication::handleHistory(const PlatformReply& reply)
{
    if (reply.status != PlatformStatus::Done)
        return retryOrFinish(PublicationState::Unknown);
    auto archived = findStored(reply, historyKey(m_request.name, m_candidate.revision)).revision;
    if (archived && archived->publishId == m_request.publishId) {
        m_isArchived = true;
        return finish(PublicationState::Accepted);
    }
    auto isRevisionTaken = archived || (m_conflicting && m_conflicting->revision == m_candidate.revision);
    finish(isRevisionTaken ? PublicationState::Conflict : PublicationState::Unknown);
}

void Publication::beginArchiveNew()
{
    beginStep(Step::ArchiveNew, CompareAndSwap { historyKey(m_request.name, m_candidate.revision), encodeProfileRevision(m_candidate), {} });
}

void Publication::handleArchivedNew(const PlatformReply& reply)
{
    if (reply.status == PlatformStatus::NoAnswer)
        return retryOrFinish(PublicationState::Accepted);
    m_isArchived = true;
    finish(PublicationState::Accepted);
}

void Publication::finishWithConflict(std::optional<ProfileRevision> other)
{
    m_conflicting = std::move(other);
    finish(PublicationState::Conflict);
}

void Publication::retryOrFinish(PublicationState state)
{
    if (++m_failures >= maximumAttempts)
        finish(state);
}

void Publication::finish(PublicationState state)
{
    m_state = state;
}

}
