#include "front/test_support.h"

namespace {

using Files = Front;

std::string
form(const std::string &purpose, const std::string &file)
{
    std::string text;
    if (!purpose.empty()) {
        text += "--B1\r\nContent-Disposition: form-data; name=\"purpose\"\r\n"
                "\r\n" +
                purpose + "\r\n";
    }
    if (!file.empty()) {
        text += "--B1\r\nContent-Disposition: form-data; name=\"file\"; "
                "filename=\"items.jsonl\"\r\nContent-Type: "
                "application/jsonl\r\n\r\n" +
                file + "\r\n";
    }
    return text + "--B1--\r\n";
}

const char FORM[] = "content-type: multipart/form-data; boundary=B1\r\n";

/* Lines of a batch file; they contain what looks like the start of a form's
 * boundary. */
std::string
lines(size_t size)
{
    std::string text;
    for (int i = 0; text.size() < size; i++) {
        text += "{\"custom_id\":\"" + std::to_string(i) + "\"}\r\n--B\n\n";
    }
    return text;
}

/* An upload must reach the batch task byte for byte, whatever pieces it
 * arrives in.  A parser of the form that takes line ends or boundary-like
 * bytes of the file for the boundary would lose some. */
TEST_F(Files, UploadsReachTheBatchTaskUnchanged)
{
    start({});
    struct {
        const char *name;
        bool is_form;
        std::string content;
    } cases[] = {
        {"form, small", true, lines(100)},
        {"form, large", true, lines(3000000)},
        {"form, not text", true,
         std::string("a\0b\r\n-\r\n--\r\n--B\r\n", 17)},
        {"raw, small", false, lines(100)},
        {"raw, large", false, lines(3000000)},
    };
    for (const auto &row : cases) {
        fakes.uploaded.clear();
        fakes.batch_log.clear();
        struct answer answer =
            ask(row.is_form
                    ? test_post("/v1/files", form("batch", row.content), FORM)
                    : test_post("/v1/files?purpose=batch&filename=items.jsonl",
                                row.content,
                                "content-type: application/jsonl\r\n"));
        EXPECT_EQ(answer.status, 200) << row.name << answer.body;
        EXPECT_TRUE(fakes.uploaded == row.content)
            << row.name << " " << fakes.uploaded.size() << " of "
            << row.content.size();
        ASSERT_GE(fakes.batch_log.size(), 3u) << row.name;
        EXPECT_EQ(fakes.batch_log.front(),
                  "open op  {\"purpose\":\"batch\",\"filename\":"
                  "\"items.jsonl\"}")
            << row.name;
        EXPECT_EQ(fakes.batch_log.back(), "close op file-1") << row.name;
    }
}

/* A rejected upload must not be opened at the batch task, and one that fails
 * there must not be closed, because closing creates the file. */
TEST_F(Files, RejectedUploadsCreateNoFile)
{
    start({});
    struct {
        const char *name;
        std::string request;
        int status;
    } cases[] = {
        {"no purpose", test_post("/v1/files", "{}"), 400},
        {"wrong purpose", test_post("/v1/files?purpose=x", lines(500000)),
         400},
        {"form without file", test_post("/v1/files", form("batch", ""), FORM),
         400},
        {"form without purpose", test_post("/v1/files", form("", "{}"), FORM),
         400},
        {"too large",
         test_post("/v1/files?purpose=batch", std::string(4000001, ' ')), 413},
    };
    for (const auto &row : cases) {
        fakes.batch_log.clear();
        EXPECT_EQ(ask(row.request).status, row.status) << row.name;
        EXPECT_EQ(fakes.batch_log.size(), 0u) << row.name;
    }
    fakes.upload_status = 503;
    struct answer answer =
        ask(test_post("/v1/files?purpose=batch", lines(3000000)));
    EXPECT_EQ(answer.status, 503);
    for (const auto &line : fakes.batch_log) {
        EXPECT_NE(line.substr(0, 5), "close");
    }
}

/* When a caller disconnects during an upload, the part received so far must be
 * discarded at the batch task. */
TEST_F(Files, UploadIsAbortedWhenTheCallerDisconnects)
{
    start({});
    int fd = test_connect(port);
    std::string request = test_post("/v1/files?purpose=batch", lines(2000000));
    test_write(fd, request.substr(0, 1000000));
    while (true) {
        std::lock_guard<std::mutex> guard(fakes.lock);
        if (fakes.uploaded.size() > 500000) {
            break;
        }
    }
    close(fd);
    while (true) {
        std::lock_guard<std::mutex> guard(fakes.lock);
        if (fakes.batch_log.back() == "abort op file-1") {
            break;
        }
    }
}

TEST_F(Files, ContentIsServedWholeAndByRange)
{
    start({});
    fakes.content = lines(1000000);
    size_t size = fakes.content.size();
    struct {
        const char *range;
        int status;
        size_t from;
        size_t to;
    } cases[] = {
        {"", 200, 0, size},
        {"bytes=0-9", 206, 0, 10},
        {"bytes=100-", 206, 100, size},
        {"bytes=-10", 206, size - 10, size},
        {"bytes=5-99999999", 206, 5, size},
        {"bytes=99999999-", 416, 0, 0},
        {"bytes=9-5", 416, 0, 0},
    };
    for (const auto &row : cases) {
        std::string headers =
            *row.range ? std::string("range: ") + row.range + "\r\n" : "";
        struct answer answer =
            ask(test_get("/v1/files/file-7/content", headers));
        EXPECT_EQ(answer.status, row.status) << row.range;
        if (row.status == 416) {
            continue;
        }
        EXPECT_TRUE(answer.is_complete) << row.range;
        EXPECT_TRUE(answer.body ==
                    fakes.content.substr(row.from, row.to - row.from))
            << row.range << " " << answer.body.size();
        if (row.status == 206) {
            EXPECT_EQ(answer.headers["content-range"],
                      "bytes " + std::to_string(row.from) + "-" +
                          std::to_string(row.to - 1) + "/" +
                          std::to_string(size));
        }
    }
}

TEST_F(Files, RequestsReachTheBatchTask)
{
    start({});
    struct {
        std::string request;
        const char *line;
    } cases[] = {
        {test_get("/v1/files"), "list op "},
        {test_get("/v1/files/f1"), "get op f1"},
        {"DELETE" + test_get("/v1/files/f1").substr(3), "delete op f1"},
        {test_post("/v1/batches", "{\"a\":1}", "idempotency-key: k1\r\n"),
         "create op  key=k1 {\"a\":1}"},
        {test_get("/v1/batches?after=b3&limit=5"), "jobs op b3"},
        {test_get("/v1/batches/b1"), "job op b1"},
        {test_post("/v1/batches/b1/cancel", ""), "cancel op b1"},
    };
    for (const auto &row : cases) {
        fakes.batch_log.clear();
        EXPECT_EQ(ask(row.request).status, 200) << row.line;
        ASSERT_EQ(fakes.batch_log.size(), 1u) << row.line;
        EXPECT_EQ(fakes.batch_log[0], row.line);
    }
    EXPECT_EQ(ask(test_post("/v1/batches/b1", "")).status, 404);
    EXPECT_EQ(ask(test_get("/v1/files/f1/other")).status, 404);
}

TEST_F(Files, AdminRequestsReachConfigAndControl)
{
    start({});
    struct {
        std::string request;
        const char *line;
    } cases[] = {
        {test_post("/admin/config/check", "{}"), "check op production 0 0 {}"},
        {test_post("/admin/config/try?environment=production", "{}"),
         "try op trial 0 0 {}"},
        {test_post("/admin/config/diff?environment=trial", "{}"),
         "diff op trial 0 0 {}"},
        {test_post("/admin/config/promote",
                   "{\"revision\":4,\"expect_revision\":3}"),
         "promote op production 4 3 -"},
        {test_get("/admin/config/history"), "history op production 0 0 -"},
        {test_get("/admin/config/show?environment=trial"),
         "show op trial 0 0 -"},
    };
    for (const auto &row : cases) {
        fakes.config_log.clear();
        EXPECT_EQ(ask(row.request).status, 200) << row.line;
        ASSERT_EQ(fakes.config_log.size(), 1u) << row.line;
        EXPECT_EQ(fakes.config_log[0], row.line);
    }
    EXPECT_EQ(ask(test_post("/admin/config/promote", "{}")).status, 400);
    EXPECT_EQ(ask(test_get("/admin/status")).body, "{\"nodes\":[]}");
}

} // namespace
