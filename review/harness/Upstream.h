#pragma once

#include <review/harness/Fleet.h>
#include <review/harness/Store.h>

// A stand-in for an application upstream.
namespace Review {

// An upstream beside a machine: checks in, and serves requests by the given function.
class Upstream {
public:
    // Serves a request that is to run. Returns false if the connection is to be closed.
    using Run = std::function<bool(Upstream&, Connection&, const Message&)>;

    Upstream(Record& record, const Machine& machine, const Ports& ports, Run run)
        : m_record(record)
        , m_machine(machine)
        , m_ports(ports)
        , m_run(std::move(run))
        , m_listener(machine.ip, ports.application, [this](Connection& connection) { serve(connection); })
    {
        boot();
        m_heart = std::thread([this] { beat(); });
    }
    ~Upstream()
    {
        stop();
    }
    void stop()
    {
        if (m_isStopping.exchange(true))
            return;
        m_heart.join();
        m_listener.close();
    }

    std::string id()
    {
        std::lock_guard lock(m_mutex);
        return m_id;
    }
    const Machine& machine() const { return m_machine; }
    // True once the last check-in was acknowledged.
    bool isAcknowledged() const { return m_isAcknowledged; }

    // Ends the process that the upstream stands for; it is back after the time, as a new boot with a new id.
    void crash(std::chrono::milliseconds downTime)
    {
        std::lock_guard lock(m_mutex);
        if (m_isDown)
            return;
        m_isDown = true;
        m_isAcknowledged = false;
        m_record.line("upstream %s on %s crashes", m_id.c_str(), m_machine.name.c_str());
        m_backAt = Clock::now() + downTime;
    }
    bool isDown()
    {
        std::lock_guard lock(m_mutex);
        return m_isDown;
    }

private:
    void boot()
    {
        std::lock_guard lock(m_mutex);
        static std::atomic<int> count { 0 };
        char text[32];
        std::snprintf(text, sizeof(text), "i-%08x", 0x5a000000 + ++count);
        m_id = text;
        m_sequence = 0;
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_isDown = false;
    }

    void beat()
    {
        auto next = Clock::now();
        while (!m_isStopping) {
            std::this_thread::sleep_for(20ms);
            if (isDown()) {
                if (m_listener.isOpen())
                    m_listener.close();
                if (Clock::now() < m_backAt)
                    continue;
                boot();
                m_listener.open();
                m_record.line("upstream %s on %s is back as a new boot", id().c_str(), m_machine.name.c_str());
                next = Clock::now();
            }
            if (Clock::now() < next)
                continue;
            m_isAcknowledged = checkIn();
            next = Clock::now() + (m_isAcknowledged ? 1500ms : 200ms);
        }
    }

    bool checkIn()
    {
        Json::Value json;
        std::string id;
        {
            std::lock_guard lock(m_mutex);
            id = m_id;
            json["service"] = m_machine.service;
            json["address"] = m_machine.ip + ":" + std::to_string(m_ports.application);
            json["zone"] = m_machine.zone;
            json["version"] = "v1";
            json["slots"] = 3;
            json["state"] = "ready";
            json["coldRemainingMs"] = 0;
            json["sequence"] = ++m_sequence;
            json["born"] = Json::Int64(m_born);
        }
        auto body = formatJson(json);
        auto connection = Connection::open(m_machine.ip, m_machine.ip, m_ports.control);
        if (!connection.isOpen())
            return false;
        connection.send("PUT /v1/backends/" + id + " HTTP/1.1\r\nHost: " + m_machine.ip + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        auto status = readMessage(connection, Clock::now() + 1s).status();
        return status >= 200 && status < 300;
    }

    void serve(Connection& connection)
    {
        while (!m_isStopping && !isDown()) {
            auto request = readMessage(connection, Clock::now() + 50ms);
            if (!request.isWhole) {
                if (!connection.end().empty())
                    return;
                continue;
            }
            if (request.start.starts_with("GET /health ")) {
                if (!connection.send(response(200, "", "Instance-Id: " + id() + "\r\n")))
                    return;
                continue;
            }
            if (request.header("expect-instance") != id()) {
                if (!connection.send(response(421, "", "Attempt-Id: " + request.header("attempt-id") + "\r\nInstance-Id: " + id() + "\r\n")))
                    return;
                continue;
            }
            if (!m_run(*this, connection, request))
                return;
        }
    }

    Record& m_record;
    const Machine m_machine;
    Ports m_ports;
    Run m_run;
    std::mutex m_mutex;
    std::string m_id;
    int m_sequence { 0 };
    int64_t m_born { 0 };
    bool m_isDown { false };
    Clock::time_point m_backAt;
    std::atomic<bool> m_isAcknowledged { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_heart;
    Listener m_listener;
};

}
