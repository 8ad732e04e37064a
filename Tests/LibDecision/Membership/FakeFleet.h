#pragma once

#include <LibDecision/Effect.h>
#include <LibDecision/Input.h>

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace Testing {

using namespace Decision;
using namespace std::chrono_literals;

// A process that the fleet can run: the whole decision core, or some of its components behind the same interface.
template <typename Process>
concept CoreProcess = requires(Process process, Instant now, const Input& input)
{
    {
        process.start(now)
        } -> std::same_as<EffectList>;
    {
        process.handle(now, input)
        } -> std::same_as<EffectList>;
    {
        process.nextTimer()
        } -> std::same_as<std::optional<Instant>>;
};

struct NetworkFaults {
    // Probabilities for each message, 0 to 1.
    double loss { 0 };
    double duplication { 0 };
    Duration minimumDelay { 500us };
    // Delays are uniformly distributed between the minimum and the maximum, so messages may arrive out of order.
    Duration maximumDelay { 2ms };
    // Probability, 0 to 1, that a message is delayed by up to slowDelay more, as by a retransmitted SYN. It reaches the process
    // that is there when it arrives, which may have started since the message was sent.
    double slowShare { 0 };
    Duration slowDelay { 4s };
};

// Simulates many processes in one thread with a simulated clock and network. The same seed gives the same run.
template <CoreProcess Process>
class FakeFleet {
public:
    using EffectHandler = std::function<void(size_t process, const Effect&)>;
    using Cut = std::function<bool(size_t from, size_t to)>;

    explicit FakeFleet(uint64_t seed)
        : m_random(seed)
    {
    }

    // Adds a process, or replaces the one with the same control endpoint. Returns its index.
    size_t start(const MemberRecord& record, std::unique_ptr<Process> process)
    {
        auto [item, isNew] = m_byControl.try_emplace(record.control, m_slots.size());
        if (isNew)
            m_slots.emplace_back();
        auto index = item->second;
        auto& slot = m_slots[index];
        ++slot.generation;
        slot.record = record;
        slot.process = std::move(process);
        slot.isPaused = false;
        slot.suspendedSince.reset();
        slot.suspendedTime = Duration(0);
        slot.backlog.clear();
        applyEffects(index, slot.process->start(m_now));
        return index;
    }

    void kill(size_t index)
    {
        clearTimer(index);
        m_slots[index].process.reset();
    }

    // Until resume(), inputs are queued and timers are delayed.
    void pause(size_t index) { m_slots[index].isPaused = true; }

    // As pause(), but the process's steady clock stands still until resume(), as on a suspended machine.
    void suspend(size_t index)
    {
        pause(index);
        m_slots[index].suspendedSince = m_now;
    }

    void resume(size_t index)
    {
        auto& slot = m_slots[index];
        slot.isPaused = false;
        if (auto since = std::exchange(slot.suspendedSince, {})) {
            slot.suspendedTime += m_now - *since;
            deliver(index, SuspensionObserved { slot.suspendedTime });
        }
        fireTimer(index);
        for (const auto& input : std::exchange(slot.backlog, {}))
            deliver(index, input);
    }

    void deliver(size_t index, const Input& input)
    {
        auto& slot = m_slots[index];
        if (!slot.process)
            return;
        if (slot.isPaused) {
            slot.backlog.push_back(input);
            return;
        }
        applyEffects(index, slot.process->handle(localNow(index), input));
    }

    // The instant on the process's steady clock.
    Instant localNow(size_t index) const { return m_now - m_slots[index].suspendedTime; }
    bool isPaused(size_t index) const { return m_slots[index].isPaused; }

    // Runs an action of the process that no input triggers, such as announcing a record of its own, and applies its
    // effects.
    template <typename Action>
    void perform(size_t index, const Action& action)
    {
        applyEffects(index, action(*m_slots[index].process));
    }

    // Delivers the input to the process after the delay, unless the process is killed or replaced before.
    void deliverLater(size_t index, Duration delay, Input input)
    {
        m_events.push({ m_now + delay, ++m_lastEvent, index, m_slots[index].generation, std::make_shared<Input>(std::move(input)), {} });
    }

    void callLater(Duration delay, std::function<void()> action) { m_events.push({ m_now + delay, ++m_lastEvent, 0, 0, nullptr, std::move(action) }); }

    void runFor(Duration duration)
    {
        auto end = m_now + duration;
        while (step(end)) { }
        m_now = end;
    }

    // Runs until the condition holds, which is checked once per interval. Returns the time that took, or std::nullopt
    // if the condition doesn't hold within the bound.
    std::optional<Duration> runUntil(Duration bound, Duration interval, const std::function<bool()>& condition)
    {
        auto begin = m_now;
        while (m_now - begin < bound) {
            if (condition())
                return m_now - begin;
            runFor(interval);
        }
        return condition() ? std::optional(m_now - begin) : std::nullopt;
    }

    Instant now() const { return m_now; }
    size_t size() const { return m_slots.size(); }
    bool isRunning(size_t index) const { return m_slots[index].process != nullptr; }
    Process& process(size_t index) { return *m_slots[index].process; }
    const MemberRecord& record(size_t index) const { return m_slots[index].record; }
    std::mt19937_64& random() { return m_random; }

    NetworkFaults faults;
    // Returns true for the messages to drop. If empty, none are dropped.
    Cut cut;
    // Returns true for the messages to drop, by what they carry. If empty, none are dropped.
    std::function<bool(const SendMessage&)> loses;
    // Called with every effect except SendMessage.
    EffectHandler onEffect;
    // Called with each message before any network fault is applied.
    std::function<void(size_t from, const SendMessage&)> onSend;

private:
    // Processes count their generations from 1.
    static constexpr uint32_t anyGeneration = 0;

    struct Slot {
        MemberRecord record;
        std::unique_ptr<Process> process;
        uint32_t generation { 0 };
        bool isPaused { false };
        std::optional<Instant> suspendedSince;
        Duration suspendedTime { 0 };
        std::vector<Input> backlog;
        std::optional<Instant> timer;
    };
    struct Event {
        Instant at {};
        uint64_t sequence { 0 };
        size_t target { 0 };
        uint32_t generation { 0 };
        std::shared_ptr<Input> input;
        std::function<void()> action;

        bool operator<(const Event& other) const { return std::tie(other.at, other.sequence) < std::tie(at, sequence); }
    };

    bool step(Instant end)
    {
        auto timer = m_timers.empty() ? Instant::max() : m_timers.begin()->first;
        auto event = m_events.empty() ? Instant::max() : m_events.top().at;
        if (std::min(timer, event) > end)
            return false;
        m_now = std::max(m_now, std::min(timer, event));
        if (timer > event) {
            takeEvent();
            return true;
        }
        fireTimer(m_timers.begin()->second);
        return true;
    }

    void takeEvent()
    {
        auto event = m_events.top();
        m_events.pop();
        if (event.action)
            return event.action();
        if (event.generation == anyGeneration || m_slots[event.target].generation == event.generation)
            deliver(event.target, *event.input);
    }

    void fireTimer(size_t index)
    {
        clearTimer(index);
        auto& slot = m_slots[index];
        if (slot.process && !slot.isPaused)
            applyEffects(index, slot.process->handle(localNow(index), TimerFired {}));
    }

    void clearTimer(size_t index)
    {
        auto& slot = m_slots[index];
        if (slot.timer)
            m_timers.erase({ *slot.timer, index });
        slot.timer.reset();
    }

    void applyEffects(size_t index, EffectList effects)
    {
        for (auto& effect : effects) {
            if (auto* message = std::get_if<SendMessage>(&effect)) {
                send(index, *message);
                continue;
            }
            if (onEffect)
                onEffect(index, effect);
        }
        auto& slot = m_slots[index];
        if (!slot.process)
            return;
        clearTimer(index);
        slot.timer = slot.process->nextTimer();
        if (slot.timer)
            *slot.timer += slot.suspendedTime;
        if (slot.timer)
            m_timers.insert({ *slot.timer, index });
    }

    void send(size_t from, SendMessage& message)
    {
        if (onSend)
            onSend(from, message);
        auto target = m_byControl.find(message.to);
        if (target == m_byControl.end() || (cut && cut(from, target->second)) || (loses && loses(message)) || happens(faults.loss))
            return;
        const auto& record = m_slots[from].record;
        Message received { record.instance, record.incarnation, record.control, std::move(message.body) };
        if constexpr (requires { m_slots[from].process->routesVersion(); })
            received.routesVersion = m_slots[from].process->routesVersion();
        auto input = std::make_shared<Input>(MessageReceived { std::move(received) });
        auto copies = happens(faults.duplication) ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            bool isSlow = happens(faults.slowShare);
            auto added = isSlow ? Duration(std::uniform_int_distribution<int64_t>(0, faults.slowDelay.count())(m_random)) : Duration::zero();
            auto generation = isSlow ? anyGeneration : m_slots[target->second].generation;
            m_events.push({ m_now + delay() + added, ++m_lastEvent, target->second, generation, input, {} });
        }
    }

    Duration delay()
    {
        return Duration(std::uniform_int_distribution<int64_t>(faults.minimumDelay.count(), faults.maximumDelay.count())(m_random));
    }

    bool happens(double probability) { return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

    std::mt19937_64 m_random;
    Instant m_now {};
    uint64_t m_lastEvent { 0 };
    std::vector<Slot> m_slots;
    std::map<Endpoint, size_t> m_byControl;
    std::priority_queue<Event> m_events;
    std::set<std::pair<Instant, size_t>> m_timers;
};

}
