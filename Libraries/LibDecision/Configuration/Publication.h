#pragma once

#include <LibDecision/PlatformOperation.h>
#include <LibModel/Profile.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace Decision {

// A profile revision that an operator wants to publish.
struct PublicationRequest {
    ProfileName name;
    std::string author;
    std::string document;
    // Unique among all publications.
    PublishId publishId;
    // The revision that the document is based on; empty for a new profile.
    std::optional<ProfileRevision> base;
    // The revision in force in the fleet, if a process could be queried. It can be newer than the platform's if the
    // platform's store was restored to older data.
    std::optional<ProfileRevision> inForce;
};

enum class PublicationState {
    // The next operation has to be carried out.
    InProgress,
    // The platform accepted the revision. Another revision may have superseded it since.
    Accepted,
    // Another publication came first. This one has not taken effect and cannot take effect later.
    Conflict,
    // The write may have taken effect or may still do so, but the platform doesn't answer.
    Unknown,
    // The revision has not taken effect and cannot: the platform didn't answer before the swap, or refused every swap.
    NotPublished,
};

}

template <>
struct Model::EnumNames<Decision::PublicationState> {
    static constexpr std::array entries {
        EnumName { Decision::PublicationState::InProgress, "in-progress" },
        EnumName { Decision::PublicationState::Accepted, "accepted" },
        EnumName { Decision::PublicationState::Conflict, "conflict" },
        EnumName { Decision::PublicationState::Unknown, "unknown" },
        EnumName { Decision::PublicationState::NotPublished, "not-published" },
    };
};

namespace Decision {

// Publishes one profile revision by compare-and-swap, as a sequence of platform operations. While state() is
// InProgress, the caller carries out operation() and passes the reply to handle().
//
//     read -> archive the current revision -> swap -> archive the new revision -> accepted
//                                              | refused or no answer
//                                              v
//                                read back -> own publish id: archive the new revision -> accepted
//                                          -> unchanged version: repeat the swap, which can't take effect twice
//                                          -> another publish id: conflict; but if a swap had no answer, search the
//                                             history for this publication
//
// The current revision is archived before it is replaced. So a publication whose reply was lost and whose revision was
// replaced immediately still finds its revision in the history.
class Publication {
public:
    // Throws DocumentError if the document is invalid.
    explicit Publication(PublicationRequest);

    PublicationState state() const { return m_state; }
    // The next operation to carry out; valid only while the state is InProgress.
    const PlatformOperation& operation() const { return m_operation; }
    void handle(const PlatformReply&);

    // The revision to publish. Its number is set once the current revision was read from the platform.
    const ProfileRevision& candidate() const { return m_candidate; }
    // If the state is Conflict: the conflicting revision, if it is known.
    const std::optional<ProfileRevision>& conflicting() const { return m_conflicting; }
    // The name of the current or last step, for messages.
    const std::string& step() const { return m_stepName; }
    // Whether the new revision is known to be in the history. An accepted revision may not be archived if the platform
    // stopped answering.
    bool isArchived() const { return m_isArchived; }

private:
    enum class Step {
        Read,
        ArchiveCurrent,
        Swap,
        ReadBack,
        ReadHistory,
        ArchiveNew,
    };

    void beginStep(Step, PlatformOperation);
    void handleRead(const PlatformReply&);
    void handleArchivedCurrent(const PlatformReply&);
    void handleSwapped(const PlatformReply&);
    void handleReadBack(const PlatformReply&);
    void handleHistory(const PlatformReply&);
    void handleArchivedNew(const PlatformReply&);
    void beginSwap();
    void repeatSwap();
    void beginArchiveNew();
    // Returns the current revision if the document is not based on it.
    std::optional<ProfileRevision> findConflict(const std::optional<ProfileRevision>& atPlatform) const;
    void finishWithConflict(std::optional<ProfileRevision>);
    void finish(PublicationState);
    // Leaves the current operation to be repeated, or finishes in the state after too many failures.
    void retryOrFinish(PublicationState);

    PublicationRequest m_request;
    ProfileRevision m_candidate;
    PublicationState m_state { PublicationState::InProgress };
    Step m_step { Step::Read };
    std::string m_stepName;
    PlatformOperation m_operation;
    PlatformVersion m_expected;
    std::optional<ProfileRevision> m_conflicting;
    uint32_t m_failures { 0 };
    uint32_t m_swapRepeats { 0 };
    // True if a swap got no answer.
    bool m_mayHaveTakenEffect { false };
    bool m_isArchived { false };
};

}
