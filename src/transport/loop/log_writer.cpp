#include "transport/loop/log_writer.hpp"

#include "transport/log_line.hpp"
#include "transport/loop/boot_clock.hpp"

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace acaciaslip::transport::loop {

namespace {

/// Lines per second up to level info; enough for about a hundred requests with all of their lines.
constexpr std::uint32_t maxLinesPerSecond = 1000;
constexpr std::size_t maxPendingBytes = 131072; ///< several hundred lines, so that the reader may stall briefly

} // namespace

log_writer::log_writer(int descriptor, coordination::log_level lowest)
    : m_descriptor(descriptor)
    , m_lowest(lowest)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK); // has no effect on regular files, which do not block
}

void log_writer::write(const coordination::log_event& event)
{
    if (event.level < m_lowest)
        return;
    if (m_pending.size() >= maxPendingBytes || !isWithinRateLimit(event.level)) {
        ++m_dropped;
        return;
    }
    if (m_dropped > m_droppedReported) {
        const auto lost = m_dropped - m_droppedReported;
        m_droppedReported = m_dropped;
        write({ coordination::log_level::warning, "log_lines_dropped", { { "lines", std::to_string(lost) } } });
    }
    m_pending += formatLogLine(event, std::chrono::system_clock::now());
    m_pending += '\n';
}

bool log_writer::isWithinRateLimit(coordination::log_level level)
{
    if (level > coordination::log_level::info)
        return true;
    const auto now = bootNow();
    if (now - m_secondStart >= std::chrono::seconds { 1 }) {
        m_secondStart = now;
        m_linesInSecond = 0;
    }
    return ++m_linesInSecond <= maxLinesPerSecond;
}

void log_writer::flush()
{
    while (!m_pending.empty()) {
        const auto written = ::write(m_descriptor, m_pending.data(), m_pending.size());
        if (written > 0)
            m_pending.erase(0, static_cast<std::size_t>(written));
        else if (errno == EAGAIN)
            return; // the reader is slow; the next flush tries again
        else if (errno != EINTR)
            return m_pending.clear(); // the reader has closed its end
    }
}

} // namespace acaciaslip::transport::loop
