#include <Tests/System/Crowd/SmallFleet.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace CrowdTests {

using namespace std::chrono_literals;

static constexpr auto longestStart = 30s;
static constexpr auto pause = 100ms;
static constexpr auto oneRequest = 3s;

template <typename Condition>
static bool waitFor(Condition holds)
{
    auto end = std::chrono::steady_clock::now() + longestStart;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pause);
    }
    return true;
}

static std::string makeDirectory()
{
    auto path = (std::filesystem::temp_directory_path() / "crowd-XXXXXX").string();
    if (!mkdtemp(path.data()))
        throw std::runtime_error("no temporary directory");
    return path;
}

SmallFleet::SmallFleet(const FleetOptions& options)
    : m_directory(makeDirectory())
    , m_callers { "127.0.0.1", freePort() }
    , m_control { "127.0.0.1", freePort() }
{
    Endpoint platform { "127.0.0.1", freePort() };
    m_platform = std::make_unique<SystemProcess>(std::vector<std::string> { STANDIN_PLATFORM, "--port", std::to_string(platform.port), "--admin-port", std::to_string(freePort()) }, m_directory + "/platform.log");
    auto settings = writeSettings(platform, options);
    m_fulmard = std::make_unique<SystemProcess>(std::vector<std::string> { FULMARD, "--settings", settings }, m_directory + "/fulmard.log", options.maximumDescriptors);
    startBackend();
    if (!answersOrdinaryRequest())
        throw std::runtime_error("the fleet doesn't answer");
}

SmallFleet::~SmallFleet()
{
    m_backend.reset();
    m_fulmard.reset();
    m_platform.reset();
    std::error_code error;
    std::filesystem::remove_all(m_directory, error);
}

std::string SmallFleet::writeSettings(const Endpoint& platform, const FleetOptions& options) const
{
    auto path = m_directory + "/fulmard.yaml";
    auto write = [&](const std::string& account) {
        std::ofstream(path) << "instance: desk-1\nzone: agadir\nregion: souss-massa\ncallers: " << m_callers.toString()
                            << "\ncontrol: " << m_control.toString() << "\nplatform: [" << platform.toString() << "]\n"
                            << "fleet-key: example-fleet-key-example-fleet-key\noperator-key: example-operator-key-example-operator\n"
                            << "limits: {request-body-bytes: " << options.requestBodyBytes << ", answer-body-bytes: " << Limit::answerBodyBytes << account << "}\n";
    };
    // A build without an account of bytes refuses the key.
    write(", memory-bytes: " + std::to_string(options.memoryBytes));
    if (!SystemProcess::succeeds({ FULMARD, "--settings", path, "--check" }))
        write("");
    return path;
}

void SmallFleet::startBackend()
{
    if (!waitFor([this] { return requestStatus(m_control, "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", oneRequest) == 200; }))
        throw std::runtime_error("fulmard doesn't start");
    m_backend = std::make_unique<SystemProcess>(std::vector<std::string> { STANDIN_BACKEND, "--id", "desk-server", "--service", "commission-desk", "--control", m_control.toString(), "--slots", "16", "--mean-service-ms", "2" }, m_directory + "/backend.log");
}

bool SmallFleet::answersOrdinaryRequest() const
{
    return waitFor([this] { return requestStatus(m_callers, "GET /ordinary HTTP/1.1\r\nhost: commission-desk\r\nconnection: close\r\n\r\n", oneRequest) == 200; });
}

void SmallFleet::announceBackend(const std::string& service, uint16_t port) const
{
    auto body = "{\"service\": \"" + service + "\", \"endpoint\": \"127.0.0.1:" + std::to_string(port) + "\", \"incarnation\": 1, \"slots\": 200, \"phase\": \"serving\"}";
    auto head = "PUT /v1/backends/" + service + "-" + std::to_string(port) + " HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n";
    requestStatus(m_control, head + body, oneRequest);
}

}
