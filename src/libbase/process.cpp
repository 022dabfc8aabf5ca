#include "process.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace baobabswitch {

namespace {

constexpr std::chrono::milliseconds poll_period{10};
/// Exit status when a program can't be executed, as in shells.
constexpr int exec_failed_status = 127;

/// Executes the program in the forked child; never returns. Makes only async-signal-safe calls, because other
/// threads may have held locks at the fork.
[[noreturn]] void exec_program(char* const* argv, const char* log_file, pid_t parent,
                               parent_death_policy on_parent_death) {
    if (on_parent_death == parent_death_policy::kill_child) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(exec_failed_status); // The parent ended before prctl() took effect.
        }
    }
    const int fd = ::open(log_file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd >= 0) {
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
    }
    // If the child inherited a socket, its connection would stay open after this process closes it.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(argv[0], argv);
    ::_exit(exec_failed_status);
}

} // namespace

result<pid_t> start_process(const std::vector<std::string>& arguments, const std::string& log_file,
                            parent_death_policy on_parent_death) {
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto& it : arguments) {
        argv.push_back(const_cast<char*>(it.c_str())); // NOLINT(cppcoreguidelines-pro-type-const-cast): POSIX
    }
    argv.push_back(nullptr);
    if (::access(argv.front(), X_OK) != 0) {
        return error{error_kind::internal, "can't start " + arguments.front() + ": " + std::strerror(errno),
                     "build the programs first (make build)"};
    }
    const auto parent = ::getpid();
    const auto process = ::fork();
    if (process < 0) {
        return error{error_kind::internal, "can't start " + arguments.front() + ": " + std::strerror(errno),
                     "end other processes of this user or raise its process limit"};
    }
    if (process == 0) {
        exec_program(argv.data(), log_file.c_str(), parent, on_parent_death);
    }
    return process;
}

int wait_for_exit(pid_t process, double timeout_seconds) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(timeout_seconds);
    for (;;) {
        int status = 0;
        const auto n = waitpid(process, &status, WNOHANG);
        if (n == process) {
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        if (n < 0 || std::chrono::steady_clock::now() >= deadline) {
            return -1;
        }
        std::this_thread::sleep_for(poll_period);
    }
}

int stop_process(pid_t process, double timeout_seconds) {
    kill(process, SIGTERM);
    kill(process, SIGCONT); // A stopped process handles SIGTERM only after it is continued.
    const int status = wait_for_exit(process, timeout_seconds);
    if (status >= 0) {
        return status;
    }
    kill(process, SIGKILL);
    return wait_for_exit(process, timeout_seconds);
}

} // namespace baobabswitch
