#include "childprocess.h"

#include <cerrno>
#include <csignal>
#include <cstring>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace baobabswitch {

namespace {

constexpr int exec_failed_status = 127; ///< as shells report it

/// Turns the forked copy of this process into the program; never returns.
[[noreturn]] void become(char* const* argv, const char* log_file, pid_t parent) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(exec_failed_status); // The parent ended before the request above.
    }
    const int fd = ::open(log_file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd >= 0) {
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
    }
    ::execv(argv[0], argv);
    ::_exit(exec_failed_status);
}

} // namespace

result<pid_t> start_child(const std::vector<std::string>& arguments, const std::string& log_file) {
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto& it : arguments) {
        argv.push_back(const_cast<char*>(it.c_str())); // NOLINT(cppcoreguidelines-pro-type-const-cast): POSIX
    }
    argv.push_back(nullptr);
    const auto parent = ::getpid();
    const auto child = ::fork();
    if (child < 0) {
        return error{error_kind::internal, "can't start " + arguments.front() + ": " + std::strerror(errno),
                     "end other processes of this user or raise its process limit"};
    }
    if (child == 0) {
        become(argv.data(), log_file.c_str(), parent);
    }
    return child;
}

std::optional<int> collect_child(pid_t child) {
    int status = 0;
    return ::waitpid(child, &status, WNOHANG) == child ? std::optional{status} : std::nullopt;
}

} // namespace baobabswitch
