#include "QuotaFleet.h"

namespace Testing {

namespace {

    constexpr Duration storeTimeout = 2s;

    std::shared_ptr<const RouteTable> makeTable(uint64_t version, std::vector<Tenant> tenants)
    {
        auto table = std::make_shared<RouteTable>();
        table->version = Revision(version);
        table->tenants = std::move(tenants);
        return table;
    }

}

QuotaProcess::QuotaProcess(const MemberRecord& self, std::shared_ptr<QuotaPeers::Members> members, uint64_t seed, double clockRate)
    : m_peers(self, std::move(members))
    , m_quotas(QuotaTerms::from(quotaTerms), self, m_peers)
    , m_random(seed)
    , m_clockRate(clockRate)
{
}

Instant QuotaProcess::localTime(Instant now) const
{
    auto passed = now.time_since_epoch() - m_suspendedTime;
    return Instant(Duration(static_cast<int64_t>(static_cast<double>(passed.count()) * m_clockRate)));
}

EffectList QuotaProcess::start(Instant now)
{
    Turn turn(localTime(now), m_random, m_lastTag);
    return finish(turn);
}

EffectList QuotaProcess::setTable(Instant now, const std::shared_ptr<const RouteTable>& table)
{
    Turn turn(localTime(now), m_random, m_lastTag);
    if (table->version > m_quotas.directory().version())
        m_quotas.setTable(turn, table);
    return finish(turn);
}

EffectList QuotaProcess::handle(Instant now, const Input& input)
{
    Turn turn(localTime(now), m_random, m_lastTag);
    if (const auto* message = std::get_if<MessageReceived>(&input))
        m_quotas.receive(turn, message->message, m_suspendedTime);
    else if (const auto* call = std::get_if<CallArrived>(&input))
        receive(turn, *call);
    else if (const auto* replied = std::get_if<PlatformReplied>(&input)) {
        m_quotas.noteReply(turn, replied->reply);
        m_quotas.handleReply(turn, replied->reply);
    } else if (std::holds_alternative<LeaveRequested>(input))
        m_quotas.leave(turn);
    else if (m_quotas.nextTimer() && *m_quotas.nextTimer() <= turn.now())
        m_quotas.handleTimer(turn);
    return finish(turn);
}

void QuotaProcess::receive(Turn& turn, const CallArrived& arrived)
{
    auto call = arrived;
    call.suspendedTime = m_suspendedTime;
    if (const auto* tenant = m_quotas.find(call.request.account))
        m_quotas.arrive(turn, call, *tenant);
    else
        turn.emit(AnswerCall { call.call, {} });
}

EffectList QuotaProcess::finish(Turn& turn)
{
    for (const auto& decision : m_quotas.takeDecisions()) {
        if (decision.refusal)
            turn.emit(RefuseCall { decision.call.call, Outcome::NotRun, *decision.refusal, "quota", "", decision.retryAfter });
        else
            turn.emit(AnswerCall { decision.call.call, {} });
    }
    return turn.takeEffects();
}

std::optional<Instant> QuotaProcess::nextTimer() const
{
    auto local = m_quotas.nextTimer();
    if (!local)
        return std::nullopt;
    auto passed = static_cast<double>(local->time_since_epoch().count()) / m_clockRate;
    return Instant(Duration(static_cast<int64_t>(passed) + 1) + m_suspendedTime);
}

QuotaFleet::QuotaFleet(uint64_t seed, size_t processes, const std::vector<Tenant>& tenants, double clockDeviation)
    : m_fleet(seed)
    , m_members(std::make_shared<QuotaPeers::Members>())
    , m_generations(processes)
    , m_clockDeviation(clockDeviation)
{
    // A clock that isn't at its epoch, like a real one.
    m_fleet.runFor(100s);
    for (size_t process = 0; process < processes; ++process) {
        auto record = recordOf(process);
        m_members->live.push_back(record.instance);
        m_members->records[record.instance] = record;
    }
    m_fleet.onEffect = [this](size_t process, const Effect& effect) {
        if (const auto* answer = std::get_if<AnswerCall>(&effect)) {
            auto& call = m_calls[answer->call.value()];
            call.isPassed = true;
            call.decidedAt = m_fleet.now();
        } else if (const auto* refusal = std::get_if<RefuseCall>(&effect)) {
            auto& call = m_calls[refusal->call.value()];
            call.refusal = refusal->reason;
            call.retryAfter = refusal->retryAfter;
            call.decidedAt = m_fleet.now();
        } else if (const auto* operation = std::get_if<CallPlatform>(&effect))
            callPlatform(process, *operation);
    };
    m_table = makeTable(1, tenants);
    m_published.emplace_back(m_fleet.now(), tenants);
    for (size_t process = 0; process < processes; ++process)
        start(process);
}

MemberRecord QuotaFleet::recordOf(size_t process) const
{
    MemberRecord record;
    record.instance = InstanceId(nameOf(process));
    record.incarnation = Incarnation(1 + m_generations[process]);
    record.control = { "127.0.0.1", static_cast<uint16_t>(2000 + process) };
    return record;
}

void QuotaFleet::start(size_t process)
{
    ++m_generations[process];
    auto record = recordOf(process);
    std::uniform_real_distribution<double> deviation(-m_clockDeviation, m_clockDeviation);
    m_fleet.start(record, std::make_unique<QuotaProcess>(record, m_members, m_fleet.random()(), 1 + deviation(m_fleet.random())));
    // Every process reads the list of seeds when it starts, and learns the store's era.
    callPlatform(process, { PlatformTag(UINT64_MAX), ReadPrefix { "seeds/" } });
    m_fleet.perform(process, [&](QuotaProcess& started) { return started.setTable(m_fleet.now(), m_table); });
}

void QuotaFleet::kill(size_t process)
{
    if (!m_fleet.isRunning(process))
        return;
    m_fleet.kill(process);
    ++m_generations[process];
    std::erase(m_members->live, InstanceId(nameOf(process)));
}

void QuotaFleet::restart(size_t process)
{
    if (m_fleet.isRunning(process))
        return;
    m_members->live.emplace_back(nameOf(process));
    start(process);
}

void QuotaFleet::pause(size_t process, Duration length, bool isSuspension)
{
    // Pauses that overlap would be counted as suspended twice, and set the process's clock back.
    if (!m_fleet.isRunning(process) || m_fleet.now() < m_pausedUntil[process])
        return;
    m_pausedUntil[process] = m_fleet.now() + length;
    m_fleet.pause(process);
    m_fleet.callLater(length, [this, process, length, isSuspension, generation = m_generations[process]] {
        if (!m_fleet.isRunning(process) || m_generations[process] != generation)
            return;
        if (isSuspension)
            m_fleet.process(process).addSuspension(length);
        m_fleet.resume(process);
    });
}

void QuotaFleet::leave(size_t process)
{
    std::erase(m_members->live, InstanceId(nameOf(process)));
    m_fleet.deliver(process, LeaveRequested {});
}

void QuotaFleet::publish(const std::vector<Tenant>& tenants, Duration longestDelay)
{
    m_table = makeTable(m_table->version.value() + 1, tenants);
    m_published.emplace_back(m_fleet.now(), tenants);
    for (size_t process = 0; process < m_generations.size(); ++process) {
        auto delay = Duration(std::uniform_int_distribution<int64_t>(0, longestDelay.count())(m_fleet.random()));
        m_fleet.callLater(delay, [this, process, table = m_table] {
            if (m_fleet.isRunning(process))
                m_fleet.perform(process, [&](QuotaProcess& running) { return running.setTable(m_fleet.now(), table); });
        });
    }
}

size_t QuotaFleet::send(size_t process, const AccountId& tenant)
{
    auto number = m_calls.size();
    m_calls.push_back({ tenant, m_fleet.now() });
    CallArrived arrived;
    arrived.call = CallId(number);
    arrived.request.account = tenant;
    m_fleet.deliver(process, arrived);
    return number;
}

void QuotaFleet::offer(const AccountId& tenant, double callsPerSecond, std::vector<size_t> processes, Instant until)
{
    std::exponential_distribution<double> gap(callsPerSecond);
    auto delay = Duration(static_cast<int64_t>(gap(m_fleet.random()) * 1e6));
    m_fleet.callLater(delay, [this, tenant, callsPerSecond, processes = std::move(processes), until]() mutable {
        if (m_fleet.now() >= until)
            return;
        send(processes[std::uniform_int_distribution<size_t>(0, processes.size() - 1)(m_fleet.random())], tenant);
        offer(tenant, callsPerSecond, std::move(processes), until);
    });
}

size_t QuotaFleet::count(const AccountId& tenant, const std::function<bool(const QuotaCall&)>& isCounted) const
{
    return static_cast<size_t>(std::ranges::count_if(m_calls, [&](const QuotaCall& call) { return call.tenant == tenant && isCounted(call); }));
}

std::optional<size_t> QuotaFleet::holderOf(uint32_t partition)
{
    for (size_t process = 0; process < m_generations.size(); ++process) {
        if (m_fleet.isRunning(process) && m_fleet.process(process).quotas().holder().canGrant(m_fleet.now(), partition))
            return process;
    }
    return std::nullopt;
}

void QuotaFleet::callPlatform(size_t process, const CallPlatform& call)
{
    auto delay = [this] { return Duration(std::uniform_int_distribution<int64_t>(500, std::max<int64_t>(1000, slowestStoreCall.count()))(m_fleet.random())); };
    auto reply = [this, process, generation = m_generations[process], tag = call.tag](Duration after, PlatformReply answer) {
        answer.tag = tag;
        m_fleet.callLater(after, [this, process, generation, answer] {
            if (m_fleet.isRunning(process) && m_generations[process] == generation)
                m_fleet.deliver(process, PlatformReplied { answer });
        });
    };
    if (isStoreDown || withoutStore.contains(process))
        return reply(storeTimeout, {});
    m_fleet.callLater(delay(), [this, call, reply, delay] {
        if (isStoreDown)
            return reply(storeTimeout, {});
        auto answer = m_platform.perform(m_fleet.now(), call.operation);
        auto after = delay();
        if (after > storeTimeout || happens(lostStoreReplies))
            reply(storeTimeout, {});
        else
            reply(after, answer);
    });
}

}
