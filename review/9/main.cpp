// DRAIN: an upstream that has left is used again after all processes were killed, since an older check-in came late.
#include <review/harness-2/Fleet.h>

using namespace Review;

static int play(Fleet& fleet)
{
    constexpr auto bounds = "seedLagS=3,addrReuseS=2,contactMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,lossSlackMs=200,configApplyMs=2000,downgradeSlackMs=250,partitionStretchMs=5000,"
                            "retryBudgetRatio=0.2,budgetWindowS=10,retryBudgetExtra=56,recoveryS=15,probesPerS=3,floorShare=0.7";
    constexpr auto configuration = R"({"version":10,"routes":[{"name":"book","host":"desk.example","prefix":"/book/","routeKind":"unsafe","timeoutMs":2500,"targetLatencyMs":800,"priority":1,"service":"desk","maxAttempts":2}],)"
                                   R"("services":[{"name":"desk","healthPath":"/health","maxConnections":330}],)"
                                   R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    constexpr double drainSeconds = 2;
    constexpr double contactSeconds = 3;
    auto& record = fleet.record;

    fleet.store.put("op/config", configuration);
    for (int number = 0; number < 6; ++number) {
        auto& machine = fleet.addMachine({ "machine-" + std::to_string(number), loopback(number + 1), fleet.zones[number % 3], "desk", 260, 4100, bounds });
        fleet.addUpstream(machine, "i-" + std::to_string(number), 3, 100);
    }
    if (!fleet.areReady()) {
        record.say("the machines aren't ready");
        return notRun;
    }
    for (auto* upstream : fleet.upstreams)
        upstream->start();
    std::this_thread::sleep_for(std::chrono::seconds(5));

    std::atomic<bool> isOver { false };
    std::atomic<int> lastNumber { 0 };
    std::mutex mutex;
    std::vector<std::pair<std::string, Answer>> answers;
    std::vector<std::thread> threads;
    for (int client = 0; client < 18; ++client) {
        threads.emplace_back([&, client] {
            while (!isOver) {
                Call call { "POST", "desk.example", "/book/1", "a" + std::to_string(++lastNumber), 2500, "booking" };
                // The clients of the machine whose upstream leaves have left before it.
                auto& machine = *fleet.machines[1 + client % 5];
                record.write("sent: " + call.attempt + " POST " + call.path + " at " + machine.options().name);
                auto answer = send(machine.outbound, call);
                record.write("answered: " + call.attempt + " with " + std::to_string(answer.status) + " " + answer.reason);
                {
                    std::scoped_lock lock(mutex);
                    answers.emplace_back(call.attempt, answer);
                }
                std::this_thread::sleep_for(Milliseconds(50));
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));

    auto* leaving = fleet.upstreams[0];
    auto status = leaving->withdraw();
    auto confirmedAt = record.seconds();
    record.say("i-0 says that it is gone; the confirmation is " + std::to_string(status));
    auto startedAt = confirmedAt;
    if (hasTrouble()) {
        std::this_thread::sleep_for(Milliseconds(200));
        record.say("trouble: all processes are killed, and start again after 0.6 s");
        for (auto& machine : fleet.machines)
            machine->stop(SIGKILL);
        std::this_thread::sleep_for(Milliseconds(600));
        for (auto& machine : fleet.machines)
            machine->start();
        startedAt = record.seconds();
    }
    std::this_thread::sleep_for(Milliseconds(3000));
    record.say("a check-in from before the withdrawal arrives; the answer is " + std::to_string(leaving->deliverLateCheckIn()));
    std::this_thread::sleep_for(std::chrono::seconds(6));
    isOver = true;
    for (auto& thread : threads)
        thread.join();

    auto boundAt = std::max(confirmedAt + drainSeconds, startedAt + contactSeconds);
    int late = 0;
    int served = 0;
    for (const auto& [attempt, answer] : answers) {
        served += answer.status == 200 ? 1 : 0;
        for (const auto& run : fleet.runs.of(attempt)) {
            if (run.upstream != "i-0" || record.seconds(answer.sentAt) < boundAt)
                continue;
            if (late++ == 0)
                record.say("DRAIN: " + attempt + " reached i-0 " + std::to_string(run.at - confirmedAt) + " s after the confirmation");
        }
    }
    record.say(std::to_string(answers.size()) + " requests, " + std::to_string(served) + " served; " + std::to_string(late) + " were sent by machines in touch and reached i-0 later than drainMs after the confirmation");
    if (status / 100 != 2 || served < static_cast<int>(answers.size()) / 4)
        return notRun;
    return late > 0 ? broken : held;
}

int main(int, char** arguments) { runCase(arguments, { "west-a", "west-b", "west-c" }, play); }
