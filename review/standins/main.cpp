// Stand-ins for the platform's store, the backends and the clients, as the users' pages describe them.
//
//   review_standin ports COUNT                    prints free TCP ports
//   review_standin store  --listen A --folder D   serves the files of D as the items of the store
//   review_standin server --listen A --id I ...   a backend
//   review_standin supervise --listen A --id I .. a backend that is started again after each crash
//   review_standin client --to A --path P ...     one request after the other
//
// Every program appends what it sees to the file given with --record, one line for each fact.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

// ---- options and the record ----

std::map<std::string, std::string> options;

std::string option(const std::string& name, const std::string& otherwise = "")
{
    const auto found = options.find(name);
    return found == options.end() ? otherwise : found->second;
}

long numberOption(const std::string& name, long otherwise)
{
    const auto text = option(name);
    return text.empty() ? otherwise : std::stol(text);
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Appends a line with a single write, so that lines of several processes do not mix.
void record(const std::string& text)
{
    static const int file = option("record").empty()
        ? -1
        : ::open(option("record").c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    const auto line = std::to_string(unixMs()) + " " + text + "\n";
    if (file >= 0 && ::write(file, line.data(), line.size()) < 0)
        std::cerr << line;
}

// ---- sockets ----

sockaddr_in parseAddress(const std::string& text)
{
    sockaddr_in address {};
    const auto colon = text.rfind(':');
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

int listenOn(const std::string& text)
{
    const auto address = parseAddress(text);
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
        || ::listen(listener, 512) != 0) {
        std::cerr << "cannot listen on " << text << ": " << std::strerror(errno) << "\n";
        std::exit(2);
    }
    return listener;
}

/// A blocking connection with a buffer for what was read and not used yet.
struct connection {
    int socket = -1;
    std::string buffer;
    bool isReset = false; ///< the connection ended with an error, not with the peer's orderly close

    explicit connection(int opened)
        : socket(opened)
    {
        const int yes = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { ::close(socket); }

    /// Reads at most `most` bytes. \return false at the end of the connection or after `until`
    bool readSome(std::size_t most = 65536, std::optional<steady::time_point> until = {})
    {
        if (until) {
            pollfd waiting { socket, POLLIN, 0 };
            const auto left = std::chrono::duration_cast<milliseconds>(*until - steady::now()).count();
            if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        std::string chunk(most, '\0');
        const auto count = ::recv(socket, chunk.data(), most, 0);
        if (count < 0)
            isReset = true;
        if (count <= 0)
            return false;
        buffer.append(chunk, 0, static_cast<std::size_t>(count));
        return true;
    }

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    /// Whether the peer has closed or reset the connection.
    [[nodiscard]] bool hasEnded() const
    {
        char byte = 0;
        const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
};

// ---- HTTP ----

struct head {
    std::string first; ///< request line or status line
    std::map<std::string, std::string> fields; ///< by name in lower case

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
};

std::optional<head> readHead(connection& from, std::optional<steady::time_point> until = {}, std::size_t most = 65536)
{
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!from.readSome(most, until))
            return std::nullopt;
    }
    std::istringstream lines(from.buffer.substr(0, end));
    from.buffer.erase(0, end + 4);
    head read;
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (read.first.empty())
            read.first = line;
        else if (colon != std::string::npos) {
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto start = line.find_first_not_of(" \t", colon + 1);
            read.fields[name] = start == std::string::npos ? "" : line.substr(start);
        }
    }
    return read;
}

/// Reads a body of a declared length; the gateway sends no others to backends.
std::optional<std::string> readRequestBody(connection& from, const head& request)
{
    const auto length = request.field("content-length");
    const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
    while (from.buffer.size() < wanted) {
        if (!from.readSome())
            return std::nullopt;
    }
    const auto body = from.buffer.substr(0, wanted);
    from.buffer.erase(0, wanted);
    return body;
}

std::string word(const std::string& line, int index)
{
    std::istringstream words(line);
    std::string found;
    for (int at = 0; at <= index; ++at)
        words >> found;
    return found;
}

std::string parameter(const std::string& target, const std::string& name)
{
    for (const char before : { '?', '&' }) {
        const auto start = target.find(before + name + "=");
        if (start == std::string::npos)
            continue;
        const auto value = start + name.size() + 2;
        return target.substr(value, target.find('&', value) - value);
    }
    return "";
}

void serveConnections(int listener, void (*serve)(connection&))
{
    for (;;) {
        const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        std::thread([accepted, serve] {
            connection opened(accepted);
            serve(opened);
        }).detach();
    }
}

// ---- the platform's store ----

struct item {
    std::uint64_t revision = 0;
    std::optional<std::string> value; ///< empty: removed
};

struct store_state {
    std::uint64_t revision = 100;
    std::map<std::string, item> items;
};

std::mutex storeMutex;
store_state store;
std::deque<std::pair<steady::time_point, store_state>> storeHistory; ///< for reads that are seconds old
std::atomic<unsigned> staleReads { 0 };

std::string base64(const std::string& text)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t next = at; next < at + 3; ++next)
            bits = bits << 8U | (next < text.size() ? static_cast<unsigned char>(text[next]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            encoded += at + digit > text.size() ? '=' : digits[bits >> (18 - 6 * digit) & 63U];
    }
    return encoded;
}

std::string describe(const std::string& key, const item& known)
{
    const auto start = "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(known.revision);
    return known.value ? start + ",\"created\":" + std::to_string(known.revision) + ",\"lease\":0,\"value\":\""
            + base64(*known.value) + "\"}"
                       : start + ",\"compacted\":true}";
}

/// Takes over changes of the folder's files; each changed file is one write.
void followFolder(const std::filesystem::path& folder)
{
    for (;; std::this_thread::sleep_for(milliseconds { 10 })) {
        std::map<std::string, std::string> files;
        for (const auto& found : std::filesystem::recursive_directory_iterator(folder)) {
            if (!found.is_regular_file() || found.path().extension() == ".new")
                continue;
            std::ifstream stream(found.path());
            files[std::filesystem::relative(found.path(), folder)]
                = std::string(std::istreambuf_iterator<char>(stream), {});
        }
        const std::lock_guard lock(storeMutex);
        for (const auto& [key, text] : files) {
            auto& known = store.items[key];
            if (known.value == text)
                continue;
            known = { ++store.revision, text };
            record("store acknowledges " + key + " at revision " + std::to_string(store.revision));
        }
        for (auto& [key, known] : store.items) {
            if (!known.value || files.contains(key))
                continue;
            known = { ++store.revision, std::nullopt };
            record("store acknowledges the removal of " + key + " at revision " + std::to_string(store.revision));
        }
        storeHistory.emplace_back(steady::now(), store);
        while (storeHistory.front().first + std::chrono::seconds { 20 } < steady::now())
            storeHistory.pop_front();
    }
}

/// The state that answers a read. Of the replicas that answer stale reads in turn, every second one is
/// `stale-ms` behind.
store_state stateForRead(bool allowsStale)
{
    const auto behind = numberOption("stale-ms", 0);
    const std::lock_guard lock(storeMutex);
    if (!allowsStale || behind == 0 || staleReads++ % 2 == 0)
        return store;
    const auto wanted = steady::now() - milliseconds { behind };
    auto found = storeHistory.front().second;
    for (const auto& [at, state] : storeHistory) {
        if (at <= wanted)
            found = state;
    }
    return found;
}

std::string answerRange(const std::string& target)
{
    const bool allowsStale = parameter(target, "allow-stale") == "1";
    const auto prefix = parameter(target, "path-prefix");
    const auto state = stateForRead(allowsStale);
    std::string items;
    for (const auto& [key, known] : state.items) {
        if (known.value && key.starts_with(prefix))
            items += (items.empty() ? "" : ",") + describe(key, known);
    }
    record("store answers " + target + " as of " + std::to_string(state.revision));
    return "{\"items\":[" + items + "],\"has-more\":false,\"as-of\":" + std::to_string(state.revision) + "}";
}

std::string answerWatch(const std::string& target)
{
    const auto after = std::stoull(parameter(target, "after"));
    const auto until = steady::now() + milliseconds { std::stol(parameter(target, "wait-ms")) };
    for (;; std::this_thread::sleep_for(milliseconds { 2 })) {
        const std::lock_guard lock(storeMutex);
        if (store.revision <= after && steady::now() < until)
            continue;
        std::vector<std::pair<std::uint64_t, std::string>> changed;
        for (const auto& [key, known] : store.items) {
            if (known.revision > after)
                changed.emplace_back(known.revision, describe(key, known));
        }
        std::sort(changed.begin(), changed.end());
        std::string events;
        for (const auto& [revision, text] : changed)
            events += (events.empty() ? "" : ",") + text;
        return "{\"events\":[" + events + "],\"as-of\":" + std::to_string(store.revision) + "}";
    }
}

void serveStore(connection& from)
{
    while (const auto request = readHead(from)) {
        const auto target = word(request->first, 1);
        std::this_thread::sleep_for(milliseconds { 4 }); // the time of an answer on the users' sheets
        const auto body = target.starts_with("/kv-watch") ? answerWatch(target) : answerRange(target);
        if (!from.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

// ---- backends ----

/// The body that every backend gives; each place has its own letter, so that missing parts show.
char bodyAt(std::size_t position)
{
    return static_cast<char>('a' + (position + position / 1000) % 26);
}

std::string makeBody(std::size_t size)
{
    std::string body(size, ' ');
    for (std::size_t at = 0; at < size; ++at)
        body[at] = bodyAt(at);
    return body;
}

std::atomic<int> running { 0 };
const steady::time_point processStart = steady::now();

/// How long this backend stays cold.
long coldMs()
{
    const auto age = std::chrono::duration_cast<milliseconds>(steady::now() - processStart).count();
    return std::max(0L, numberOption("cold-ms", 0) - static_cast<long>(age));
}

/// Whether a request is one that ends each backend that begins to run it.
bool isLethal(const head& request, const std::string& body)
{
    const auto agent = option("lethal-agent");
    return !option("lethal-body").empty() && body == option("lethal-body")
        && (agent.empty() || request.field("user-agent") == agent);
}

void serveRequests(connection& from)
{
    const auto id = option("id");
    const auto slots = numberOption("slots", 4);
    while (const auto request = readHead(from)) {
        const auto content = readRequestBody(from, *request);
        if (!content)
            return;
        const auto load = "X-Acaciaslip-Backend-Load: " + std::to_string(running) + ",0," + std::to_string(slots)
            + ",100\r\nKeep-Alive: timeout=10\r\n";
        if (word(request->first, 1) == "/health") {
            const auto cold = coldMs() > 0 ? "X-Acaciaslip-Cold-Ms: " + std::to_string(coldMs()) + "\r\n" : "";
            if (!from.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Acaciaslip-Instance-Id: " + id + "\r\n" + load
                    + cold + "\r\n"))
                return;
            continue;
        }
        const auto requestId = request->field("x-acaciaslip-request-id");
        const auto echo = "X-Acaciaslip-Request-Id: " + requestId + "\r\n" + load;
        const auto expected = request->field("x-acaciaslip-expect-instance");
        if (!expected.empty() && expected != id) {
            from.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nX-Acaciaslip-Instance-Id: " + id
                + "\r\n" + echo + "\r\n");
            continue;
        }
        if (running >= slots) {
            from.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Acaciaslip-Not-Executed: 1\r\n" + echo
                + "\r\n");
            continue;
        }
        ++running;
        record("server " + id + " runs " + requestId + " " + request->first);
        if (isLethal(*request, *content)) {
            std::this_thread::sleep_for(milliseconds { 20 });
            record("server " + id + " crashes while it runs " + requestId);
            std::_Exit(1);
        }
        const auto end = steady::now() + milliseconds { numberOption("work-ms", 100) };
        bool isDropped = false;
        while (steady::now() < end && !(isDropped = from.hasEnded()))
            std::this_thread::sleep_for(milliseconds { 5 });
        --running;
        if (isDropped) {
            record("server " + id + " drops " + requestId + ": its connection has closed");
            return;
        }
        record("server " + id + " ends " + requestId);
        const bool isLong = word(request->first, 1) == option("long-path");
        const auto body = makeBody(static_cast<std::size_t>(isLong ? numberOption("long-body", 0) : 1500));
        const bool isUnframed = isLong && option("long-framing") == "none";
        auto answer = "HTTP/1.1 200 OK\r\nX-Acaciaslip-Response-Seal: 3e1b.07.5a2." + std::to_string(body.size())
            + ".0.c9f2a4d1\r\n" + echo;
        answer += isUnframed ? "Connection: close\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (!from.send(answer + "\r\n" + body) || isUnframed)
            return;
    }
}

/// Writes the backend's entry into the store's folder, as of a new start.
void registerServer(bool isFirst)
{
    auto entry = option("entry");
    const auto replace = [&](const std::string& name, const std::string& value) {
        if (const auto at = entry.find(name); at != std::string::npos)
            entry.replace(at, name.size(), value);
    };
    replace("@born@", std::to_string(unixMs()));
    replace("@cold@", isFirst ? "0ms" : option("cold-after-crash", "0") + "ms");
    const auto file = option("entry-file");
    std::ofstream(file + ".new") << entry;
    std::filesystem::rename(file + ".new", file);
}

/// Runs a backend in a process of its own, and starts it again some time after it has crashed.
int superviseServer()
{
    for (bool isFirst = true;; isFirst = false) {
        const auto parent = ::getpid();
        const auto child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                return 2;
            options["cold-ms"] = isFirst ? "0" : option("cold-after-crash", "0");
            serveConnections(listenOn(option("listen")), serveRequests);
        }
        registerServer(isFirst);
        ::waitpid(child, nullptr, 0);
        std::this_thread::sleep_for(milliseconds { numberOption("restart-ms", 3000) });
    }
}

// ---- clients ----

/// Reads at most `rate` bytes a second, like a client behind a thin link.
struct paced_reader {
    connection& from;
    double rate;
    steady::time_point startedAt = steady::now();
    std::size_t taken = 0;

    bool readSome(std::optional<steady::time_point> until)
    {
        constexpr std::size_t portion = 16384;
        if (rate > 0)
            std::this_thread::sleep_until(
                startedAt + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(taken / rate)));
        const auto before = from.buffer.size();
        const bool more = from.readSome(portion, until);
        taken += from.buffer.size() - before;
        return more;
    }
};

/// Sends one request on a new connection and records its end.
/// \return the end as one word: complete, early, reset, late, unconnected
std::string sendRequest(const std::string& requestId)
{
    const auto deadline = numberOption("deadline-ms", 10000);
    const auto until = steady::now() + milliseconds { deadline };
    const auto address = parseAddress(option("to"));
    connection to(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (const auto window = static_cast<int>(numberOption("window", 0)); window > 0)
        ::setsockopt(to.socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    if (::connect(to.socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        record("client " + requestId + " unconnected");
        return "unconnected";
    }
    const auto method = option("method", "GET");
    auto path = option("path");
    if (option("nonce") == "yes")
        path += "?sent=" + std::to_string(unixMs());
    record("client " + requestId + " sends " + method + " " + path + " to " + option("to"));
    const auto body = option("content");
    const auto agent = option("agent").empty() ? "" : "User-Agent: " + option("agent") + "\r\n";
    to.send(method + " " + path + " HTTP/1.1\r\nHost: " + option("host") + "\r\n" + agent
        + "X-Acaciaslip-Request-Id: " + requestId + "\r\nX-Acaciaslip-Deadline-Ms: " + std::to_string(deadline)
        + (body.empty() ? "\r\n" : "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body);
    const auto answer = readHead(to, until, 4096);
    const auto end = [&](const std::string& how, const std::string& more = "") {
        record("client " + requestId + " " + how + more);
        return how;
    };
    if (!answer)
        return end(to.isReset ? "reset" : steady::now() >= until ? "late" : "early", " before an answer");
    const auto status = word(answer->first, 1);
    const auto length = answer->field("content-length");
    record(
        "client " + requestId + " reads status " + status + ", " + (length.empty() ? "no length" : "length " + length));
    paced_reader reader { to, static_cast<double>(numberOption("rate", 0)) };
    bool isOpen = true;
    while ((length.empty() || to.buffer.size() < std::stoul(length)) && isOpen)
        isOpen = reader.readSome(until);
    std::size_t same = 0;
    while (same < to.buffer.size() && to.buffer[same] == bodyAt(same))
        ++same;
    const auto wanted = static_cast<std::size_t>(numberOption("body", 1500));
    const bool isWhole = same == to.buffer.size() && same == wanted;
    const auto seen = " status " + status + " with " + std::to_string(to.buffer.size()) + " of "
        + std::to_string(wanted) + " bytes" + (isWhole ? ", whole" : ", not whole");
    if (to.isReset)
        return end("reset", seen);
    if (steady::now() >= until)
        return end("late", seen);
    if (!length.empty() && to.buffer.size() < std::stoul(length))
        return end("early", seen);
    if (length.empty())
        return end("complete", seen + ", ended by the orderly close of the connection");
    return end("complete", seen);
}

int runClient()
{
    const auto count = numberOption("count", 1);
    const auto gap = milliseconds { numberOption("gap-ms", 0) };
    const auto name = option("id", "r");
    std::vector<std::thread> requests;
    for (long index = 0; index < count; ++index) {
        requests.emplace_back([name, index] { sendRequest(name + "-" + std::to_string(index)); });
        std::this_thread::sleep_for(gap);
    }
    for (auto& request : requests)
        request.join();
    return 0;
}

/// Prints ports that no socket of this machine uses at this moment, below those that outgoing connections get.
int printPorts(int count)
{
    constexpr unsigned lowest = 12000;
    constexpr unsigned number = 18000;
    std::random_device random;
    std::vector<int> sockets; // stay open, so that no port is printed twice
    while (sockets.size() < static_cast<std::size_t>(count)) {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(lowest + random() % number));
        sockets.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        if (::bind(sockets.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            std::cout << ntohs(address.sin_port) << "\n";
            continue;
        }
        ::close(sockets.back());
        sockets.pop_back();
    }
    return 0;
}

} // namespace

int main(int count, char** words)
{
    const std::string program = count > 1 ? words[1] : "";
    if (program == "ports")
        return printPorts(count > 2 ? std::stoi(words[2]) : 1);
    for (int at = 2; at + 1 < count; at += 2)
        options[std::string(words[at]).substr(2)] = words[at + 1];
    if (program == "store") {
        const int listener = listenOn(option("listen"));
        std::thread([] { followFolder(option("folder")); }).detach();
        serveConnections(listener, serveStore);
    } else if (program == "supervise")
        return superviseServer();
    else if (program == "server")
        serveConnections(listenOn(option("listen")), serveRequests);
    else if (program == "client")
        return runClient();
    std::cerr << "unknown program '" << program << "'\n";
    return 2;
}
