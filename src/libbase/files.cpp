#include "files.h"

#include <fstream>
#include <sstream>

namespace baobabswitch {

result<std::string> read_file(const std::string& file_name) {
    std::ifstream in{file_name, std::ios::binary};
    std::ostringstream buf;
    buf << in.rdbuf();
    if (!in) {
        return error{error_kind::not_found, "can't read \"" + file_name + "\"",
                     "check that the file exists and is readable"};
    }
    return std::move(buf).str();
}

} // namespace baobabswitch
