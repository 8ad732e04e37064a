#include <Tests/LibDecision/Admission/FifoModel.h>
#include <Tests/LibDecision/Calls/CallRig.h>

#include <chrono>
#include <cstdio>
#include <malloc.h>

// Prints the CPU time of a call in the decision core, the memory that 75,000 accounts take, and how long an account
// with little load waits under overload, compared with a FIFO queue. Not a test: the results depend on the machine.
namespace {

using namespace Decision;

constexpr uint64_t accounts = 75'000;
constexpr uint64_t seed = 1;

size_t heapBytes()
{
    return mallinfo2().uordblks;
}

// Runs one call through the ingress and the sidecar; returns the number of effects.
size_t runCall(CallRig& ingress, AdmissionRig& sidecar, uint64_t call)
{
    auto account = "account-" + std::to_string(call % accounts);
    auto effects = ingress.arrive(CallRig::arrivalOf(call, Method::Get, account)).size();
    effects += sidecar.arrive(AdmissionRig::arrivalOf(call, "a", account)).size();
    RunReport run;
    run.status = 200;
    run.elapsed = 25ms;
    effects += sidecar.finish(call, run).size();
    AttemptReport attempt;
    attempt.status = 200;
    effects += ingress.finish(call, call, attempt).size();
    ingress.now += 1ms;
    sidecar.now += 1ms;
    return effects;
}

void printCostOfCalls()
{
    constexpr uint64_t calls = 300'000;
    CallRig ingress(warmProfile());
    AdmissionRig sidecar(warmProfile());
    sidecar.announce("a", 1, 3);
    auto heapBefore = heapBytes();
    size_t effects = 0;
    auto begin = std::chrono::steady_clock::now();
    for (uint64_t call = 1; call <= calls; ++call)
        effects += runCall(ingress, sidecar, call);
    auto elapsed = std::chrono::steady_clock::now() - begin;
    auto perCall = std::chrono::duration<double, std::nano>(elapsed).count() / static_cast<double>(calls);
    std::printf("calls: %llu from %llu accounts, %.0f ns per call through CallTable and SidecarAdmission, %zu effects\n",
        static_cast<unsigned long long>(calls), static_cast<unsigned long long>(accounts), perCall, effects);
    std::printf("memory: heap grew by %.1f KB after calls from all accounts; the usage sketch takes %.0f KB for any number of accounts\n",
        (static_cast<double>(heapBytes()) - static_cast<double>(heapBefore)) / 1024, static_cast<double>(AccountUsage().memoryBytes()) / 1024);
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double percentile(std::vector<Duration> waits, double share)
{
    if (waits.empty())
        return 0;
    std::ranges::sort(waits);
    return milliseconds(waits[static_cast<size_t>(share * static_cast<double>(waits.size() - 1))]);
}

void printRow(double overload, const char* policy, std::map<AccountId, AccountResult> results, Duration length)
{
    const auto& clerk = results[AccountId("clerk")];
    const auto& busy = results[AccountId("busy-0")];
    auto seconds = std::chrono::duration<double>(length).count();
    std::printf("%-9.1f %-12s %9llu %11.1f %9.2f %9.2f %9.2f %12.1f\n", overload, policy, static_cast<unsigned long long>(clerk.sent),
        100.0 * static_cast<double>(clerk.refused) / static_cast<double>(clerk.sent), percentile(clerk.waits, 0.5), percentile(clerk.waits, 0.99),
        percentile(clerk.waits, 1), static_cast<double>(busy.waits.size() + clerk.waits.size()) / seconds);
}

void printLightAccount()
{
    constexpr Duration length = 2000s;
    std::printf("\nclerk sends a thousandth of the busy account's load; waits in ms, service time %.0f ms, capacity %.0f/s\n",
        milliseconds(OverloadModel::serviceTime), OverloadModel::capacity());
    std::printf("%-9s %-12s %9s %11s %9s %9s %9s %12s\n", "overload", "queue", "sent", "refused-%", "p50", "p99", "max", "goodput/s");
    for (double overload : { 0.1, 1.0, 1.5, 3.0 }) {
        auto loads = clerkAmongBusyAccounts(overload, 1);
        printRow(overload, "fulmarsail", OverloadModel(warmProfile(), seed).run(loads, length), length);
        printRow(overload, "fifo", FifoModel(warmProfile(), seed).run(loads, length), length);
    }
}

}

int main()
{
    printCostOfCalls();
    printLightAccount();
    return 0;
}
