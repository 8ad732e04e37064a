#pragma once

#include <LibModel/StrongTypes.h>

namespace Model {

// Names one process of the fleet; unique in the fleet, from the settings.
using InstanceId = StrongString<struct InstanceIdTag>;
using ZoneName = StrongString<struct ZoneNameTag>;
using RegionName = StrongString<struct RegionNameTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
// Names one backend server; unique in the fleet, chosen by the backend server when it announces itself.
using BackendId = StrongString<struct BackendIdTag>;
using ProfileName = StrongString<struct ProfileNameTag>;
// Names a caller's account for fair share. Callers without one are told apart by their address.
using AccountId = StrongString<struct AccountIdTag>;
// The value of an Idempotency-Key header.
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;
// Identifies one caller's request across every process that handles it.
using RequestId = StrongString<struct RequestIdTag>;
// Identifies one publication of a profile, so that a publisher can recognise its own write.
using PublishId = StrongString<struct PublishIdTag>;

// Grows each time that a process or a backend server starts anew.
using Incarnation = StrongNumber<struct IncarnationTag>;
// Counts the accepted versions of one profile; the first is 1.
using Revision = StrongNumber<struct RevisionTag>;
// Identifies a caller's request inside the process that took it.
using CallId = StrongNumber<struct CallIdTag>;
// Identifies a request inside the process that stands before its backend server.
using SidecarCallId = StrongNumber<struct SidecarCallIdTag>;
// Identifies one send of a call by an ingress to a sidecar.
using AttemptId = StrongNumber<struct AttemptIdTag>;
// Fences claim holders: grows with each change of a partition's holder.
using ClaimEpoch = StrongNumber<struct ClaimEpochTag>;

}
