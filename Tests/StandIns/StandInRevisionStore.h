#pragma once

#include <LibTransport/HttpServer.h>

#include <cstdint>
#include <json/value.h>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace StandIns {

// Stands in for the users' store with revisions and leases: ranges in pages, watches from a revision, writes under
// conditions, leases that hold keys. Leases end only when they are ended.
class StandInRevisionStore {
public:
    StandInRevisionStore(Transport::EventLoop&, const Model::Endpoint& listen);
    ~StandInRevisionStore();
    StandInRevisionStore(const StandInRevisionStore&) = delete;
    StandInRevisionStore& operator=(const StandInRevisionStore&) = delete;

    Model::Endpoint endpoint() const { return m_server->endpoint(); }
    // What an operator writes.
    void put(const std::string& key, const std::string& value);
    // Forgets which keys changed when; watches from before get 410.
    void dropHistory();
    // Keeps the present state for restoreCopy().
    void takeCopy() { m_copy = m_state; }
    // Comes back from the copy: a new era, in which revisions and leases are given out again. Watches that wait go on.
    void restoreCopy();
    // Comes back from the copy as soon as so many more pages of ranges were answered.
    void restoreCopyAfter(size_t pages) { m_pagesUntilRestore = pages; }
    void setPageSize(size_t items) { m_pageSize = items; }
    // Answers every call with the status; 0 ends that.
    void refuse(uint16_t status) { m_refusal = status; }

private:
    struct Item {
        std::string value;
        uint64_t revision { 0 };
        uint64_t created { 0 };
        uint64_t lease { 0 };
    };
    struct Watch {
        std::string prefix;
        uint64_t after { 0 };
        Transport::TimerId timer { 0 };
    };

    void respond(Transport::ServerRequestId, Transport::HttpResponse);
    void receive(Transport::ServerRequestId, const Transport::HttpRequest&);
    void startWatch(Transport::ServerRequestId, const std::string& prefix, uint64_t after, uint64_t waitMilliseconds);
    bool answerWatch(Transport::ServerRequestId, const std::string& prefix, uint64_t after, bool isOver);
    void wakeWatches();
    Json::Value range(const std::string& prefix, const std::string& after) const;
    Transport::HttpResponse transact(const Json::Value&);
    void endLease(uint64_t lease);
    Json::Value describe(const std::string& key, const Item&) const;

    Transport::EventLoop& m_loop;
    std::unique_ptr<Transport::HttpServer> m_server;
    struct State {
        std::map<std::string, Item> items;
        std::vector<uint64_t> leases;
        uint64_t revision { 1 };
        uint64_t lastLease { 100 };
    };
    State m_state;
    State m_copy;
    uint64_t m_era { 1 };
    size_t m_pagesUntilRestore { 0 };
    std::unordered_map<Transport::ServerRequestId, Watch> m_watches;
    uint64_t m_historySince { 0 };
    size_t m_pageSize { 500 };
    uint16_t m_refusal { 0 };
};

}
