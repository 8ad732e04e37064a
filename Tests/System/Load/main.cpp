#include "LedgerReader.h"
#include "LoadReport.h"
#include "LoadRunner.h"

#include <LibModel/Error.h>
#include <Tests/System/Crowd/Crowd.h>

#include <cxxopts.hpp>
#include <iostream>
#include <limits>
#include <thread>

namespace {

constexpr int exitViolated = 1;
constexpr int exitFailed = 2;
// A configuration is in force everywhere, and quotas have their holders.
constexpr auto settlingTime = std::chrono::seconds(4);
// Of the load's requests with tenants.
constexpr double uploadShare = 0.05;

std::vector<Model::Endpoint> parseEndpoints(const std::vector<std::string>& texts)
{
    std::vector<Model::Endpoint> endpoints;
    for (const auto& text : texts) {
        auto endpoint = Model::Endpoint::parse(text);
        if (!endpoint)
            throw Model::Error("read-options", "local", text + " is no IP number and port");
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("fulmar-load", "Drives a running fleet and compares what callers were told with what backend servers ran.");
    options.add_options()("ingress", "Callers' endpoints", cxxopts::value<std::vector<std::string>>());
    options.add_options()("backend", "Backend servers' endpoints", cxxopts::value<std::vector<std::string>>());
    options.add_options()("service", "Service names", cxxopts::value<std::vector<std::string>>());
    options.add_options()("rate", "Requests per second", cxxopts::value<double>()->default_value("200"));
    options.add_options()("seconds", "Length", cxxopts::value<double>()->default_value("10"));
    options.add_options()("accounts", "Client accounts", cxxopts::value<uint32_t>()->default_value("100"));
    options.add_options()("direct-share", "Share of requests that bypass the fleet", cxxopts::value<double>()->default_value("0.2"));
    options.add_options()("platform", "The platform's key-value service: publish routes and tenants there, and send API keys", cxxopts::value<std::string>());
    options.add_options()("revocation-bound-ms", "As in the settings of the processes", cxxopts::value<int64_t>()->default_value("5000"));
    options.add_options()("crowd", "Clients that stop just short of the end of a body; only with --platform", cxxopts::value<uint32_t>()->default_value("0"));
    options.add_options()("seed", "Seed of the load", cxxopts::value<uint64_t>()->default_value("1"));
    options.add_options()("help", "Print this help");
    return options;
}

Load::LoadPlan makePlan(const cxxopts::ParseResult& arguments)
{
    Load::LoadPlan plan;
    plan.ingresses = parseEndpoints(arguments["ingress"].as<std::vector<std::string>>());
    plan.backends = parseEndpoints(arguments["backend"].as<std::vector<std::string>>());
    plan.services = arguments["service"].as<std::vector<std::string>>();
    plan.rate = arguments["rate"].as<double>();
    plan.length = std::chrono::duration_cast<Model::Duration>(std::chrono::duration<double>(arguments["seconds"].as<double>()));
    plan.accounts = arguments["accounts"].as<uint32_t>();
    plan.directShare = arguments["direct-share"].as<double>();
    plan.seed = arguments["seed"].as<uint64_t>();
    if (arguments.count("platform")) {
        plan.platform = parseEndpoints({ arguments["platform"].as<std::string>() }).front();
        plan.uploadShare = uploadShare;
        plan.crowd = arguments["crowd"].as<uint32_t>();
        plan.revocationBound = std::chrono::milliseconds(arguments["revocation-bound-ms"].as<int64_t>());
    }
    return plan;
}

std::vector<CrowdTests::ClientPlan> makeCrowd(const Load::LoadPlan& plan, Load::TenantPublisher& publisher)
{
    // Within the processes' default limit of 1 MiB.
    constexpr uint64_t bodyBytes = 1'000'001;
    constexpr int connectionsPerClient = 20;
    std::vector<CrowdTests::ClientPlan> clients;
    for (uint32_t index = 0; index < plan.crowd; ++index) {
        CrowdTests::ClientPlan client { .to = plan.ingresses[index % plan.ingresses.size()] };
        client.head = "POST /upload/crowd HTTP/1.1\r\nhost: " + plan.services.front() + "\r\nauthorization: Bearer " + publisher.chooseKey()
            + "\r\ncontent-length: " + std::to_string(bodyBytes) + "\r\n\r\n";
        client.block.assign(1u << 16, 'x');
        client.bodyBytes = bodyBytes - 1;
        client.connections = connectionsPerClient;
        clients.push_back(std::move(client));
    }
    return clients;
}

// Returns once the load has ended.
void playCrowd(const std::vector<CrowdTests::ClientPlan>& clients, Model::Duration length)
{
    CrowdTests::CrowdBounds bounds { std::chrono::ceil<std::chrono::milliseconds>(length), std::numeric_limits<int>::max() };
    CrowdTests::playCrowd(
        clients, bounds, [] {}, [] {});
}

int runLoad(const Load::LoadPlan& plan)
{
    Transport::EventLoop loop;
    Transport::HttpClient client(loop);
    std::optional<Load::TenantPublisher> publisher;
    if (plan.platform)
        publisher.emplace(loop, client, plan);
    Load::LoadRunner runner(loop, client, plan, publisher ? &*publisher : nullptr);
    Load::LedgerReader reader(client, plan.backends);
    Load::Violations violations;
    auto finish = [&] {
        if (publisher)
            publisher->endChanges();
        reader.read([&](const Load::Ledger& ledger) {
            auto history = publisher ? publisher->history() : Load::TenantHistory {};
            violations = Load::checkLedger(runner.requests(), ledger, history);
            Load::printReport(std::cout, plan, runner.requests(), ledger, history, violations);
            loop.stop();
        });
    };
    std::jthread crowd;
    auto startWithTenants = [&] {
        crowd = std::jthread(playCrowd, makeCrowd(plan, *publisher), plan.length);
        publisher->beginChanges();
        runner.start(finish);
    };
    if (publisher)
        publisher->start([&] { loop.callAt(loop.now() + settlingTime, startWithTenants); });
    else
        runner.start(finish);
    loop.run();
    return violations.count() == 0 ? 0 : exitViolated;
}

}

int main(int argc, char** argv)
{
    auto options = makeOptions();
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        return runLoad(makePlan(arguments));
    } catch (const std::exception& error) {
        std::cerr << "fulmar-load: " << error.what() << "\n";
        return exitFailed;
    }
}
