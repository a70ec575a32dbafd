#pragma once

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <map>
#include <netinet/in.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Starts, monitors and ends the programs that bench/capacity.cpp measures.
namespace anvilmoor::capacity {

inline double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline void pause(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

struct Process {
    pid_t pid = 0;
    int port = 0;
    std::string log;
    std::string command;
};

// Processes that were started and have not been ended yet.
inline std::set<pid_t>& runningProcesses()
{
    static std::set<pid_t> pids;
    return pids;
}

inline void end(Process& process, int signal = SIGKILL)
{
    if (!process.pid)
        return;
    kill(process.pid, signal);
    waitpid(process.pid, nullptr, 0);
    runningProcesses().erase(process.pid);
    process.pid = 0;
}

inline void endAllAtExit()
{
    const auto endAll = [] {
        for (const pid_t pid : runningProcesses())
            kill(pid, SIGKILL);
    };
    std::atexit(endAll);
    for (const int signal : { SIGINT, SIGTERM, SIGHUP })
        std::signal(signal, [](int) { std::exit(1); });
}

inline std::string program(const std::string& name)
{
    const char* directory = std::getenv("ANVILMOOR_BUILD");
    return std::string(directory ? directory : "build/release") + "/" + name;
}

inline std::string readFile(const std::string& name)
{
    std::ifstream file(name);
    return { std::istreambuf_iterator<char>(file), {} };
}

inline std::size_t countInLog(const Process& process, const std::string& event)
{
    const std::string text = readFile(process.log);
    const std::string wanted = "\"event\":\"" + event + "\"";
    std::size_t count = 0;
    for (std::size_t at = text.find(wanted); at != std::string::npos; at = text.find(wanted, at + 1))
        ++count;
    return count;
}

inline int portFromLog(const std::string& text)
{
    const std::size_t line = text.find("\"listening\"");
    const std::size_t at = line == std::string::npos ? line : text.find("\"port\":", line);
    if (at == std::string::npos || text.find('\n', at) == std::string::npos)
        return 0;
    return std::atoi(text.c_str() + at + (text[at + 7] == '"' ? 8 : 7));
}

// Starts a program. If `port` is 0, waits until the program has logged the port that it listens on.
inline Process start(const std::string& name, const std::vector<std::string>& arguments,
    const std::string& directory, int port)
{
    static int count = 0;
    Process process;
    process.port = port;
    process.log = fmt::format("{}/{}-{}.log", directory, name, ++count);
    process.command = program(name);
    std::vector<std::string> words { process.command };
    for (const std::string& argument : arguments) {
        words.push_back(argument);
        // Truncated, because the long list of peers would hide the other arguments.
        process.command += " " + (argument.size() > 120 ? argument.substr(0, 117) + "..." : argument);
    }
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string& word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    const pid_t parent = getpid();
    process.pid = fork();
    if (process.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(126);
        const int log = open(process.log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(log, 1);
        dup2(log, 2);
        execv(pointers[0], pointers.data());
        _exit(127);
    }
    runningProcesses().insert(process.pid);
    for (int i = 0; !process.port && i < 500; ++i) {
        pause(0.02);
        process.port = portFromLog(readFile(process.log));
    }
    return process;
}

inline int freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    // If this fails, the caller's program cannot listen and logs that.
    const bool isBound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0
        && getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(descriptor);
    return isBound ? ntohs(address.sin_port) : 0;
}

struct Answer {
    int status = 0; // 0: no answer
    std::string body;
};

inline Answer http(int port, const std::string& method, const std::string& path, const std::string& body = {})
{
    Answer answer;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout { 15, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    std::string text;
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        const std::string request = fmt::format(
            "{} {} HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{}", method,
            path, body.size(), body);
        std::size_t sent = 0;
        while (sent < request.size()) {
            const ssize_t count
                = send(descriptor, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                break;
            sent += static_cast<std::size_t>(count);
        }
        std::array<char, 65'536> buffer {};
        for (ssize_t count = 0; (count = recv(descriptor, buffer.data(), buffer.size(), 0)) > 0;)
            text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    close(descriptor);
    if (text.starts_with("HTTP/1.1 "))
        answer.status = std::atoi(text.c_str() + 9);
    if (const std::size_t head = text.find("\r\n\r\n"); head != std::string::npos)
        answer.body = text.substr(head + 4);
    return answer;
}

struct Sample {
    double time = 0;
    double cpuSeconds = 0;
    long residentKb = 0;
    std::map<std::string, double> values; // metrics without labels, by name
    std::map<std::string, double> traffic; // "<kind>_<messages|bytes>_<sent|received>"
};

inline std::string label(const std::string& line, const std::string& name)
{
    const std::size_t at = line.find(name + "=\"");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 2;
    return line.substr(begin, line.find('"', begin) - begin);
}

inline Sample sample(const Process& process)
{
    Sample result;
    const std::string page = http(process.port, "GET", "/metrics").body;
    result.time = now();
    std::size_t begin = 0;
    while (begin < page.size()) {
        const std::size_t lineEnd = std::min(page.find('\n', begin), page.size());
        const std::string line = page.substr(begin, lineEnd - begin);
        begin = lineEnd + 1;
        const std::size_t space = line.rfind(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos)
            continue;
        const double value = std::atof(line.c_str() + space);
        const bool isBytes = line.starts_with("anvilmoor_message_bytes_total{");
        if (isBytes || line.starts_with("anvilmoor_messages_total{"))
            result.traffic[label(line, "kind") + (isBytes ? "_bytes_" : "_messages_")
                + label(line, "direction")]
                = value;
        else if (line.find('{') == std::string::npos)
            result.values[line.substr(0, space)] = value;
    }
    result.cpuSeconds = result.values["process_cpu_seconds_total"]; // getrusage of the process itself
    const std::string status = readFile(fmt::format("/proc/{}/status", process.pid));
    if (const std::size_t at = status.find("VmRSS:"); at != std::string::npos)
        result.residentKb = std::atol(status.c_str() + at + 6);
    return result;
}

inline std::string runAndRead(const std::string& command)
{
    std::string text;
    FILE* pipe = popen((command + " 2>/dev/null").c_str(), "r");
    if (!pipe)
        return text;
    std::array<char, 4'096> buffer {};
    while (std::fgets(buffer.data(), buffer.size(), pipe))
        text += buffer.data();
    pclose(pipe);
    return text;
}

} // namespace anvilmoor::capacity
