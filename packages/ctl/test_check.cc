#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include "ctl/ctl.h"
#include "world/world.h"

namespace {

/* The files of a test, in a folder of their own. */
class Check : public testing::Test {
  protected:
    std::string folder;

    void
    SetUp() override
    {
        char *made = g_dir_make_tmp("check-XXXXXX", nullptr);
        folder = made;
        g_free(made);
    }
    void
    TearDown() override
    {
        ctl_set_site_format(nullptr);
        for (const char *name : {"/new", "/old"}) {
            remove((folder + name).c_str());
        }
        rmdir(folder.c_str());
    }
    std::string
    write(const char *name, const std::string &text)
    {
        std::string path = folder + name;
        g_file_set_contents(path.c_str(), text.c_str(), (gssize)text.size(),
                            nullptr);
        return path;
    }
};

std::string
document(const std::string &servers, const std::string &routes = "")
{
    return R"({"format":1,"environment":"production",
      "regions":[{"name":"r","zones":["z"]}],
      "operators":[{"name":"o"}],
      "deployments":[{"name":"d","kind":"service","routes":[
        {"method":"*","prefix":"/a"})" +
           routes + R"(]}],"servers":[)" + servers + "]}";
}

const std::string SERVER =
    R"({"name":"s","address":"127.0.0.1:9","zone":"z","deployment":"d"})";

/* Guards against scripts that send a document with errors, or stop at a
 * warning, because the exit code does not tell them apart. */
TEST_F(Check, TheExitCodeTellsErrorsFromWarnings)
{
    struct {
        const char *name;
        std::string text;
        std::string against; /* "": none */
        int code;
        const char *out; /* printed to either stream */
    } cases[] = {
        {"an unused operator", document(SERVER), "", CTL_WARNED,
         "warning: $.operators[0]: 'o' has no key"},
        {"no servers", document(""), "", CTL_WARNED,
         "warning: $.deployments[0]: 'd' has no servers"},
        {"a route behind a shorter one",
         document(SERVER, R"(,{"method":"GET","prefix":"/a/b"})"), "",
         CTL_WARNED, "$.deployments[0].routes[1]: can never match: routes[0]"},
        {"an unknown zone", document(R"({"name":"s","address":"127.0.0.1:9",
           "zone":"y","deployment":"d"})"),
         "", CTL_FAILED, "error: $.servers[0].zone"},
        {"no JSON", "{", "", CTL_FAILED, "error: $: line 1"},
        {"nothing differs", document(SERVER), document(SERVER), CTL_WARNED,
         "no differences"},
        {"a server is added", document(SERVER), document(""), CTL_WARNED,
         "+ $.servers[s]: {"},
        {"a server is removed", document(""), document(SERVER), CTL_WARNED,
         "- $.servers[s]: {"},
        {"the other one is no JSON", document(SERVER), "{", CTL_FAILED,
         "line 1"},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        std::string path = write("/new", row.text);
        std::string old;
        if (!row.against.empty()) {
            old = write("/old", row.against);
        }
        testing::internal::CaptureStdout();
        testing::internal::CaptureStderr();
        int code = ctl_check(path.c_str(),
                             row.against.empty() ? nullptr : old.c_str());
        std::string out = testing::internal::GetCapturedStdout() +
                          testing::internal::GetCapturedStderr();
        EXPECT_EQ(code, row.code) << out;
        EXPECT_NE(out.find(row.out), std::string::npos) << out;
    }
    testing::internal::CaptureStderr();
    EXPECT_EQ(ctl_check((folder + "/none").c_str(), nullptr), CTL_USAGE);
    testing::internal::GetCapturedStderr();
}

/* Guards against a version that nodes ignore, and keys in the output. */
TEST_F(Check, ASitesConfigurationIsComparedByItsOwnFormat)
{
    static const struct ctl_site_format FORMAT = {
        [](const char *text, size_t) { return text[0] == '['; },
        [](const char *, size_t, struct world_problems *) {},
        [](const char *text, size_t) -> int64_t { return text[1] - '0'; },
        [](const char *text, size_t) {
            return g_strdup_printf("{\"shown\":%c}", text[1]);
        }};
    struct {
        const char *text;
        const char *against;
        int code;
        const char *out;
    } cases[] = {
        {"[8]", "[7]", CTL_OK, "+ $.shown: 8"},
        {"[7]", "[7]", CTL_FAILED, "7 is not above 7"},
        {"[8]", "{}", CTL_FAILED, "one of them is of another kind"},
    };

    ctl_set_site_format(&FORMAT);
    for (const auto &row : cases) {
        std::string path = write("/new", row.text);
        std::string old = write("/old", row.against);
        testing::internal::CaptureStdout();
        testing::internal::CaptureStderr();
        int code = ctl_check(path.c_str(), old.c_str());
        std::string out = testing::internal::GetCapturedStdout() +
                          testing::internal::GetCapturedStderr();
        EXPECT_EQ(code, row.code) << out;
        EXPECT_NE(out.find(row.out), std::string::npos) << out;
    }
}

} // namespace
