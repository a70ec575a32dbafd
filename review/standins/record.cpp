#include "record.h"

#include <iomanip>
#include <iostream>

namespace review {

std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now().time_since_epoch())
        .count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Record::Record(const std::string& path)
    : m_file(path)
{
}

void Record::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::setw(7) << elapsedMs() << " ms  " << line << std::endl;
}

} // namespace review
