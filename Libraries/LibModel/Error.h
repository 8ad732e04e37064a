#pragma once

#include <stdexcept>
#include <string>

namespace Model {

// The base of every exception of the project: says what failed, at which step, and with which peer.
class Error : public std::runtime_error {
public:
    // The peer is an instance, endpoint or file; "local" if no other party was involved.
    Error(std::string step, std::string peer, const std::string& what);

    const std::string& step() const { return m_step; }
    const std::string& peer() const { return m_peer; }
    // what() without the step and the peer.
    const std::string& problem() const { return m_problem; }

private:
    std::string m_step;
    std::string m_peer;
    std::string m_problem;
};

// A settings, profile or chart file that can't be accepted. what() reads "FILE:LINE: KEY: problem; allowed: ...".
class DocumentError : public Error {
public:
    DocumentError(std::string file, int line, std::string key, const std::string& problem, const std::string& allowed);

    const std::string& file() const { return peer(); }
    // Counts from 1; 0 if the whole file is meant.
    int line() const { return m_line; }
    const std::string& key() const { return m_key; }
    // "problem; allowed: ...", without the place.
    const std::string& detail() const { return m_detail; }

private:
    int m_line;
    std::string m_key;
    std::string m_detail;
};

}
