#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using SteadyClock = std::chrono::steady_clock;

std::int64_t steadyMs();
std::int64_t unixMs();

// Writes what was sent, answered and run, one line each, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& line);
    std::int64_t elapsedMs() const { return steadyMs() - m_start; }

private:
    std::int64_t m_start = steadyMs();
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
