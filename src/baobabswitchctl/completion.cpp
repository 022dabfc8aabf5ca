#include "completion.h"

#include "commands.h"

#include <ostream>

namespace baobabswitch {

namespace {

constexpr std::string_view options = "--platform --node --settings --token-file --author --reason --output "
                                     "--base-version --write-id --no-wait "
                                     "--wait-seconds --limit --logs --version --help";

} // namespace

void write_bash_completion(std::ostream& out) {
    out << "_baobabswitchctl() {\n"
           "    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]}\n"
           "    case $before in\n"
           "    --output) COMPREPLY=($(compgen -W 'table json' -- \"$word\")); return ;;\n"
           "    --settings | --token-file | --logs";
    for (const auto& it : ctl_commands()) {
        if (it.argument == "FILE") {
            out << " | " << it.name;
        }
    }
    out << ") COMPREPLY=($(compgen -f -- \"$word\")); return ;;\n"
           "    esac\n"
           "    if [[ $word == -* ]]; then\n"
           "        COMPREPLY=($(compgen -W '"
        << options
        << "' -- \"$word\"))\n"
           "    else\n"
           "        COMPREPLY=($(compgen -W '";
    for (const auto& it : ctl_commands()) {
        out << it.name << ' ';
    }
    out << "' -- \"$word\"))\n"
           "    fi\n"
           "}\n"
           "complete -F _baobabswitchctl baobabswitchctl\n";
}

} // namespace baobabswitch
