#include <LibTelemetry/EventLog.h>

#include <LibTelemetry/LineWriter.h>

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

namespace Telemetry {

namespace {

    log4cplus::LogLevel toLibraryLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Trace:
            return log4cplus::TRACE_LOG_LEVEL;
        case LogLevel::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case LogLevel::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case LogLevel::Warn:
            return log4cplus::WARN_LOG_LEVEL;
        case LogLevel::Error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

    // The library knows the time of day, which opens each line.
    const char* layoutFor(LogFormat format)
    {
        if (format == LogFormat::Json)
            return "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%q}Z\",%m";
        return "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z %m";
    }

    class SinkAppender : public log4cplus::Appender {
    public:
        explicit SinkAppender(std::function<void(const std::string&)> sink)
            : m_sink(std::move(sink))
        {
        }
        ~SinkAppender() override { destructorImpl(); }
        void close() override { }

    protected:
        void append(const log4cplus::spi::InternalLoggingEvent& event) override { m_sink(event.getMessage()); }

    private:
        std::function<void(const std::string&)> m_sink;
    };

}

// Writes to the standard output what has room there.
class OutputAppender : public log4cplus::Appender {
public:
    OutputAppender()
        : m_writer(STDOUT_FILENO)
    {
    }
    ~OutputAppender() override { destructorImpl(); }
    void close() override { }

    uint64_t droppedLines() const { return m_writer.droppedLines(); }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override { m_writer.write(formatEvent(event)); }

private:
    LineWriter m_writer;
};

struct EventLog::Appender {
    log4cplus::Logger logger;
    log4cplus::helpers::SharedObjectPtr<OutputAppender> output;
};

EventLog::EventLog(EventLogOptions options)
    : m_options(std::move(options))
    , m_appender(std::make_unique<Appender>())
{
    // The library is ended with the process and not with the log: its end waits for a thread of its own, which may not get
    // its turn before the process has to be gone. fulmard leaves without that end.
    static const log4cplus::Initializer initializer;
    // Nothing is logged asynchronously, so the library needs no threads beside the loop's.
    log4cplus::setThreadPoolSize(0);
    m_appender->logger = log4cplus::Logger::getInstance("fulmarsail");
    m_appender->logger.setLogLevel(toLibraryLevel(m_options.level));
    m_appender->logger.setAdditivity(false);
    m_appender->logger.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender;
    if (m_options.sink) {
        appender = new SinkAppender(m_options.sink);
    } else {
        m_appender->output = new OutputAppender();
        appender = log4cplus::SharedAppenderPtr(m_appender->output.get());
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>(layoutFor(m_options.format)));
    }
    m_appender->logger.addAppender(appender);
}

EventLog::~EventLog()
{
    m_appender->logger.removeAllAppenders();
}

uint64_t EventLog::suppressedLines() const
{
    return m_suppressedLines + (m_appender->output ? m_appender->output->droppedLines() : 0);
}

void EventLog::write(Instant now, LogRecord record)
{
    if (record.level < m_options.level)
        return;

    auto& allowance = m_allowances[record.event];
    if (now - allowance.secondBegan >= std::chrono::seconds(1)) {
        allowance.secondBegan = now;
        allowance.written = 0;
    }
    if (allowance.written >= m_options.linesPerSecond) {
        ++allowance.suppressed;
        ++m_suppressedLines;
        return;
    }

    ++allowance.written;
    if (allowance.suppressed > 0)
        record.fields.push_back({ "suppressedBefore", std::to_string(allowance.suppressed) });
    allowance.suppressed = 0;
    auto line = formatRecord(record, m_options.format);
    // The layout has opened the object.
    if (m_appender->output && m_options.format == LogFormat::Json)
        line.erase(0, 1);
    m_appender->logger.log(toLibraryLevel(record.level), line);
}

}
